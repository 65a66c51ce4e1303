/**
 * Initial estimate of the time from the end of the prefill to the first byte of
 * the response, without the transfer of the cache: a call to the engine and a
 * few tokens.
 */
const PRIOR_MILLISECONDS = 15;
const PRIOR_DEVIATION_MILLISECONDS = 5;
/** Weight of one response, so that about the last thirty count. */
const MIN_SAMPLE_WEIGHT = 0.03;
/**
 * Number of responses over which the estimate is a plain mean without an
 * outlier limit.
 */
const WARM_UP_RESPONSES = 1 / MIN_SAMPLE_WEIGHT;
/**
 * Limit on one response's time relative to the mean. An unresponsive engine
 * responds after seconds, which says nothing of the other engines.
 */
const MAX_RATIO_TO_MEAN = 4;

/**
 * Learns the time that engines take from a prompt prefilled elsewhere to the
 * first byte of its response. It depends on the duration of the engines' decode
 * steps.
 */
export class HandoverTime {
  #mean = PRIOR_MILLISECONDS;
  #deviation = PRIOR_DEVIATION_MILLISECONDS;
  #responses = 1;

  /** Mean time to the first byte without the transfer, in milliseconds. */
  get meanMilliseconds(): number {
    return this.#mean;
  }

  /** The mean plus the mean deviation, which most responses stay below. */
  get conservativeMilliseconds(): number {
    return this.#mean + this.#deviation;
  }

  /**
   * Records a response's time from send to first byte, including the transfer.
   */
  record(milliseconds: number, transferMilliseconds: number): void {
    this.#responses += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.#responses);
    const maxMilliseconds = this.#responses <= WARM_UP_RESPONSES
      ? Infinity
      : MAX_RATIO_TO_MEAN * this.#mean;
    const netMilliseconds = Math.max(0, milliseconds - transferMilliseconds);
    const error = Math.min(netMilliseconds, maxMilliseconds) - this.#mean;
    this.#mean += weight * error;
    this.#deviation += weight * (Math.abs(error) - this.#deviation);
  }
}
