import type { TimerService } from "../../time/mod.ts";

/**
 * Share of its part that an entry uses. The fleet's limit counts any span of the
 * window's length, while the number of entries is known a heartbeat late.
 */
const USED_SHARE = 0.8;
/**
 * The same while the process is younger than a window: the process before it may
 * have used up its part. Both together stay within it; a second restart within one
 * window is not covered.
 */
const YOUNG_USED_SHARE = 1 - USED_SHARE;

export interface RetryAllowanceOptions {
  readonly timer: TimerService;
  /** Repeats allowed for each request in the window, by the whole fleet. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Repeats allowed in each window whatever the traffic, by the fleet. */
  readonly minimum: number;
  /** Entries that share the minimum, this one included. */
  readonly entries: () => number;
}

/** How far one pool's repeats have used up this entry's part. */
export interface RepeatUse {
  readonly pool: string;
  /** Repeats that count in the window that ends now, and those to come. */
  readonly counted: number;
  readonly allowed: number;
}

/** The right to one repeat, from its grant until it is sent or given back. */
export interface RepeatPermit {
  /** The repeat is sent now; it counts for a window from here. */
  use(): void;
  /** It is not sent, or it never reached the pool. */
  giveBack(): void;
}

/** What one pool has had in the window that ends now. */
interface PoolWindow {
  /** Times at which requests arrived. */
  readonly requests: number[];
  /** Times at which repeats were sent. */
  readonly repeats: number[];
  /** Repeats that are granted and not sent yet. */
  granted: number;
}

/**
 * Allows arrivals beyond the first of a request, as this entry's part of a limit
 * that the whole fleet shares: retries multiply the load of a pool that fails
 * because it is overloaded. The part is the operators' ratio on the requests that
 * this entry got, and its part of their minimum.
 *
 * A repeat counts from its grant, and for a whole window from its send: a granted
 * one may wait for seconds.
 */
export class RetryAllowance {
  readonly #options: RetryAllowanceOptions;
  readonly #pools = new Map<string, PoolWindow>();
  readonly #startedAt: number;

  constructor(options: RetryAllowanceOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  requestArrived(pool: string): void {
    this.#window(pool).requests.push(this.#options.timer.now());
  }

  /** Grants one repeat; undefined where the window's part is used up. */
  grant(pool: string): RepeatPermit | undefined {
    const { allowed, counted } = this.use(pool);
    if (allowed - counted < 1) return undefined;
    const window = this.#window(pool);
    window.granted += 1;
    return new GrantedRepeat(window, this.#options.timer);
  }

  /** The use of every pool that has had requests. */
  uses(): RepeatUse[] {
    return [...this.#pools.keys()].map((pool) => this.use(pool));
  }

  use(pool: string): RepeatUse {
    const { granted, repeats } = this.#window(pool);
    return {
      pool,
      counted: repeats.length + granted,
      allowed: this.#allowed(pool),
    };
  }

  /** This entry's part in the window that ends now, used or not. */
  #allowed(pool: string): number {
    const { ratio, minimum, entries } = this.#options;
    const requests = this.#window(pool).requests.length;
    const shared = minimum / Math.max(1, entries());
    return this.#usedShare * (ratio * requests + shared);
  }

  get #usedShare(): number {
    const { timer, windowMilliseconds } = this.#options;
    const isYoung = timer.now() - this.#startedAt < windowMilliseconds;
    return isYoung ? YOUNG_USED_SHARE : USED_SHARE;
  }

  #window(pool: string): PoolWindow {
    let window = this.#pools.get(pool);
    if (window === undefined) {
      window = { requests: [], repeats: [], granted: 0 };
      this.#pools.set(pool, window);
    }
    const oldest = this.#options.timer.now() - this.#options.windowMilliseconds;
    dropBefore(window.requests, oldest);
    dropBefore(window.repeats, oldest);
    return window;
  }
}

class GrantedRepeat implements RepeatPermit {
  readonly #window: PoolWindow;
  readonly #timer: TimerService;
  #state: "granted" | "used" | "given back" = "granted";
  #usedAt = 0;

  constructor(window: PoolWindow, timer: TimerService) {
    this.#window = window;
    this.#timer = timer;
  }

  use(): void {
    if (this.#state !== "granted") return;
    this.#state = "used";
    this.#usedAt = this.#timer.now();
    this.#window.granted -= 1;
    this.#window.repeats.push(this.#usedAt);
  }

  giveBack(): void {
    if (this.#state === "granted") this.#window.granted -= 1;
    if (this.#state === "used") this.#takeBackUse();
    this.#state = "given back";
  }

  #takeBackUse(): void {
    const { repeats } = this.#window;
    const index = repeats.lastIndexOf(this.#usedAt);
    // A use that is older than the window is no longer there.
    if (index >= 0) repeats.splice(index, 1);
  }
}

function dropBefore(times: number[], oldest: number): void {
  let count = 0;
  while (count < times.length && times[count] < oldest) count++;
  if (count > 0) times.splice(0, count);
}
