import type { Random } from "../random/mod.ts";

/** First wait before a retry: a few round trips within a region. */
const FIRST_BACKOFF_MILLISECONDS = 20;
/** Longest wait before a retry; beyond it most deadlines are gone. */
const LONGEST_BACKOFF_MILLISECONDS = 2_000;
/** No caller is asked to come back sooner: a refusal costs it a round trip. */
const SHORTEST_RETRY_AFTER_MILLISECONDS = 250;
/**
 * No caller is sent away for longer. Load: a queue that a long outage has
 * filled. Harm prevented: a drain rate measured while nothing moved would send
 * callers away for hours. Limit: a minute, after which the mix has changed.
 */
const LONGEST_RETRY_AFTER_MILLISECONDS = 60_000;
/**
 * Spread of the returns. Load: callers refused in one burst. Harm prevented:
 * they return as the same burst. Limit: a spread as wide as the wait itself
 * halves the peak of the returns at twice the mean wait at most.
 */
const RETRY_AFTER_JITTER_SHARE = 1;

export interface BackoffOptions {
  readonly random: Random;
  readonly firstMilliseconds?: number;
  readonly longestMilliseconds?: number;
}

/** Wait before try number `attempt` (1 is the first retry), fully jittered. */
export function backoffMilliseconds(
  attempt: number,
  options: BackoffOptions,
): number {
  const first = options.firstMilliseconds ?? FIRST_BACKOFF_MILLISECONDS;
  const longest = options.longestMilliseconds ?? LONGEST_BACKOFF_MILLISECONDS;
  const ceiling = Math.min(longest, first * 2 ** Math.max(0, attempt - 1));
  return ceiling * options.random();
}

export interface RetryAfterOptions {
  readonly random: Random;
  /** Requests of the class (and of more urgent ones) that leave per second. */
  readonly drainPerSecond: number;
}

/**
 * When a refused caller should come back: the time in which what stands
 * before it drains, spread by jitter.
 */
export function retryAfterMilliseconds(
  requestsAhead: number,
  options: RetryAfterOptions,
): number {
  const drain = Math.max(options.drainPerSecond, 1e-3);
  const wait = Math.min(
    LONGEST_RETRY_AFTER_MILLISECONDS,
    Math.max(
      SHORTEST_RETRY_AFTER_MILLISECONDS,
      (requestsAhead + 1) * 1_000 / drain,
    ),
  );
  return Math.round(
    wait * (1 + RETRY_AFTER_JITTER_SHARE * options.random()),
  );
}
