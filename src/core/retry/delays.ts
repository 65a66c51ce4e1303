import type { Random } from "../random/mod.ts";

/** Backoff before the first retry: a few round trips within a region. */
const INITIAL_BACKOFF_MILLISECONDS = 20;
/** Maximum backoff; most deadlines expire within it. */
const MAX_BACKOFF_MILLISECONDS = 2_000;
/** Minimum `Retry-After`: every refused retry costs the caller a round trip. */
const MIN_RETRY_AFTER_MILLISECONDS = 250;
/**
 * Maximum `Retry-After`, before jitter. A drain rate that is measured while
 * nothing drains, such as after a long outage, would otherwise keep callers
 * away for hours; after a minute the mix of requests has changed.
 */
const MAX_RETRY_AFTER_MILLISECONDS = 60_000;
/**
 * Jitter of `Retry-After`, as a share of the wait. It keeps callers that are
 * refused in one burst from returning as the same burst: a spread as wide as
 * the wait halves the peak and at most doubles the wait.
 */
const RETRY_AFTER_JITTER_SHARE = 1;

export interface BackoffOptions {
  readonly random: Random;
  readonly initialMilliseconds?: number;
  readonly maxMilliseconds?: number;
}

/**
 * Backoff before retry number `attempt` (1 is the first retry), with full
 * jitter, in milliseconds.
 */
export function backoffMilliseconds(
  attempt: number,
  options: BackoffOptions,
): number {
  const initial = options.initialMilliseconds ?? INITIAL_BACKOFF_MILLISECONDS;
  const max = options.maxMilliseconds ?? MAX_BACKOFF_MILLISECONDS;
  const ceiling = Math.min(max, initial * 2 ** Math.max(0, attempt - 1));
  return ceiling * options.random();
}

export interface RetryAfterOptions {
  readonly random: Random;
  /**
   * Requests per second that leave the queue, of this class and of more urgent
   * ones.
   */
  readonly drainPerSecond: number;
}

/**
 * How long a refused caller should wait before it retries, in milliseconds: the
 * time in which the requests ahead of it drain, plus jitter.
 */
export function retryAfterMilliseconds(
  requestsAhead: number,
  options: RetryAfterOptions,
): number {
  const drainRate = Math.max(options.drainPerSecond, 1e-3);
  const wait = Math.min(
    MAX_RETRY_AFTER_MILLISECONDS,
    Math.max(
      MIN_RETRY_AFTER_MILLISECONDS,
      (requestsAhead + 1) * 1_000 / drainRate,
    ),
  );
  return Math.round(
    wait * (1 + RETRY_AFTER_JITTER_SHARE * options.random()),
  );
}
