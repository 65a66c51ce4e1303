/** A listener's registration with the timer service. */
export interface Subscription {
  /** Ends the subscription; a listener that is already due is not called. */
  cancel(): void;
}

/**
 * The only source of time in the system. Parts take it as an argument, so the
 * same code runs on real time in a process and on virtual time in a test.
 */
export interface TimerService {
  /** Monotonic time in milliseconds; its origin means nothing. */
  now(): number;
  /**
   * Time of day in milliseconds since 1970. Clocks of different machines
   * disagree: no decision about safety may rest on it.
   */
  wallClock(): number;
  /** Calls the listener once after `delayMilliseconds`. */
  after(delayMilliseconds: number, listener: () => void): Subscription;
  /** Calls the listener every `periodMilliseconds` until cancelled. */
  every(periodMilliseconds: number, listener: () => void): Subscription;
}
