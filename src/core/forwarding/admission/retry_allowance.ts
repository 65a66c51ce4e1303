import type { TimerService } from "../../time/mod.ts";

/**
 * Share of its part that an entry uses. Load: several entries that each see a
 * part of the traffic. Harm prevented: the fleet's limit counts any span of
 * the window's length, while an entry's count of its peers may be late by a
 * heartbeat; a tenth left free covers one entry in ten that is not yet known.
 */
const USED_SHARE = 0.8;

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
  /** Repeats that count in the window that ends now. */
  readonly counted: number;
  readonly allowed: number;
}

/** What one pool has had in one window. */
interface PoolWindow {
  readonly requests: number[];
  readonly repeats: number[];
}

/**
 * Allows sends beyond the first of a request, as this entry's part of a limit
 * that the whole fleet shares. Load: an engine of ten fails while everything
 * else is full. Harm prevented: retries multiply the load of a pool that
 * fails because it is overloaded. Limit: the operators' ratio on the requests
 * that this entry itself got, plus its part of their minimum.
 */
export class RetryAllowance {
  readonly #options: RetryAllowanceOptions;
  readonly #pools = new Map<string, PoolWindow>();

  constructor(options: RetryAllowanceOptions) {
    this.#options = options;
  }

  requestArrived(pool: string): void {
    this.#window(pool).requests.push(this.#options.timer.now());
  }

  /** Takes one repeat; false where the window's part is used up. */
  take(pool: string): boolean {
    if (this.left(pool) < 1) return false;
    this.note(pool);
    return true;
  }

  /** Counts a repeat that has happened unasked, as a send that was rejected. */
  note(pool: string): void {
    this.#window(pool).repeats.push(this.#options.timer.now());
  }

  /** Repeats that are left of this entry's part. */
  left(pool: string): number {
    return this.allowed(pool) - this.#window(pool).repeats.length;
  }

  /** This entry's part in the window that ends now, used or not. */
  allowed(pool: string): number {
    const { ratio, minimum, entries } = this.#options;
    const requests = this.#window(pool).requests.length;
    const shared = minimum / Math.max(1, entries());
    return USED_SHARE * (ratio * requests + shared);
  }

  /** The use of every pool that has had requests. */
  uses(): RepeatUse[] {
    return [...this.#pools.keys()].map((pool) => this.use(pool));
  }

  use(pool: string): RepeatUse {
    const counted = this.#window(pool).repeats.length;
    return { pool, counted, allowed: this.allowed(pool) };
  }

  #window(pool: string): PoolWindow {
    let window = this.#pools.get(pool);
    if (window === undefined) {
      window = { requests: [], repeats: [] };
      this.#pools.set(pool, window);
    }
    const oldest = this.#options.timer.now() - this.#options.windowMilliseconds;
    dropBefore(window.requests, oldest);
    dropBefore(window.repeats, oldest);
    return window;
  }
}

function dropBefore(times: number[], oldest: number): void {
  let count = 0;
  while (count < times.length && times[count] < oldest) count++;
  if (count > 0) times.splice(0, count);
}
