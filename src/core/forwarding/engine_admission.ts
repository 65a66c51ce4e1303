/**
 * Share of a route's target that an answer's predicted first byte may take up.
 * Load: prompts that arrive faster than the engines read them. Harm prevented:
 * a prediction that is a little short turns an answer late that took the
 * engine's time from one that would have been on time. Limit: predictions were
 * 5 to 15 ms short of the measured times of 40 to 100 ms.
 */
const TARGET_SHARE = 0.85;
/** From the end of the prompt's reading to the first byte at the caller. */
const HANDOVER_MILLISECONDS = 15;
/**
 * What an answer that is late anyhow must have left of its deadline, beyond
 * the prediction: its own decoding, and the error of a long prediction.
 */
const LATE_MARGIN_MILLISECONDS = 300;

/**
 * `on_time`: the first byte comes within the target. `late`: the answer comes
 * within the deadline if it is read behind everything that can be on time.
 * `refuse`: neither; telling the caller at once is worth more than its wait.
 */
export type Admission = "on_time" | "late" | "refuse";

export interface AdmissionQuestion {
  /** Predicted time until the prompt is read, behind work that is on time. */
  readonly onTimeMilliseconds: number;
  /** The same behind all work. */
  readonly lateMilliseconds: number;
  /** Time since the request's arrival. */
  readonly elapsedMilliseconds: number;
  readonly targetMilliseconds: number;
  /** Time until the deadline. */
  readonly leftMilliseconds: number;
}

/** Judges what can still come of a prompt that engines have to read. */
export function judgeAdmission(question: AdmissionQuestion): Admission {
  const { elapsedMilliseconds, leftMilliseconds, targetMilliseconds } =
    question;
  const firstByte = elapsedMilliseconds + question.onTimeMilliseconds +
    HANDOVER_MILLISECONDS;
  if (firstByte <= TARGET_SHARE * targetMilliseconds) return "on_time";
  const needed = question.lateMilliseconds + LATE_MARGIN_MILLISECONDS;
  return needed <= leftMilliseconds ? "late" : "refuse";
}
