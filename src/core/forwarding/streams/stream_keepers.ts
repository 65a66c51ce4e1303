import type { ProcessId, StreamDigest } from "../../identity/mod.ts";
import { hashToUnit } from "../../membership/mod.ts";

/** Points of each entry on the ring; more of them spread the streams evenly. */
const POINTS_PER_ENTRY = 16;

interface RingPoint {
  readonly position: number;
  readonly entry: ProcessId;
}

/**
 * Assigns the origin of each stream to other entries by consistent hashing, so
 * that every entry can work out whom to ask. An entry that joins or leaves
 * changes the assignment of few streams.
 */
export class StreamKeepers {
  #ring: readonly RingPoint[] = [];
  #entries = 0;

  /** Sets the other entries of the fleet. */
  setPeers(peers: readonly ProcessId[]): void {
    this.#entries = peers.length;
    this.#ring = peers.flatMap((entry) =>
      Array.from({ length: POINTS_PER_ENTRY }, (_, point) => ({
        entry,
        position: hashToUnit(`${entry}/${point}`),
      }))
    ).sort((left, right) => left.position - right.position);
  }

  /** The first entries for the stream for which `isUsable` holds. */
  keepersOf(
    stream: StreamDigest,
    { count, isUsable = () => true }: {
      readonly count: number;
      readonly isUsable?: (entry: ProcessId) => boolean;
    },
  ): ProcessId[] {
    const seen = new Set<ProcessId>();
    const keepers: ProcessId[] = [];
    const start = this.#firstPointFrom(hashToUnit(stream));
    for (let step = 0; step < this.#ring.length; step++) {
      if (keepers.length === count || seen.size === this.#entries) break;
      const { entry } = this.#ring[(start + step) % this.#ring.length];
      if (seen.has(entry)) continue;
      seen.add(entry);
      if (isUsable(entry)) keepers.push(entry);
    }
    return keepers;
  }

  #firstPointFrom(position: number): number {
    let low = 0;
    let high = this.#ring.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#ring[middle].position < position) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
