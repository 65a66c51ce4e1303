/** Weight of the older requests: about the last fifty count. */
const REQUEST_DECAY = 0.98;
/** Served share from which a class is not thinned at all. */
const FULLY_SERVED = 0.98;

interface Tally {
  offered: number;
  admitted: number;
}

/**
 * Lets in of each class only the share that the pool can serve beside the
 * rest. Load: more long prompts than the fleet can read. Harm prevented: the
 * class that takes most for each answer fills the queue, and every other class
 * behind it is late as well, so that fewer answers are given in all. Limit:
 * the share that the division of the work among the roles leaves to the class.
 */
export class ClassThinning {
  readonly #tallies = new Map<string, Tally>();

  /** Notes a request that has come, and tells whether it goes over the share. */
  isOver(className: string, servedShare: number): boolean {
    const tally = this.#of(className);
    tally.offered = tally.offered * REQUEST_DECAY + 1;
    tally.admitted *= REQUEST_DECAY;
    if (servedShare >= FULLY_SERVED) return false;
    return tally.admitted >= servedShare * tally.offered;
  }

  admitted(className: string): void {
    this.#of(className).admitted += 1;
  }

  #of(className: string): Tally {
    let tally = this.#tallies.get(className);
    if (tally === undefined) {
      tally = { offered: 0, admitted: 0 };
      this.#tallies.set(className, tally);
    }
    return tally;
  }
}
