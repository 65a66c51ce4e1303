/**
 * Retries earned by each success. 0.2 covers twice the retries needed when one
 * endpoint VM of ten fails, and adds at most a fifth to the load, so that
 * retries cannot multiply the load of a fleet that fails because it is
 * overloaded.
 */
const RETRIES_PER_SUCCESS = 0.2;
/**
 * Maximum number of saved retries, and the number available at start. It covers
 * the requests in flight on one engine that crashes.
 */
const MAX_SAVED_RETRIES = 32;

export interface RetryBudgetOptions {
  readonly retriesPerSuccess?: number;
  readonly maxSaved?: number;
}

/** Limits retries to a share of the recent successes. */
export class RetryBudget {
  readonly #retriesPerSuccess: number;
  readonly #maxSaved: number;
  #saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#retriesPerSuccess = options.retriesPerSuccess ?? RETRIES_PER_SUCCESS;
    this.#maxSaved = options.maxSaved ?? MAX_SAVED_RETRIES;
    this.#saved = this.#maxSaved;
  }

  /** Number of retries that are available now. */
  get available(): number {
    return Math.floor(this.#saved);
  }

  recordSuccess(): void {
    this.#saved = Math.min(
      this.#maxSaved,
      this.#saved + this.#retriesPerSuccess,
    );
  }

  /** Consumes one retry; returns false if none is available. */
  tryAcquire(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
