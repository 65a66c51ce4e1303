/**
 * From a prompt's end to the answer's first byte, beyond the transfer of its
 * cache, before anything was seen: a call to the engine and some tokens' time.
 */
const PRIOR_MILLISECONDS = 15;
const PRIOR_DEVIATION_MILLISECONDS = 5;
/** Weight of one answer: about the last thirty count. */
const MIN_SAMPLE_WEIGHT = 0.03;
/** The first answers weigh as much as all before them together. */
const WARM_UP_ANSWERS = 1 / MIN_SAMPLE_WEIGHT;
/**
 * One answer moves the mean as if it had taken at most so many times as long.
 * An engine that has gone dark answers after seconds, and tells of itself only.
 */
const MAX_RATIO_TO_MEAN = 4;

/**
 * How long engines take from a prompt that was read elsewhere to the first byte of
 * its answer. It depends on the engines' step time, so it is learned.
 */
export class HandoverTime {
  #mean = PRIOR_MILLISECONDS;
  #deviation = PRIOR_DEVIATION_MILLISECONDS;
  #answers = 1;

  /** Time to the first byte beyond the transfer, milliseconds. */
  get meanMilliseconds(): number {
    return this.#mean;
  }

  /** The same for most answers, not only for half of them. */
  get conservativeMilliseconds(): number {
    return this.#mean + this.#deviation;
  }

  /** An answer's first byte came so long after its send. */
  record(milliseconds: number, transferMilliseconds: number): void {
    this.#answers += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.#answers);
    const maxMilliseconds = this.#answers <= WARM_UP_ANSWERS
      ? Infinity
      : MAX_RATIO_TO_MEAN * this.#mean;
    const netMilliseconds = Math.max(0, milliseconds - transferMilliseconds);
    const error = Math.min(netMilliseconds, maxMilliseconds) - this.#mean;
    this.#mean += weight * error;
    this.#deviation += weight * (Math.abs(error) - this.#deviation);
  }
}
