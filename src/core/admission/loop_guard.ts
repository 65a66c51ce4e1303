/** Weight of one measurement of the loop's delay. */
const MEASUREMENT_WEIGHT = 0.3;
/**
 * Delay at which the least urgent class is refused, and each further step at
 * which one more class is. Load: an entry whose loop can't keep up with its
 * callers. Harm prevented: it stalls as a whole, the balancer takes it for
 * dead, and its urgent requests go with it. Limit: 40 ms is felt as part of a
 * first token in 310 ms; the balancer's usual patience is a second or more.
 */
const STEP_MILLISECONDS = 40;

/** Sheds the least urgent classes while the entry's own loop lags. */
export class LoopGuard {
  #delay = 0;

  measured(milliseconds: number): void {
    this.#delay += MEASUREMENT_WEIGHT * (milliseconds - this.#delay);
  }

  /** True: the class of this rank (0 is the most urgent) is refused now. */
  sheds(rank: number, ranks: number): boolean {
    const steps = Math.floor(this.#delay / STEP_MILLISECONDS);
    return ranks - rank <= Math.min(steps, ranks - 1);
  }
}
