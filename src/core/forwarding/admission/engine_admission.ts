/**
 * Share of a route's target that an answer's predicted first byte may take up. A
 * prediction that is a little short would turn the answer late, and the engine's
 * time would be lost to one that could be on time.
 */
const TARGET_SHARE = 0.85;
/**
 * Share of the time until the caller leaves that the prediction of an answer
 * that is late anyhow may take up. The rest is for the error of a long
 * prediction and for the answer itself: 300 ms of two seconds.
 */
export const LEFT_SHARE = 0.85;

/**
 * Time that the entry itself may add to an answer that is late anyhow. Beyond it,
 * late answers would take the link from those that can be on time.
 */
const MOST_ENTRY_FOR_LATE_MILLISECONDS = 75;

/**
 * `on_time`: the first byte comes within the target. `late`: it comes before
 * the caller leaves if it is read behind everything that can be on time.
 * `engines_full`: neither; telling the caller at once is worth more than its
 * wait. `entry_full`: another entry may still answer on time.
 */
export type Admission = "on_time" | "late" | "engines_full" | "entry_full";

export interface AdmissionQuestion {
  /** Predicted time until the prompt is read, if it is sent now. */
  readonly onTimeMilliseconds: number;
  /** The same for a prompt that is held until an engine is nearly idle. */
  readonly lateMilliseconds: number;
  /** From the end of the prompt's reading to the first byte at the caller. */
  readonly handoverMilliseconds: number;
  /** Time that the request and its answer wait in this entry. */
  readonly entryMilliseconds: number;
  /** Time since the request's arrival. */
  readonly elapsedMilliseconds: number;
  readonly targetMilliseconds: number;
  /** Time until the caller leaves if nothing has come by then. */
  readonly leftMilliseconds: number;
}

/** Judges what can still come of a prompt that engines have to read. */
export function judgeAdmission(question: AdmissionQuestion): Admission {
  const {
    elapsedMilliseconds,
    entryMilliseconds,
    leftMilliseconds,
    targetMilliseconds,
  } = question;
  const firstByte = elapsedMilliseconds + entryMilliseconds +
    question.onTimeMilliseconds + question.handoverMilliseconds;
  if (firstByte <= TARGET_SHARE * targetMilliseconds) return "on_time";
  if (entryMilliseconds > MOST_ENTRY_FOR_LATE_MILLISECONDS) return "entry_full";
  const needed = entryMilliseconds + question.lateMilliseconds +
    question.handoverMilliseconds;
  return needed <= LEFT_SHARE * leftMilliseconds ? "late" : "engines_full";
}
