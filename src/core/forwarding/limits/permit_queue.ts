import type { PermitDemand } from "./permit_issuer.ts";

/** A request's place in a queue. */
export interface QueuePlace {
  readonly rank: number;
}

/**
 * Requests of this entry that wait until the request limits of a group of
 * endpoints admit them: the more urgent first, then in order of arrival.
 */
export class PermitQueue {
  readonly #groups = new Map<string, QueuePlace[]>();

  enter(group: string, rank: number): QueuePlace {
    const places = this.#groups.get(group) ?? [];
    this.#groups.set(group, places);
    const place = { rank };
    const behind = places.findIndex((each) => each.rank > rank);
    places.splice(behind < 0 ? places.length : behind, 0, place);
    return place;
  }

  leave(group: string, place: QueuePlace): void {
    const places = this.#groups.get(group) ?? [];
    const index = places.indexOf(place);
    if (index >= 0) places.splice(index, 1);
    if (places.length === 0) this.#groups.delete(group);
  }

  /** Number of requests ahead of this place, or of a newcomer of this rank. */
  countAhead(group: string, position: QueuePlace): number {
    const places = this.#groups.get(group) ?? [];
    const index = places.indexOf(position);
    if (index >= 0) return index;
    return places.filter(({ rank }) => rank <= position.rank).length;
  }

  /** Number of requests in the queue by rank. */
  countByRank(group: string): PermitDemand {
    const counts = new Map<number, number>();
    for (const { rank } of this.#groups.get(group) ?? []) {
      counts.set(rank, (counts.get(rank) ?? 0) + 1);
    }
    return [...counts];
  }
}
