import type { TimerService } from "../../core/time/mod.ts";

/** Bytes of a query for one endpoint and its answer, with datagram headers. */
const QUERY_BYTES = 240;
/**
 * Mean bytes per second that the fleet spends on queries for each endpoint; the
 * limit for all new state exchange is 1 KB, and load reports take up to 250.
 */
const BYTES_PER_SECOND_AND_ENDPOINT = 600;
/**
 * Time over which the mean is taken. Queries matter while a pool is nearly
 * full, which lasts for some seconds at a time.
 */
const BURST_MILLISECONDS = 30_000;
const MILLISECONDS_PER_SECOND = 1_000;

export interface QueryAllowanceOptions {
  readonly timer: TimerService;
  /** Number of entries, which share the fleet's allowance. */
  readonly entries: () => number;
  readonly endpoints: () => number;
}

/**
 * Limits the queries for the load of plain services. One query for each request
 * and replica would exceed the limit for state exchange by a factor of twenty.
 */
export class QueryAllowance {
  readonly #options: QueryAllowanceOptions;
  /** Bytes that have been used and not been regained yet. */
  #usedBytes = 0;
  #updatedAt: number;

  constructor(options: QueryAllowanceOptions) {
    this.#options = options;
    this.#updatedAt = options.timer.now();
  }

  /** Takes the allowance for queries of this many endpoints, if there is any. */
  take(queried: number): boolean {
    const { endpoints, entries, timer } = this.#options;
    const bytesPerMillisecond = BYTES_PER_SECOND_AND_ENDPOINT /
      MILLISECONDS_PER_SECOND * endpoints() / Math.max(1, entries());
    const elapsed = timer.now() - this.#updatedAt;
    this.#updatedAt = timer.now();
    const used = Math.max(0, this.#usedBytes - elapsed * bytesPerMillisecond);
    const afterwards = used + queried * QUERY_BYTES;
    const isAllowed = afterwards <= BURST_MILLISECONDS * bytesPerMillisecond;
    this.#usedBytes = isAllowed ? afterwards : used;
    return isAllowed;
  }
}
