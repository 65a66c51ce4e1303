import type { RetryPermit, SharedRetryBudget } from "./shared_retry_budget.ts";

/** What a request is about to send. */
export interface NextAttempt {
  /** True where a prefill engine processes the prompt before the send. */
  readonly prefill: boolean;
}

/**
 * Counts how often one request has arrived at a pool, in the way the pool
 * counts it. The first arrival is free, and so is the first prefill that an
 * engine accepts. A rejected prefill and each further accepted one count like
 * any other arrival. Each counted arrival beyond the first needs a permit from
 * the fleet's retry budget before it is sent.
 *
 * The permit is taken before the send because retries that are counted only
 * afterwards have no limit. When an engine crashes, every stream on it repeats
 * its prefill and is then sent again: 225 streams with one retry each made 495
 * arrivals where the fleet's limit was 320.
 */
export class RequestArrivals {
  readonly #budget: SharedRetryBudget;
  readonly #pool: string;
  /** Permits granted and not yet consumed. */
  readonly #permits: RetryPermit[] = [];
  #arrivals = 0;
  #hasPrefilled = false;
  /** True while an engine processes the prompt. */
  #isPrefilling = false;
  /** Permit that the last send consumed; undefined where the send was free. */
  #lastPermit: RetryPermit | undefined;

  constructor(budget: SharedRetryBudget, pool: string) {
    this.#budget = budget;
    this.#pool = pool;
  }

  /** True once an engine has prefilled the prompt. */
  get hasPrefilled(): boolean {
    return this.#hasPrefilled;
  }

  /**
   * Reserves permits for the next sends; false where the budget is exhausted.
   */
  reserve({ prefill }: NextAttempt): boolean {
    const nextArrivals = prefill && this.#hasPrefilled ? 2 : 1;
    const freeArrivals = this.#arrivals === 0 ? 1 : 0;
    while (this.#permits.length < nextArrivals - freeArrivals) {
      const permit = this.#budget.grant(this.#pool);
      if (permit === undefined) return false;
      this.#permits.push(permit);
    }
    return true;
  }

  /** Records that the request is sent to an endpoint that may run it. */
  recordSend(): void {
    this.#lastPermit = undefined;
    this.#countArrival();
  }

  /** Reverts the last send, which did not reach the endpoint. */
  revertSend(): void {
    this.#arrivals -= 1;
    this.#lastPermit?.release();
    this.#lastPermit = undefined;
  }

  /** Records that an engine is asked to prefill the prompt. */
  prefillSent(): void {
    this.#isPrefilling = true;
  }

  /** Records the end of a prefill that reached its engine. */
  prefillEnded({ accepted }: { readonly accepted: boolean }): void {
    if (!this.#isPrefilling) return;
    this.#isPrefilling = false;
    const isFree = accepted && !this.#hasPrefilled;
    this.#hasPrefilled ||= accepted;
    if (!isFree) this.#countArrival();
  }

  /**
   * Records that the prefill did not reach the engine: it refused the
   * connection.
   */
  prefillNotSent(): void {
    this.#isPrefilling = false;
  }

  /**
   * Ends the request and returns unused permits. A cancelled prefill counts.
   */
  release(): void {
    this.prefillEnded({ accepted: false });
    for (const permit of this.#permits.splice(0)) permit.release();
  }

  #countArrival(): void {
    this.#arrivals += 1;
    if (this.#arrivals === 1) return;
    this.#lastPermit = this.#permits.pop();
    this.#lastPermit?.consume();
  }
}
