import type { Random } from "../../random/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Shortest retry time; an earlier retry would meet the same load. */
const MIN_RETRY_MILLISECONDS = 20;
/** Ranks from here on share one row of the calendar. */
const LOWEST_RANK = 9;

export interface ReturnCalendarOptions {
  /** Engines that this entry's returning callers can use, fractions allowed. */
  readonly spareEngines: number;
  /** Longest time for which the caller honors a retry time. */
  readonly maxMilliseconds: number;
  /** Latest retry that can still be on time; 0 or less if none can. */
  readonly onTimeMilliseconds: number;
}

/** When a refused caller should retry. */
export interface ReturnSlot {
  readonly milliseconds: number;
  /** True if the spare capacity of that time was reserved for the caller. */
  readonly isReserved: boolean;
}

/**
 * Calendar of the prefill work that becomes free, in which refused callers get
 * successive slots. Callers that all retry after the same time are refused
 * again, while the engines have been idle in between.
 *
 * Each rank has its own row of reserved work. A caller's slot begins after the
 * work of its own and all more urgent ranks, so urgent callers get earlier
 * ones. Only times at which a response can still be on time are reserved: late
 * responses would take the capacity from callers that can be on time.
 */
export class ReturnCalendar {
  readonly #timer: TimerService;
  readonly #random: Random;
  /** Reserved engine milliseconds by rank that have not become free yet. */
  readonly #reserved = new Array<number>(LOWEST_RANK + 1).fill(0);
  #drainedAt: number;

  constructor(timer: TimerService, random: Random) {
    this.#timer = timer;
    this.#random = random;
    this.#drainedAt = timer.now();
  }

  /** Finds the caller's retry time for prefill work of this many milliseconds. */
  next(
    rank: number,
    workMilliseconds: number,
    options: ReturnCalendarOptions,
  ): ReturnSlot {
    const { maxMilliseconds, onTimeMilliseconds, spareEngines } = options;
    this.#drain(spareEngines);
    const row = Math.min(LOWEST_RANK, Math.max(0, Math.floor(rank)));
    const ahead = this.#reserved.slice(0, row + 1)
      .reduce((sum, each) => sum + each, 0);
    // The offset spreads the slots of entries, which have the same calendars.
    const start = (ahead + this.#random() * workMilliseconds) / spareEngines;
    if (start <= Math.min(maxMilliseconds, onTimeMilliseconds)) {
      this.#reserved[row] += workMilliseconds;
      const milliseconds = Math.max(MIN_RETRY_MILLISECONDS, start);
      return { milliseconds, isReserved: true };
    }
    // Nothing is expected to become free in time, but others may leave.
    const limit = onTimeMilliseconds > MIN_RETRY_MILLISECONDS
      ? Math.min(maxMilliseconds, onTimeMilliseconds)
      : maxMilliseconds;
    const milliseconds = limit * (1 + this.#random()) / 2;
    return {
      milliseconds: Math.max(MIN_RETRY_MILLISECONDS, milliseconds),
      isReserved: false,
    };
  }

  #drain(spareEngines: number): void {
    const now = this.#timer.now();
    let free = (now - this.#drainedAt) * spareEngines;
    this.#drainedAt = now;
    for (const [rank, work] of this.#reserved.entries()) {
      const drained = Math.min(work, free);
      this.#reserved[rank] -= drained;
      free -= drained;
    }
  }
}
