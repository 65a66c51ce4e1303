/**
 * Retries that one success pays for. Load: an endpoint VM of ten fails, so one
 * request in ten needs a second try. Harm prevented: retries that multiply the
 * load of a fleet which is failing because it is overloaded. Limit: 0.2 covers
 * the loss of one replica of ten twice over, and adds at most a fifth of load.
 */
const RETRIES_PER_SUCCESS = 0.2;
/**
 * Retries that may be saved up, and that a start begins with. Limit: covers
 * the requests in flight on one engine that crashes.
 */
const MOST_SAVED_RETRIES = 32;

export interface RetryBudgetOptions {
  readonly retriesPerSuccess?: number;
  readonly mostSaved?: number;
}

/** Allows retries as a share of recent successes. */
export class RetryBudget {
  readonly #retriesPerSuccess: number;
  readonly #mostSaved: number;
  #saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#retriesPerSuccess = options.retriesPerSuccess ?? RETRIES_PER_SUCCESS;
    this.#mostSaved = options.mostSaved ?? MOST_SAVED_RETRIES;
    this.#saved = this.#mostSaved;
  }

  /** Retries that could be made at once. */
  get left(): number {
    return Math.floor(this.#saved);
  }

  succeeded(): void {
    this.#saved = Math.min(
      this.#mostSaved,
      this.#saved + this.#retriesPerSuccess,
    );
  }

  /** Takes one retry; false where none is left. */
  take(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
