import type { TimerService } from "../../time/mod.ts";

/**
 * How long a refusal is remembered. Callers retry within a third of their
 * deadline, which is two seconds for long prompts.
 */
const REFUSAL_RETENTION_MILLISECONDS = 3_000;
/**
 * Limit on remembered refusals, which bounds the memory that a flood of
 * refused requests takes on a small VM. An overload that refuses most of
 * several hundred prompts per second produces on the order of a thousand in
 * three seconds.
 */
const MAX_REFUSALS = 5_000;
/** Limit on refusals queued for the next report to peers. */
const MAX_UNREPORTED_REFUSALS = 500;

/** A refusal reported to peers: the prompt and the caller's wait so far. */
export type RefusalReport = readonly [
  prompt: string,
  waitedMilliseconds: number,
];

/**
 * Tracks how long callers have waited since their first attempt. The target
 * latency counts from the first attempt, so a caller that was refused before
 * can often be answered only late, whichever entry receives its retry.
 *
 * A caller is recognized by its own part of the prompt, which the retry
 * repeats. The remaining deadline does not identify it, since deadlines differ
 * between callers.
 */
export class ReturningCallers {
  readonly #timer: TimerService;
  /**
   * First arrival of each refused prompt's caller, ordered by last refusal.
   */
  readonly #firstArrivals = new Map<string, number>();
  #unreported: RefusalReport[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Time since the first attempt with this prompt, in milliseconds. */
  elapsedSinceFirstAttempt(prompt: string | undefined): number {
    if (prompt === undefined) return 0;
    const firstArrival = this.#firstArrivals.get(prompt);
    const now = this.#timer.now();
    if (
      firstArrival === undefined ||
      now - firstArrival > REFUSAL_RETENTION_MILLISECONDS
    ) {
      return 0;
    }
    return now - firstArrival;
  }

  /** Records a refusal by this entry and the caller's wait so far. */
  record(prompt: string, waitedMilliseconds: number): void {
    this.recordPeer([prompt, waitedMilliseconds]);
    if (this.#unreported.length >= MAX_UNREPORTED_REFUSALS) return;
    this.#unreported.push([prompt, Math.round(waitedMilliseconds)]);
  }

  /** Records a refusal that a peer reported. */
  recordPeer([prompt, waitedMilliseconds]: RefusalReport): void {
    this.#firstArrivals.delete(prompt);
    this.#firstArrivals.set(prompt, this.#timer.now() - waitedMilliseconds);
    if (this.#firstArrivals.size <= MAX_REFUSALS) return;
    for (const oldest of this.#firstArrivals.keys()) {
      this.#firstArrivals.delete(oldest);
      return;
    }
  }

  /** Returns and clears this entry's refusals since the last call. */
  takeUnreported(): readonly RefusalReport[] {
    const unreported = this.#unreported;
    this.#unreported = [];
    return unreported;
  }

  /** True while refusals wait to be reported to peers. */
  get hasUnreported(): boolean {
    return this.#unreported.length > 0;
  }
}
