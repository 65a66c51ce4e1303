import type { ServingVersion } from "./listed_versions.ts";

/** Streams after which a version is known to number its events. */
const MIN_STREAMS = 32;
/**
 * Largest share of streams with other ids. Above it they are no fault of single
 * endpoints: the ids count something else, such as tokens.
 */
const MAX_OTHER_SHARE = 1 / 32;
/** Maximum number of versions that are known, of all pools. */
const MAX_VERSIONS = 256;
/** Number of streams after which older ones weigh less. */
const MAX_STREAMS = 1_024;

interface Counts {
  numbered: number;
  other: number;
}

/**
 * Which software versions number the events of a stream from 1 on, without
 * gaps, as far as their whole streams have shown. An event that such a version
 * leaves out is lost; of others, ids only tell the order.
 */
export class EventNumbering {
  /** By pool and version; the one that was first seen longest ago first. */
  readonly #counts = new Map<string, Counts>();

  /** True if an id that leaves out another one shows that an event is lost. */
  isNumbered(version: ServingVersion): boolean {
    const counts = this.#counts.get(keyOf(version));
    if (counts === undefined) return false;
    const { numbered, other } = counts;
    return numbered >= MIN_STREAMS &&
      other <= MAX_OTHER_SHARE * (numbered + other);
  }

  /** Records a stream of events that a version has begun. */
  record(
    version: ServingVersion,
    { isNumbered }: { readonly isNumbered: boolean },
  ): void {
    const counts = this.#countsOf(version);
    counts[isNumbered ? "numbered" : "other"] += 1;
    if (counts.numbered + counts.other < MAX_STREAMS) return;
    counts.numbered /= 2;
    counts.other /= 2;
  }

  #countsOf(version: ServingVersion): Counts {
    const key = keyOf(version);
    const known = this.#counts.get(key);
    if (known !== undefined) return known;
    const [oldest] = this.#counts.keys();
    if (this.#counts.size >= MAX_VERSIONS) this.#counts.delete(oldest);
    const counts = { numbered: 0, other: 0 };
    this.#counts.set(key, counts);
    return counts;
  }
}

function keyOf({ pool, softwareVersion }: ServingVersion): string {
  return JSON.stringify([pool, softwareVersion]);
}
