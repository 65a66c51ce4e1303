import type { EndpointId } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { ServingVersion } from "./listed_versions.ts";

/** Streams after which a version is known to number its events. */
const MIN_STREAMS = 32;
/**
 * Largest share of streams with other ids. Above it the ids count something
 * else, such as tokens.
 */
const MAX_OTHER_SHARE = 1 / 32;
/**
 * Streams after which an endpoint may be left out as a faulty one. With fewer, a
 * version that leaves out ids now and then would be taken for a sound one with
 * faulty endpoints.
 */
const MIN_STREAMS_OF_FAULTY = 8;
/** Maximum number of versions that are known, of all pools. */
const MAX_VERSIONS = 256;
/** Maximum number of endpoints that are known of one version. */
const MAX_ENDPOINTS = 64;
/**
 * Number of streams of an endpoint after which older ones weigh less. With more,
 * a fleet is slow to unlearn, and breaks off sound streams meanwhile.
 */
const MAX_STREAMS = 128;

type NumberingEndpoint = Pick<
  RegisteredEndpoint,
  "id" | "pool" | "softwareVersion"
>;

interface Counts {
  numbered: number;
  other: number;
}

/**
 * Which software versions number the events of a stream from 1 on, without
 * gaps, as far as their whole streams have shown. An event that such a version
 * leaves out is lost; of others, ids only tell the order. One endpoint in four,
 * of three or more, may leave out events without an effect on its version.
 */
export class EventNumbering {
  /** By pool and version; the one that was first seen longest ago first. */
  readonly #counts = new Map<string, Map<EndpointId, Counts>>();

  /** True if an id that leaves out another one shows that an event is lost. */
  isNumbered(version: ServingVersion): boolean {
    const counts = this.#counts.get(keyOf(version));
    if (counts === undefined) return false;
    const { numbered, other } = sumOf(withoutFaulty([...counts.values()]));
    return numbered >= MIN_STREAMS &&
      other <= MAX_OTHER_SHARE * (numbered + other);
  }

  /** Records a stream of events that an endpoint has begun. */
  record(
    endpoint: NumberingEndpoint,
    { isNumbered }: { readonly isNumbered: boolean },
  ): void {
    const versionCounts = entryOf(this.#counts, keyOf(endpoint), {
      create: () => new Map<EndpointId, Counts>(),
      maxEntries: MAX_VERSIONS,
    });
    const counts = entryOf(versionCounts, endpoint.id, {
      create: () => ({ numbered: 0, other: 0 }),
      maxEntries: MAX_ENDPOINTS,
    });
    counts[isNumbered ? "numbered" : "other"] += 1;
    if (counts.numbered + counts.other < MAX_STREAMS) return;
    counts.numbered /= 2;
    counts.other /= 2;
  }
}

/** Leaves out the endpoints with the largest shares of other ids. */
function withoutFaulty(all: readonly Counts[]): readonly Counts[] {
  const known = all.filter((each) => streamsOf(each) >= MIN_STREAMS_OF_FAULTY);
  const maxFaulty = Math.floor((known.length + 1) / 4);
  const faulty = new Set(
    known.filter((each) => otherShareOf(each) > MAX_OTHER_SHARE)
      .sort((a, b) => otherShareOf(b) - otherShareOf(a))
      .slice(0, maxFaulty),
  );
  return all.filter((each) => !faulty.has(each));
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
