import type { RepeatPermit, RetryAllowance } from "./retry_allowance.ts";

/** What is to be sent next of a request. */
export interface NextSends {
  /** True: its prompt is read by one engine and then sent to another. */
  readonly reading: boolean;
}

/**
 * What has reached a pool of one request, counted as the pool counts it. The
 * first arrival is free, and so is the first reading of the prompt that an
 * engine accepts; a reading that is rejected, or one more that is accepted,
 * counts like any other arrival. Everything beyond needs a permit of the
 * fleet's allowance before it is sent. Load: an engine crashes with streams on
 * it, each of which has its prompt read anew and is then sent on. Harm
 * prevented: what is only noted afterwards has no limit; 225 streams that were
 * allowed one repeat each made 495 arrivals, where the fleet allowed 320.
 */
export class RequestArrivals {
  readonly #allowance: RetryAllowance;
  readonly #pool: string;
  /** Granted and not yet used. */
  readonly #permits: RepeatPermit[] = [];
  #counted = 0;
  #hasRead = false;
  /** True while an engine reads the prompt. */
  #isReading = false;
  /** What the last send has used; undefined where it was free. */
  #used: RepeatPermit | undefined;

  constructor(allowance: RetryAllowance, pool: string) {
    this.#allowance = allowance;
    this.#pool = pool;
  }

  /** True once an engine has read the prompt. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** Makes sure that what is sent next is allowed; false where it is not. */
  cover({ reading }: NextSends): boolean {
    const counting = reading && this.#hasRead ? 2 : 1;
    const free = this.#counted === 0 ? 1 : 0;
    while (this.#permits.length < counting - free) {
      const permit = this.#allowance.grant(this.#pool);
      if (permit === undefined) return false;
      this.#permits.push(permit);
    }
    return true;
  }

  /** The request is sent to an endpoint that may run it. */
  sent(): void {
    this.#used = undefined;
    this.#count();
  }

  /** The last send has not reached the endpoint after all. */
  notArrived(): void {
    this.#counted -= 1;
    this.#used?.giveBack();
    this.#used = undefined;
  }

  /** An engine is asked to read the prompt. */
  readingSent(): void {
    this.#isReading = true;
  }

  readingEnded({ accepted }: { readonly accepted: boolean }): void {
    if (!this.#isReading) return;
    this.#isReading = false;
    const isFree = accepted && !this.#hasRead;
    this.#hasRead ||= accepted;
    if (!isFree) this.#count();
  }

  /** The reading has not reached the engine, which takes no connection. */
  readingNotSent(): void {
    this.#isReading = false;
  }

  /** The request is over. A reading that is given up has arrived all the same. */
  release(): void {
    this.readingEnded({ accepted: false });
    for (const permit of this.#permits.splice(0)) permit.giveBack();
  }

  #count(): void {
    this.#counted += 1;
    if (this.#counted === 1) return;
    this.#used = this.#permits.pop();
    this.#used?.use();
  }
}
