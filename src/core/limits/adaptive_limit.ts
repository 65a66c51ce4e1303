/**
 * Maximum interval between tokens, as a multiple of the endpoint's best one. In
 * a batch that is too large, every stream misses its deadline. A full batch is
 * about 1.7 times slower than a single stream, and a concurrent prompt slows it
 * down by a further 1.5, which together is acceptable.
 */
const TOLERATED_SLOWDOWN = 2.5;
/** Interval between adjustments of the limit. */
const ADJUSTMENT_INTERVAL_MILLISECONDS = 1_000;
/**
 * Multiplicative decrease; a tenth, so that one slow second does not halve the
 * limit.
 */
const DECREASE_FACTOR = 0.9;
/** Smoothing factor of the reported mean. */
const OBSERVATION_WEIGHT = 0.05;
/**
 * Minimum number of observations for the mean of a period to count. If an
 * engine's tokens arrive several in one read, a first interval of nearly zero
 * would become its best one and reduce the limit of a steady engine to one
 * attempt. 20 intervals are half a second of one stream.
 */
const MIN_OBSERVATIONS = 20;
/**
 * Growth of the remembered best mean per adjustment, so that an engine that is
 * slower permanently (another model, other weights) is not compared with its
 * past indefinitely: 0.1 % a second doubles it in about 12 minutes.
 */
const BEST_GROWTH_FACTOR = 1.001;

export interface AdaptiveLimitOptions {
  /** Upper bound of the limit, and its initial value. */
  readonly mostRunning: number;
  /** Target interval between tokens; if absent, a multiple of the best mean. */
  readonly targetMilliseconds?: number;
  readonly toleratedSlowdown?: number;
}

/**
 * Concurrency limit of an endpoint, derived from the observed interval between
 * tokens: additive increase while the limit is reached and tokens arrive in
 * time, multiplicative decrease when they do not.
 */
export class AdaptiveLimit {
  #maxRunning: number;
  readonly #targetMilliseconds?: number;
  readonly #toleratedSlowdown: number;
  #limit: number;
  #smoothedMean = 0;
  #bestMean = Infinity;
  /** Sum and number of the observations in the current period. */
  #sum = 0;
  #count = 0;
  #adjustedAt = 0;
  #peakRunning = 0;

  constructor(options: AdaptiveLimitOptions) {
    this.#maxRunning = options.mostRunning;
    this.#targetMilliseconds = options.targetMilliseconds;
    this.#toleratedSlowdown = options.toleratedSlowdown ?? TOLERATED_SLOWDOWN;
    this.#limit = options.mostRunning;
  }

  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  get millisecondsBetweenTokens(): number {
    return this.#smoothedMean;
  }

  /** Restarts from a new upper bound; the best mean may differ there. */
  setCeiling(mostRunning: number): void {
    this.#maxRunning = mostRunning;
    this.#limit = mostRunning;
    this.#smoothedMean = 0;
    this.#bestMean = Infinity;
    this.#sum = 0;
    this.#count = 0;
  }

  /** Records one interval between two tokens of a stream. */
  observe(milliseconds: number): void {
    this.#smoothedMean = this.#smoothedMean === 0
      ? milliseconds
      : this.#smoothedMean +
        OBSERVATION_WEIGHT * (milliseconds - this.#smoothedMean);
    this.#sum += milliseconds;
    this.#count += 1;
  }

  /**
   * Adjusts the limit at most once per period; called on every change of
   * `running`.
   */
  adjust(now: number, running: number): void {
    this.#peakRunning = Math.max(this.#peakRunning, running);
    if (now - this.#adjustedAt < ADJUSTMENT_INTERVAL_MILLISECONDS) return;
    this.#adjustedAt = now;
    if (this.#isTooSlow()) {
      this.#limit = Math.max(1, this.#limit * DECREASE_FACTOR);
    } else if (this.#peakRunning >= this.limit) {
      this.#limit = Math.min(this.#maxRunning, this.#limit + 1);
    }
    this.#peakRunning = running;
  }

  /** Evaluates the period that ends now, if it has enough observations. */
  #isTooSlow(): boolean {
    if (this.#count < MIN_OBSERVATIONS) return false;
    const mean = this.#sum / this.#count;
    this.#sum = 0;
    this.#count = 0;
    this.#bestMean = Math.min(this.#bestMean * BEST_GROWTH_FACTOR, mean);
    const target = this.#targetMilliseconds ??
      this.#bestMean * this.#toleratedSlowdown;
    return mean > target;
  }
}
