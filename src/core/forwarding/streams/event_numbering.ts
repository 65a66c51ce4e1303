import type { RegisteredEndpoint } from "../configuration.ts";
import type { ServingVersion } from "./listed_versions.ts";

/**
 * Streams after which a version may be known to leave out ids. With fewer, a
 * faulty endpoint may have written most of them.
 */
const MIN_STREAMS = 32;
/**
 * Largest share of streams with other ids. Above it the ids count something
 * else, such as tokens.
 */
const MAX_OTHER_SHARE = 1 / 32;
/** Maximum number of versions that are known, of all pools. */
const MAX_VERSIONS = 256;
/** Maximum number of addresses that are known of one version. */
const MAX_ADDRESSES = 64;
/**
 * Number of streams of an endpoint after which older ones weigh less. With more,
 * a fleet is slow to unlearn, and breaks off sound streams meanwhile.
 */
const MAX_STREAMS = 128;

type NumberingEndpoint = Pick<
  RegisteredEndpoint,
  "address" | "pool" | "softwareVersion"
>;

interface Counts {
  numbered: number;
  other: number;
}

/**
 * Which software versions number the events of a stream from 0 or 1 on, without
 * gaps. An event that such a version leaves out is lost; of others, ids only
 * show the order. A version is taken for one that numbers its events until more
 * than half of its endpoints have shown otherwise: a fault of fewer shows nothing
 * of how the version counts.
 */
export class EventNumbering {
  /**
   * By pool and version, and by address: a faulty endpoint that restarts must not
   * count as many. The one that was first seen longest ago first.
   */
  readonly #counts = new Map<string, Map<string, Counts>>();

  /** True if an id that leaves out another one shows that an event is lost. */
  isNumbered(version: ServingVersion): boolean {
    const counts = [...this.#counts.get(keyOf(version))?.values() ?? []];
    if (streamsOf(sumOf(counts)) < MIN_STREAMS) return true;
    return otherShareOf(sumOf(soundHalf(counts))) <= MAX_OTHER_SHARE;
  }

  /** Records a stream of events that an endpoint has begun. */
  record(
    endpoint: NumberingEndpoint,
    { isNumbered }: { readonly isNumbered: boolean },
  ): void {
    const versionCounts = entryOf(this.#counts, keyOf(endpoint), {
      create: () => new Map<string, Counts>(),
      maxEntries: MAX_VERSIONS,
    });
    const counts = entryOf(versionCounts, endpoint.address, {
      create: () => ({ numbered: 0, other: 0 }),
      maxEntries: MAX_ADDRESSES,
    });
    counts[isNumbered ? "numbered" : "other"] += 1;
    if (counts.numbered + counts.other < MAX_STREAMS) return;
    counts.numbered /= 2;
    counts.other /= 2;
  }
}

/** The half of the endpoints with the smallest shares of other ids. */
function soundHalf(all: readonly Counts[]): readonly Counts[] {
  return all.toSorted((a, b) => otherShareOf(a) - otherShareOf(b))
    .slice(0, Math.ceil(all.length / 2));
}

function sumOf(all: readonly Counts[]): Counts {
  return all.reduce((sum, { numbered, other }) => ({
    numbered: sum.numbered + numbered,
    other: sum.other + other,
  }), { numbered: 0, other: 0 });
}

function streamsOf({ numbered, other }: Counts): number {
  return numbered + other;
}

function otherShareOf(counts: Counts): number {
  return counts.other / streamsOf(counts);
}

/** The entry of the key; the oldest one makes room for a new one. */
function entryOf<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  { create, maxEntries }: {
    readonly create: () => Value;
    readonly maxEntries: number;
  },
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const [oldest] = map.keys();
  if (map.size >= maxEntries) map.delete(oldest);
  const created = create();
  map.set(key, created);
  return created;
}

function keyOf({ pool, softwareVersion }: ServingVersion): string {
  return JSON.stringify([pool, softwareVersion]);
}
