/** What a request limit allows the entries of a fleet together. */

/** Window in which arrivals at a limited endpoint are counted. */
const WINDOW_MILLISECONDS = 4_000;
/** Arrivals in a window that are allowed: this share of the limit, and more. */
const TOLERATED_SHARE = 1.5;
const TOLERATED_ARRIVALS = 5;
/** Time after its first naming from which a limit holds. */
export const SETTLING_MILLISECONDS = 3_000;
/** Time after which an entry that has passed on a limit must keep to it. */
export const REACTION_MILLISECONDS = 500;

/** Limit that an endpoint names from a time on. */
export interface LimitSpan {
  readonly from: number;
  /** Undefined: none from now on. */
  readonly requestsPerSecond: number | undefined;
}

/** Number of arrivals in the window that ends at `until`. */
export function countArrivals(times: readonly number[], until: number): number {
  return times.filter((at) => at > until - WINDOW_MILLISECONDS && at <= until)
    .length;
}

/**
 * Arrivals allowed in the window that ends at `until`; infinite if no limit
 * held in some of it. The first limit counts for the time before its naming.
 */
export function allowedArrivals(
  spans: readonly LimitSpan[],
  until: number,
): number {
  let requests = 0;
  for (const [index, { from, requestsPerSecond }] of spans.entries()) {
    const start = index === 0 ? -Infinity : from;
    const end = spans.at(index + 1)?.from ?? Infinity;
    const overlap = Math.min(end, until) -
      Math.max(start, until - WINDOW_MILLISECONDS);
    if (overlap <= 0) continue;
    requests += (requestsPerSecond ?? Infinity) * overlap / 1_000;
  }
  return TOLERATED_SHARE * requests + TOLERATED_ARRIVALS;
}
