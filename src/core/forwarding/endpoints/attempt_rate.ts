/** Time over which attempts are averaged, milliseconds. */
const AVERAGING_MILLISECONDS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Moving average of the attempts per second at an endpoint. */
export class AttemptRate {
  #attempts = 0;
  #at = 0;

  record(attempts: number, now: number): void {
    this.#attempts = this.#remaining(now) + attempts;
    this.#at = now;
  }

  perSecond(now: number): number {
    return MILLISECONDS_PER_SECOND * this.#remaining(now) /
      AVERAGING_MILLISECONDS;
  }

  #remaining(now: number): number {
    return this.#attempts *
      Math.exp((this.#at - now) / AVERAGING_MILLISECONDS);
  }
}
