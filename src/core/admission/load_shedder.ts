/** Smoothing factor of the measured event loop delay. */
const SMOOTHING_FACTOR = 0.3;
/**
 * Event loop delay at which the least urgent class is refused; each further
 * step refuses one more class. An entry whose event loop cannot keep up stalls
 * as a whole and fails the load balancer's health check, which loses its urgent
 * requests too. The delay is noticeable within a time to first token of
 * 310 ms, while a load balancer usually waits a second or more.
 */
const SHED_STEP_MILLISECONDS = 40;

/** Sheds the least urgent classes while the entry's event loop is delayed. */
export class LoadShedder {
  #averageDelay = 0;

  recordLoopDelay(milliseconds: number): void {
    this.#averageDelay += SMOOTHING_FACTOR *
      (milliseconds - this.#averageDelay);
  }

  /**
   * Returns whether requests of this rank are refused; rank 0 is the most
   * urgent.
   */
  shouldShed(rank: number, rankCount: number): boolean {
    const steps = Math.floor(this.#averageDelay / SHED_STEP_MILLISECONDS);
    return rankCount - rank <= Math.min(steps, rankCount - 1);
  }
}
