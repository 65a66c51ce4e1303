/**
 * Values of the settings that a file leaves out. Each names the load that it
 * is made for and the harm that it prevents.
 */
import type {
  CoordinationTimes,
  EntryLimits,
  LogOutput,
  SideLimits,
} from "../../generated/settings.ts";

export const DEFAULT_LOG_OUTPUT: Required<LogOutput> = {
  // Per-request lines stand at debug: at the peak they would cost more than
  // the requests.
  level: "info",
};

/**
 * Share of requests that are traced where an output is set: enough to see a
 * shift of the mix within a minute at ten requests a second, and too little to
 * load the collector at the peak.
 */
export const DEFAULT_TRACE_SHARE = 0.1;

export const DEFAULT_ENTRY_LIMITS: Required<EntryLimits> = {
  // A long camera-inspection log is some hundred kilobytes. A larger body
  // holds a thin VM's memory for one caller.
  mostBodyBytes: 1024 * 1024,
  // About ten seconds of a busy region's arrivals at one entry; who would wait
  // longer is late anyway and is better refused at once.
  mostQueued: 2_000,
  // A tenth of the queue: one customer's burst leaves room for the others.
  mostQueuedPerWorkspace: 200,
  // At 30 KB for an open stream this bounds an entry at 120 MB.
  mostOpenRequests: 4_000,
  // A second of tokens at the fastest engines; a caller that reads more slowly
  // is held back at the endpoint and not buffered.
  mostBufferedTokensPerCaller: 256,
  // The longest summary ends within it; what is left is told to callers.
  shutdownSeconds: 30,
  // Reports, connections and state of an entry stay the same for any fleet, at
  // a quarter of a megabyte for each used side. 24 is what the decisions were
  // measured with.
  mostEndpointsPerPool: 24,
  // What four endpoints have failed is not saved by a fifth.
  mostAttempts: 4,
};

export const DEFAULT_SIDE_LIMITS: Required<SideLimits> = {
  // Above the slots of today's engines; the limit that adapts to the observed
  // time between tokens lies below it.
  mostRunning: 64,
  // The queue belongs to the entries, which know classes and deadlines. A few
  // places here bridge the way from entry to side.
  mostWaiting: 16,
  // Answers of once-only work for repeated calls: ten minutes at sixteen a
  // second, far above what one member-portal gives.
  mostKeptAnswers: 10_000,
  // A quarter of the side's 128 MB.
  mostKeptAnswerBytes: 32 * 1024 * 1024,
  // Hundred thousand tokens as events; more is an endpoint gone wild.
  mostResponseBytes: 16 * 1024 * 1024,
  // As for entries.
  shutdownSeconds: 30,
};

export const DEFAULT_COORDINATION_TIMES: Required<CoordinationTimes> = {
  // A report of 400 bytes to two entries each second stays under a fifth of
  // the 5 KB a second that a node may spend on control.
  reportMilliseconds: 1_000,
  // Three reports lost in a row; one late report takes no endpoint out of use.
  suspectMilliseconds: 3_500,
  // One append is under way at a time and what comes meanwhile shares the next,
  // which gathers enough: a wait besides costs its own length at 100 records a
  // second and gains nothing (bench/append.ts, docs/COORDINATION.md).
  appendDelayMilliseconds: 0,
  // A judge that is killed delays a publication by this and half as much
  // again, of the nine seconds that it may take. Silence counts only while the
  // log is read without delay, so a slow log makes no claim flap.
  claimSilenceMilliseconds: 3_000,
  // The mix turns within minutes; load reports are a second or two old, and a
  // planner that is faster than its reports reacts to its own change.
  planMilliseconds: 2_000,
  // A process that starts reads at most this many records behind a checkpoint.
  checkpointRecords: 500,
  // Twice the longest change of role that the asset registers name. A side
  // that restarts waits it out before it orders an engine that does not check.
  longestOrderMilliseconds: 20_000,
  // A caller's retries come within minutes. Records of live keys are kept in
  // memory for this long: at ten a second, six thousand of them.
  keyWindowMilliseconds: 600_000,
  // A VM that leaves without a word to its side gets no new work after this
  // and the list's own lag. An unchanged list is answered without a body.
  vmListMilliseconds: 2_000,
  // An idle side costs its two entries eight messages a minute.
  watchMilliseconds: 15_000,
  // Most answers end within it; the rest is resumed elsewhere, uncut.
  drainMilliseconds: 10_000,
  // A long log's prefill ends within it; a longer silence is a fault.
  firstTokenSilenceMilliseconds: 15_000,
  // Two hundred times the promised time between tokens.
  tokenSilenceMilliseconds: 5_000,
};
