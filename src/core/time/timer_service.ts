/** A timer that is registered with the timer service. */
export interface Subscription {
  /** Cancels the timer; a listener that is already due is not called. */
  cancel(): void;
}

/**
 * The only source of time in the system. Components receive it as an argument,
 * so the same code runs on real time in a process and on virtual time in a
 * test.
 */
export interface TimerService {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  now(): number;
  /**
   * Wall clock in milliseconds since 1970. The clocks of different machines
   * disagree, so no safety property may depend on it.
   */
  wallClock(): number;
  /** Calls the listener once after `delayMilliseconds`. */
  after(delayMilliseconds: number, listener: () => unknown): Subscription;
  /** Calls the listener every `periodMilliseconds` until it is cancelled. */
  every(periodMilliseconds: number, listener: () => unknown): Subscription;
  /**
   * Calls the listener now. As with the others, the service owns what it throws
   * and the promise that it returns: a throw ends that call and nothing else.
   */
  run(listener: () => unknown): void;
}
