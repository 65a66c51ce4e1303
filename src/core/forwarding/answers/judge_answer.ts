/** Decides what an endpoint's answer says about the request that was sent. */
import type { AnswerEvidence } from "./answer_evidence.ts";

/**
 * Status by which an endpoint rejects a request that was addressed to another
 * replica or to its former role.
 */
export const MISDIRECTED_STATUS = 421;
/**
 * Statuses that tell callers that their request has not run and never will. An
 * endpoint's own words are needed before one may be passed on.
 */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([
  408,
  MISDIRECTED_STATUS,
  429,
  503,
]);
/** Status of a request that no endpoint runs, as it is malformed. */
const BAD_REQUEST_STATUS = 400;

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const LAST_SUCCESS_STATUS = 299;

/** Why an answer proves nothing about its request. */
export type DoubtReason = "foreign" | "unproven" | "spoiled";

/**
 * `answer`: the endpoint's own answer; the request has run. `not_run`: the
 * endpoint guarantees that the request has not run and never will. `doubtful`:
 * anything else; the request may have run, and the answer can't be passed on.
 */
export type AnswerVerdict =
  | { readonly kind: "answer" }
  | { readonly kind: "not_run" }
  | { readonly kind: "doubtful"; readonly reason: DoubtReason };

/**
 * Judges an answer by its head. It belongs to the request if it repeats the
 * request's id, once and no other one. As a request is sent once on a
 * connection that others use, such a head was made after the request arrived,
 * for this send of it. Without an id, only a connection that carries nothing
 * else shows that. A promise needs, besides, the header that makes it and a
 * status that fits, and nothing may precede it. A success needs the endpoint's
 * signature, once.
 */
export function judgeAnswer(evidence: AnswerEvidence): AnswerVerdict {
  if (!isOwn(evidence)) return doubtful("foreign");
  if (isSpoiled(evidence)) return doubtful("spoiled");
  const { claimsNotRun, interimAnswers, status } = evidence;
  const mayPromise = PROMISING_STATUSES.has(status) ||
    status === BAD_REQUEST_STATUS;
  if (claimsNotRun && mayPromise && interimAnswers === 0) {
    return { kind: "not_run" };
  }
  // Passed on, it would promise what the endpoint did not.
  const isUnproven = claimsNotRun || PROMISING_STATUSES.has(status);
  return isUnproven ? doubtful("unproven") : { kind: "answer" };
}

function isOwn(
  { connection, echoedId, hasRequestId }: AnswerEvidence,
): boolean {
  if (echoedId === "own") return true;
  return !hasRequestId && echoedId === "none" && connection === "own";
}

/** True for a head that no sound endpoint sends. */
function isSpoiled(
  { hasForeignEncoding, signatures, status }: AnswerEvidence,
): boolean {
  const isFinal = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  if (!isFinal || hasForeignEncoding) return true;
  return status <= LAST_SUCCESS_STATUS && signatures !== undefined &&
    signatures !== 1;
}

function doubtful(reason: DoubtReason): AnswerVerdict {
  return { kind: "doubtful", reason };
}
