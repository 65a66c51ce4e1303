import type { TimerService } from "../time/mod.ts";

/** Weight of one reading in the running mean. */
const SAMPLE_WEIGHT = 0.2;
/**
 * Time in which what was learned counts for half. Load: a burst of seconds.
 * Harm prevented: once late prompts are refused there is nothing to learn
 * from, and they would be refused for good.
 */
const HALF_LIFE_MILLISECONDS = 1_000;
/** Predictions below this are mostly the way there and back. */
const LEAST_PREDICTION_MILLISECONDS = 40;
const MOST_FACTOR = 10;

/**
 * How much longer than predicted it takes until a prompt is read that stands
 * behind all others. Load: an overload in which new prompts that can be on
 * time go on overtaking it, so that the backlog that was there when it came
 * says little. Harm prevented: it is held until its deadline and then refused.
 */
export class LateOverrun {
  readonly #timer: TimerService;
  #excess = 0;
  #at = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** What to multiply a prediction with; 1 where predictions hold. */
  get factor(): number {
    return 1 + Math.min(MOST_FACTOR - 1, this.#current());
  }

  /** A prompt was read, or given up, after so long. */
  took(milliseconds: number, predictedMilliseconds: number): void {
    const predicted = Math.max(
      LEAST_PREDICTION_MILLISECONDS,
      predictedMilliseconds,
    );
    const excess = Math.max(0, milliseconds / predicted - 1);
    const known = this.#current();
    this.#excess = known + SAMPLE_WEIGHT * (excess - known);
    this.#at = this.#timer.now();
  }

  #current(): number {
    const age = this.#timer.now() - this.#at;
    return this.#excess * 2 ** (-age / HALF_LIFE_MILLISECONDS);
  }
}
