/**
 * Share of a route's target latency that the predicted time to first byte may
 * use. A slightly optimistic prediction would make the response late and spend
 * engine time that another request could have used to be on time.
 */
export const ON_TIME_TARGET_SHARE = 0.85;
/**
 * Share of the caller's remaining time that the predicted first byte of a late
 * response may use. The rest covers the error of a long prediction and the
 * response itself: 300 ms of two seconds.
 */
export const REMAINING_TIME_SHARE = 0.85;

/**
 * Longest delay in the entry at which a late response is still admitted. Beyond
 * it, late responses would take link capacity from those that can be on time.
 */
const MAX_LATE_ENTRY_MILLISECONDS = 75;

/**
 * Admission decision for a prompt:
 *
 * - `on_time`: the first byte is expected within the target.
 * - `late`: the first byte is expected before the caller's deadline if the
 *   prompt runs after everything that can be on time.
 * - `engines_full`: neither; refusing the request at once is more useful than
 *   letting the caller wait.
 * - `entry_full`: this entry is the bottleneck; another entry may still answer
 *   on time.
 */
export type AdmissionKind = "on_time" | "late" | "engines_full" | "entry_full";

/** Predicted and elapsed times of a request that needs a prefill. */
export interface AdmissionInput {
  /** Predicted time until the prefill ends if the prompt is sent now. */
  readonly onTimeMilliseconds: number;
  /**
   * Predicted time until the prefill ends if the prompt waits for an idle
   * engine.
   */
  readonly lateMilliseconds: number;
  /** Time from the end of the prefill to the first byte at the caller. */
  readonly handoverMilliseconds: number;
  /** Queueing delay of the request and its response in this entry. */
  readonly entryMilliseconds: number;
  /**
   * Part of `entryMilliseconds` that a retry would meet again; 0 by default. If
   * there is no other entry, a caller gains nothing by leaving this one.
   */
  readonly unavoidableMilliseconds?: number;
  /** Time since the caller's first attempt. */
  readonly elapsedMilliseconds: number;
  /** The route's target for the time to first byte. */
  readonly targetMilliseconds: number;
  /** Time until the caller gives up unless the first byte arrives. */
  readonly leftMilliseconds: number;
}

/** Decides whether a prompt that needs a prefill is admitted. */
export function decideAdmission(input: AdmissionInput): AdmissionKind {
  const {
    elapsedMilliseconds,
    entryMilliseconds,
    leftMilliseconds,
    targetMilliseconds,
    unavoidableMilliseconds = 0,
  } = input;
  const firstByteMilliseconds = elapsedMilliseconds + entryMilliseconds +
    input.onTimeMilliseconds + input.handoverMilliseconds;
  if (
    firstByteMilliseconds <= ON_TIME_TARGET_SHARE * targetMilliseconds
  ) return "on_time";
  const avoidableMilliseconds = entryMilliseconds - unavoidableMilliseconds;
  if (avoidableMilliseconds > MAX_LATE_ENTRY_MILLISECONDS) return "entry_full";
  const lateMilliseconds = entryMilliseconds + input.lateMilliseconds +
    input.handoverMilliseconds;
  return lateMilliseconds <= REMAINING_TIME_SHARE * leftMilliseconds
    ? "late"
    : "engines_full";
}
