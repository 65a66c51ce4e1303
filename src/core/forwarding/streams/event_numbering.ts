import type { RegisteredEndpoint } from "../configuration.ts";
import type { ServingVersion } from "./listed_versions.ts";

/**
 * Successive streams without a gap after which a version is known to number its
 * events. With fewer, a version whose ids count something else, such as tokens,
 * would have more than one in 10,000 of its sound streams broken off, if gaps are
 * rare in them.
 */
export const PROOF_STREAMS = 8_192;
/**
 * Gaps behind which their endpoint was sound again. More of them within the
 * streams of a proof end it: a fault lasts, gaps between tokens come singly.
 */
const MAX_SINGLE_GAPS = 2;
/** Successive streams without a gap that show an endpoint to be sound again. */
const SOUND_STREAMS = 32;
/**
 * Streams after which a version that is known to number its events may be found
 * to leave out ids. With fewer, a faulty endpoint may have written most of them.
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
  /** Successive streams until the last gap is a single one; 0 if there is none. */
  streamsToSound: number;
}

interface VersionCounts {
  /** Streams without a gap behind the last one that had some. */
  successive: number;
  /** True from the proof on, until the streams behind it show otherwise. */
  isNumbered: boolean;
  /** Since the last proof. */
  singleGaps: number;
  /**
   * Streams behind the proof by address: a faulty endpoint that restarts must
   * not count as many.
   */
  readonly addresses: Map<string, Counts>;
}

/**
 * Which software versions number the events of a stream from 0 or 1 on, without
 * gaps. An event that such a version leaves out is lost; of others, ids only
 * show the order. Nothing is known of a version until many successive streams
 * have shown it. Then it is taken for one that numbers its events until more than
 * half of its endpoints have shown otherwise: a fault of fewer shows nothing of
 * how the version counts.
 */
export class EventNumbering {
  /** By pool and version; the one that was first seen longest ago first. */
  readonly #versions = new Map<string, VersionCounts>();

  /** True if an id that leaves out another one shows that an event is lost. */
  isNumbered(version: ServingVersion): boolean {
    return this.#versions.get(keyOf(version))?.isNumbered === true;
  }

  /** Records a stream of events that an endpoint has begun. */
  record(
    endpoint: NumberingEndpoint,
    { isNumbered }: { readonly isNumbered: boolean },
  ): void {
    const version = entryOf(this.#versions, keyOf(endpoint), {
      create: () => ({
        successive: 0,
        isNumbered: false,
        singleGaps: 0,
        addresses: new Map<string, Counts>(),
      }),
      maxEntries: MAX_VERSIONS,
    });
    const isProven = version.isNumbered;
    recordSuccessive(version, isNumbered);
    if (!isProven) return;
    const counts = entryOf(version.addresses, endpoint.address, {
      create: () => ({ numbered: 0, other: 0, streamsToSound: 0 }),
      maxEntries: MAX_ADDRESSES,
    });
    count(counts, isNumbered);
    if (isSingleGap(counts, isNumbered)) version.singleGaps += 1;
    const isRefuted = version.singleGaps > MAX_SINGLE_GAPS ||
      (!isNumbered && leavesOutIds(version));
    if (isRefuted) forget(version);
  }
}

/** Counts the successive streams without a gap, up to a proof. */
function recordSuccessive(version: VersionCounts, isNumbered: boolean): void {
  version.successive = isNumbered ? version.successive + 1 : 0;
  if (version.successive < PROOF_STREAMS) return;
  version.isNumbered = true;
  version.successive = 0;
  version.singleGaps = 0;
}

function count(counts: Counts, isNumbered: boolean): void {
  counts[isNumbered ? "numbered" : "other"] += 1;
  if (streamsOf(counts) < MAX_STREAMS) return;
  counts.numbered /= 2;
  counts.other /= 2;
}

/** True if the stream shows that the last gap of its endpoint was a single one. */
function isSingleGap(counts: Counts, isNumbered: boolean): boolean {
  if (!isNumbered) counts.streamsToSound = SOUND_STREAMS;
  else if (counts.streamsToSound > 0) {
    counts.streamsToSound -= 1;
    return counts.streamsToSound === 0;
  }
  return false;
}

/** True if more than half of the endpoints leave out ids behind the proof. */
function leavesOutIds({ addresses }: VersionCounts): boolean {
  const all = [...addresses.values()];
  return streamsOf(sumOf(all)) >= MIN_STREAMS &&
    otherShareOf(sumOf(soundHalf(all))) > MAX_OTHER_SHARE;
}

function forget(version: VersionCounts): void {
  version.isNumbered = false;
  version.singleGaps = 0;
  version.addresses.clear();
}

/** The half of the endpoints with the smallest shares of other ids. */
function soundHalf(all: readonly Counts[]): readonly Counts[] {
  return all.toSorted((a, b) => otherShareOf(a) - otherShareOf(b))
    .slice(0, Math.ceil(all.length / 2));
}

type Totals = Pick<Counts, "numbered" | "other">;

function sumOf(all: readonly Totals[]): Totals {
  return all.reduce((sum, { numbered, other }) => ({
    numbered: sum.numbered + numbered,
    other: sum.other + other,
  }), { numbered: 0, other: 0 });
}

function streamsOf({ numbered, other }: Totals): number {
  return numbered + other;
}

function otherShareOf(counts: Totals): number {
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
