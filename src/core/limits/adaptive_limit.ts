/**
 * Time between tokens that the limit lets the endpoint reach, as a multiple of
 * its best. Load: a batch that fills up. Harm prevented: every stream of a
 * batch that is too large misses its deadline together. Limit: a full batch is about
 * 1.7 times slower than a single stream, and a prompt beside it 1.5 times
 * more, which together is still in order; set by that reasoning.
 */
const TOLERATED_SLOWDOWN = 2.5;
/** Time over which one decision about the limit is made. */
const ADJUST_MILLISECONDS = 1_000;
/** Cut of one step down: a tenth, so that one slow second does not halve it. */
const STEP_DOWN_FACTOR = 0.9;
/** Weight of one observation in the running mean that is reported. */
const OBSERVATION_WEIGHT = 0.05;
/**
 * Observations of a period that make its mean count. Load: an engine whose
 * tokens arrive several in one read. Harm prevented: a first interval of next
 * to nothing passes for the engine's best time, and a steady engine is cut
 * down to one attempt. Limit: twenty intervals are half a second of one stream.
 */
const FEWEST_OBSERVATIONS = 20;
/**
 * Growth of the remembered best time per adjustment, so that an engine that
 * has become slower for good (another model, other weights) is not held to
 * the past for ever: 0.1 % a second doubles it in about 12 minutes.
 */
const BEST_GROWTH_FACTOR = 1.001;

export interface AdaptiveLimitOptions {
  /** Ceiling, which is also the start. */
  readonly mostRunning: number;
  /** Aim for the time between tokens; without it, a multiple of the best. */
  readonly targetMilliseconds?: number;
  readonly toleratedSlowdown?: number;
}

/**
 * Number of attempts that an endpoint runs at once, from the observed time
 * between tokens: one up while the limit is used and tokens come in time, a
 * tenth down when they do not.
 */
export class AdaptiveLimit {
  #mostRunning: number;
  readonly #targetMilliseconds?: number;
  readonly #toleratedSlowdown: number;
  #limit: number;
  #mean = 0;
  #best = Infinity;
  /** Sum and number of the present period's observations. */
  #sum = 0;
  #count = 0;
  #adjustedAt = 0;
  #highestRunning = 0;

  constructor(options: AdaptiveLimitOptions) {
    this.#mostRunning = options.mostRunning;
    this.#targetMilliseconds = options.targetMilliseconds;
    this.#toleratedSlowdown = options.toleratedSlowdown ?? TOLERATED_SLOWDOWN;
    this.#limit = options.mostRunning;
  }

  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  get millisecondsBetweenTokens(): number {
    return this.#mean;
  }

  /** Starts again from a new ceiling; the best time may differ there. */
  useCeiling(mostRunning: number): void {
    this.#mostRunning = mostRunning;
    this.#limit = mostRunning;
    this.#mean = 0;
    this.#best = Infinity;
    this.#sum = 0;
    this.#count = 0;
  }

  /** One observed time between two tokens of a stream. */
  observe(milliseconds: number): void {
    this.#mean = this.#mean === 0
      ? milliseconds
      : this.#mean + OBSERVATION_WEIGHT * (milliseconds - this.#mean);
    this.#sum += milliseconds;
    this.#count += 1;
  }

  /** Called with every change of `running`; adjusts once per period. */
  adjust(now: number, running: number): void {
    this.#highestRunning = Math.max(this.#highestRunning, running);
    if (now - this.#adjustedAt < ADJUST_MILLISECONDS) return;
    this.#adjustedAt = now;
    if (this.#isTooSlow()) {
      this.#limit = Math.max(1, this.#limit * STEP_DOWN_FACTOR);
    } else if (this.#highestRunning >= this.limit) {
      this.#limit = Math.min(this.#mostRunning, this.#limit + 1);
    }
    this.#highestRunning = running;
  }

  /** Judges the period that ends now, where enough was observed in it. */
  #isTooSlow(): boolean {
    if (this.#count < FEWEST_OBSERVATIONS) return false;
    const mean = this.#sum / this.#count;
    this.#sum = 0;
    this.#count = 0;
    this.#best = Math.min(this.#best * BEST_GROWTH_FACTOR, mean);
    const target = this.#targetMilliseconds ??
      this.#best * this.#toleratedSlowdown;
    return mean > target;
  }
}
