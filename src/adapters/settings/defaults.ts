/**
 * Default settings, each with the load that it is sized for and the failure
 * that it prevents.
 */
import type {
  CoordinationTimes,
  EntryLimits,
  LogOutput,
  SideLimits,
} from "../../generated/settings.ts";

/** Default log output. */
export const DEFAULT_LOG_OUTPUT: Required<LogOutput> = {
  // Per-request lines are logged at debug, because at peak load they would cost
  // more than the requests themselves.
  level: "info",
};

/**
 * Sampling ratio of traces if an output is set: high enough to see a change of
 * the request mix within a minute at ten requests a second, and low enough not
 * to overload the collector at peak load.
 */
export const DEFAULT_TRACE_SHARE = 0.1;

/** Default limits of an entry. */
export const DEFAULT_ENTRY_LIMITS: Required<EntryLimits> = {
  // A long camera inspection log has several hundred kilobytes. A larger body
  // would occupy too much memory of a small VM for one caller.
  mostBodyBytes: 1024 * 1024,
  // About ten seconds of arrivals at one entry of a busy region. Requests that
  // would wait longer miss their deadline and are better refused immediately.
  mostQueued: 2_000,
  // A tenth of the queue, so that a burst of one workspace leaves capacity for
  // others.
  mostQueuedPerWorkspace: 200,
  // Limits the memory of open streams to 120 MB, at 30 KB each.
  mostOpenRequests: 4_000,
  // One second of tokens of the fastest engines. Beyond it, backpressure for a
  // slow caller applies at the endpoint instead of buffering.
  mostBufferedTokensPerCaller: 256,
  // Longer than the longest summary. Requests that remain open are reported to
  // their callers.
  shutdownSeconds: 30,
  // Keeps reports, connections and state of an entry independent of the fleet
  // size, at a quarter of a megabyte per side in use.
  mostEndpointsPerPool: 24,
  // A request that failed at four endpoints is unlikely to succeed at a fifth.
  mostAttempts: 4,
};

/** Default limits of a side. */
export const DEFAULT_SIDE_LIMITS: Required<SideLimits> = {
  // Above the slots of current engines; the adaptive limit, which follows the
  // observed token interval, stays below it.
  mostRunning: 64,
  // Requests queue at the entries, which know their classes and deadlines. A
  // short queue at the side covers the latency between entry and side.
  mostWaiting: 16,
  // Responses kept for retries of requests with an idempotency key: ten minutes
  // at 16 a second, far above the rate of one member-portal service.
  mostKeptAnswers: 10_000,
  // A quarter of the side's memory of 128 MB.
  mostKeptAnswerBytes: 32 * 1024 * 1024,
  // 100,000 tokens as events; a larger response indicates a faulty endpoint.
  mostResponseBytes: 16 * 1024 * 1024,
  // Same as for entries.
  shutdownSeconds: 30,
};

/** Default intervals and timeouts of the coordination. */
export const DEFAULT_COORDINATION_TIMES: Required<CoordinationTimes> = {
  // A report of 400 bytes to two entries each second takes less than a fifth of
  // the 5 KB a second that a VM may use for control traffic.
  reportMilliseconds: 1_000,
  // Three consecutive missing reports; a single late report must not make an
  // endpoint unavailable.
  suspectMilliseconds: 3_500,
  // Only one append is in flight, and records that arrive meanwhile share the
  // next one, which batches enough. At 100 records a second an additional delay
  // adds its full length without a benefit (bench/append.ts,
  // docs/COORDINATION.md).
  appendDelayMilliseconds: 0,
  // If the process that decides on publications is killed, a publication is
  // delayed by 1.5 times this value, of the nine seconds that it may take. The
  // silence of a claim holder counts only while the log is read without delay,
  // so that a slow log does not make claims flap.
  claimSilenceMilliseconds: 3_000,
  // The request mix changes within minutes. Load reports are one to two seconds
  // old; a planner with a shorter interval would react to its own changes.
  planMilliseconds: 2_000,
  // A starting process reads at most this many records after a checkpoint.
  checkpointRecords: 500,
  // Twice the longest role change in the asset registers. After a restart, a
  // side waits this long before it sends orders to an engine without fencing
  // checks.
  longestOrderMilliseconds: 20_000,
  // Callers retry within minutes. Records of idempotency keys stay in memory
  // this long: 6,000 of them at ten a second.
  keyWindowMilliseconds: 600_000,
  // A VM that leaves without notice to its side receives no new work after this
  // interval plus the lag of the list. Polling an unchanged list returns no
  // body.
  vmListMilliseconds: 2_000,
  // An idle side causes eight messages a minute at its two entries.
  watchMilliseconds: 15_000,
  // Most generations end within it; the others are resumed at another endpoint.
  drainMilliseconds: 10_000,
  // Longer than the prefill of a long inspection log.
  firstTokenSilenceMilliseconds: 15_000,
  // About 200 times the promised token interval.
  tokenSilenceMilliseconds: 5_000,
};
