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

/**
 * Deviation from its retry time at which a caller has still kept it: early by
 * the delay of a report, or late by the caller's own delays.
 */
const MAX_EARLY_MILLISECONDS = 15;
const MAX_LATE_MILLISECONDS = 250;

/**
 * A refusal reported to peers: the prompt, the caller's wait so far, and the
 * time until the retry for which capacity is reserved, if any.
 */
export type RefusalReport = readonly [
  prompt: string,
  waitedMilliseconds: number,
  dueInMilliseconds?: number,
];

/** What is known of a refused caller, on the timer's clock. */
interface RefusedCaller {
  readonly firstArrival: number;
  /** Time of the retry for which capacity is reserved. */
  readonly dueAt?: number;
}

/** A refusal that is not reported yet. */
interface UnreportedRefusal {
  readonly prompt: string;
  readonly waitedMilliseconds: number;
  readonly dueAt: number | undefined;
}

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
   * The caller of each refused prompt, ordered by last refusal.
   */
  readonly #callers = new Map<string, RefusedCaller>();
  #unreported: UnreportedRefusal[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Time since the first attempt with this prompt, in milliseconds. */
  elapsedSinceFirstAttempt(prompt: string | undefined): number {
    if (prompt === undefined) return 0;
    const firstArrival = this.#callers.get(prompt)?.firstArrival;
    const now = this.#timer.now();
    if (
      firstArrival === undefined ||
      now - firstArrival > REFUSAL_RETENTION_MILLISECONDS
    ) {
      return 0;
    }
    return now - firstArrival;
  }

  /** True if the caller retries at the time for which it has a reservation. */
  isDue(prompt: string | undefined): boolean {
    if (prompt === undefined) return false;
    const dueAt = this.#callers.get(prompt)?.dueAt;
    if (dueAt === undefined) return false;
    const late = this.#timer.now() - dueAt;
    return late >= -MAX_EARLY_MILLISECONDS && late <= MAX_LATE_MILLISECONDS;
  }

  /**
   * Records a refusal by this entry, the caller's wait so far, and the time
   * until the retry for which capacity is reserved, if any.
   */
  record(
    prompt: string,
    waitedMilliseconds: number,
    dueInMilliseconds?: number,
  ): void {
    this.recordPeer([prompt, waitedMilliseconds, dueInMilliseconds]);
    if (this.#unreported.length >= MAX_UNREPORTED_REFUSALS) return;
    const dueAt = this.#callers.get(prompt)?.dueAt;
    this.#unreported.push({ prompt, waitedMilliseconds, dueAt });
  }

  /** Records a refusal that a peer reported. */
  recordPeer(
    [prompt, waitedMilliseconds, dueInMilliseconds]: RefusalReport,
  ): void {
    const now = this.#timer.now();
    this.#callers.delete(prompt);
    this.#callers.set(prompt, {
      firstArrival: now - waitedMilliseconds,
      ...(dueInMilliseconds !== undefined &&
        { dueAt: now + dueInMilliseconds }),
    });
    if (this.#callers.size <= MAX_REFUSALS) return;
    for (const oldest of this.#callers.keys()) {
      this.#callers.delete(oldest);
      return;
    }
  }

  /** Returns and clears this entry's refusals since the last call. */
  takeUnreported(): readonly RefusalReport[] {
    const now = this.#timer.now();
    const reports = this.#unreported.map(
      ({ prompt, waitedMilliseconds, dueAt }): RefusalReport => {
        const waited = Math.round(waitedMilliseconds);
        return dueAt === undefined
          ? [prompt, waited]
          : [prompt, waited, Math.round(dueAt - now)];
      },
    );
    this.#unreported = [];
    return reports;
  }

  /** True while refusals wait to be reported to peers. */
  get hasUnreported(): boolean {
    return this.#unreported.length > 0;
  }
}
