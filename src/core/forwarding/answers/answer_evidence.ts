/** Which request ids an answer repeats. */
export type EchoedId = "own" | "other" | "several" | "none";

/** Facts on the head of an endpoint's answer, by which it is judged. */
export interface AnswerEvidence {
  readonly status: number;
  /** False for a request without an id, which no answer can repeat. */
  readonly hasRequestId: boolean;
  readonly echoedId: EchoedId;
  /** The head says that the request was not run. */
  readonly claimsNotRun: boolean;
  /**
   * `reused`: the connection has carried other requests before. `own`: it
   * carries this request only.
   */
  readonly connection: "new" | "reused" | "own";
  /**
   * Number of the endpoint's signatures; undefined if a success needs none, as
   * the answer is not passed on.
   */
  readonly signatures: number | undefined;
  /** The body has an encoding that the caller did not ask for. */
  readonly hasForeignEncoding: boolean;
  /** Number of interim answers (1xx) before the head. */
  readonly interimAnswers: number;
  /** Time from the send to the head, milliseconds. */
  readonly milliseconds: number;
}

/** `requestIds`: all that the head repeats. */
export function echoedIdOf(
  requestIds: readonly string[],
  ownId: string,
): EchoedId {
  if (requestIds.length > 1) return "several";
  if (requestIds.length === 0) return "none";
  return requestIds[0] === ownId ? "own" : "other";
}
