import type { TimerService } from "../../time/mod.ts";

/**
 * Share of its part of the budget that an entry uses. The fleet's limit applies
 * to any span of the window's length, and a change of the number of entries is
 * known only a heartbeat later.
 */
const USABLE_SHARE = 0.8;
/**
 * Usable share while the process is younger than a window. The process before a
 * restart may have used up its own share; the two together stay within the
 * entry's part. A second restart within one window is not covered.
 */
const STARTUP_USABLE_SHARE = 1 - USABLE_SHARE;

export interface SharedRetryBudgetOptions {
  readonly timer: TimerService;
  /** Retries allowed per request in the window, across the fleet. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Retries allowed in each window at any traffic, across the fleet. */
  readonly minimum: number;
  /** Number of entries that share the minimum, including this one. */
  readonly entries: () => number;
}

/** This entry's use of its part of one pool's retry budget. */
export interface RetryBudgetUsage {
  readonly pool: string;
  /** Retries sent in the current window, and those granted and not yet sent. */
  readonly counted: number;
  /** This entry's limit in the current window. */
  readonly allowed: number;
}

/** Permission for one retry, valid until consumed or released. */
export interface RetryPermit {
  /** Marks the retry as sent; it counts for a whole window from now. */
  consume(): void;
  /** Returns the permit of a retry that was not sent or not delivered. */
  release(): void;
}

/** Requests and retries of one pool in the current window. */
interface PoolWindow {
  /** Arrival times of requests. */
  readonly requests: number[];
  /** Times at which retries were sent. */
  readonly retries: number[];
  /** Retries granted and not yet sent. */
  granted: number;
}

/**
 * This entry's part of a retry budget shared by the fleet. Retries multiply the
 * load of a pool that fails because it is overloaded. The limit is the
 * configured ratio of the requests received by this entry, plus an equal part
 * of the configured minimum.
 *
 * A retry counts from its grant, since it may wait for seconds before it is
 * sent, and then for a whole window from its send.
 */
export class SharedRetryBudget {
  readonly #options: SharedRetryBudgetOptions;
  readonly #pools = new Map<string, PoolWindow>();
  readonly #startedAt: number;

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  /** Records the first arrival of a request for the pool. */
  recordRequest(pool: string): void {
    this.#windowOf(pool).requests.push(this.#options.timer.now());
  }

  /** Grants one retry; undefined where the budget is exhausted. */
  grant(pool: string): RetryPermit | undefined {
    const { allowed, counted } = this.usageOf(pool);
    if (allowed - counted < 1) return undefined;
    const window = this.#windowOf(pool);
    window.granted += 1;
    return new GrantedRetry(window, this.#options.timer);
  }

  /** Budget use of each pool that has received requests. */
  usageByPool(): RetryBudgetUsage[] {
    return [...this.#pools.keys()].map((pool) => this.usageOf(pool));
  }

  /** Budget use of one pool. */
  usageOf(pool: string): RetryBudgetUsage {
    const { granted, retries } = this.#windowOf(pool);
    return {
      pool,
      counted: retries.length + granted,
      allowed: this.#limit(pool),
    };
  }

  /** This entry's limit in the current window. */
  #limit(pool: string): number {
    const { ratio, minimum, entries } = this.#options;
    const requests = this.#windowOf(pool).requests.length;
    const minimumShare = minimum / Math.max(1, entries());
    return this.#usableShare * (ratio * requests + minimumShare);
  }

  get #usableShare(): number {
    const { timer, windowMilliseconds } = this.#options;
    const isStartingUp = timer.now() - this.#startedAt < windowMilliseconds;
    return isStartingUp ? STARTUP_USABLE_SHARE : USABLE_SHARE;
  }

  #windowOf(pool: string): PoolWindow {
    let window = this.#pools.get(pool);
    if (window === undefined) {
      window = { requests: [], retries: [], granted: 0 };
      this.#pools.set(pool, window);
    }
    const oldest = this.#options.timer.now() - this.#options.windowMilliseconds;
    dropBefore(window.requests, oldest);
    dropBefore(window.retries, oldest);
    return window;
  }
}

class GrantedRetry implements RetryPermit {
  readonly #window: PoolWindow;
  readonly #timer: TimerService;
  #state: "granted" | "consumed" | "released" = "granted";
  #consumedAt = 0;

  constructor(window: PoolWindow, timer: TimerService) {
    this.#window = window;
    this.#timer = timer;
  }

  consume(): void {
    if (this.#state !== "granted") return;
    this.#state = "consumed";
    this.#consumedAt = this.#timer.now();
    this.#window.granted -= 1;
    this.#window.retries.push(this.#consumedAt);
  }

  release(): void {
    if (this.#state === "granted") this.#window.granted -= 1;
    if (this.#state === "consumed") this.#undoConsume();
    this.#state = "released";
  }

  #undoConsume(): void {
    const { retries } = this.#window;
    const index = retries.lastIndexOf(this.#consumedAt);
    // A retry older than the window has been removed already.
    if (index >= 0) retries.splice(index, 1);
  }
}

function dropBefore(times: number[], oldest: number): void {
  let count = 0;
  while (count < times.length && times[count] < oldest) count++;
  if (count > 0) times.splice(0, count);
}
