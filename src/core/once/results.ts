import type { OnceAnswer, OncePermit } from "../../generated/messages.ts";
import type { EndpointId } from "../identity/mod.ts";
import type {
  Refusal,
  RefusalReason,
  UnknownOutcome,
} from "../requests/mod.ts";
import type { KeyOwner } from "./fold.ts";
import type { StoredAnswer } from "./side_table.ts";

/**
 * Result of acquiring an idempotency key. `run`: send the work with this
 * permit, once. `answered`: the key's work has run, with this answer.
 * `refused`: this request has not run and will not. `unknown`: the key's work
 * may have run.
 */
export type AcquireResult =
  | {
    readonly kind: "run";
    readonly permit: OncePermit;
    readonly endpoint: EndpointId;
  }
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "unknown"; readonly outcome: UnknownOutcome };

export function runResult(owner: KeyOwner): AcquireResult {
  return {
    kind: "run",
    endpoint: owner.endpoint,
    permit: {
      key: owner.key,
      record: owner.record,
      sideIncarnation: owner.sideIncarnation,
    },
  };
}

/** Retry time while the log is down; a short outage ends within seconds. */
const LOG_RETRY_MILLISECONDS = 3_000;

export function refusedResult(refusal: Refusal): AcquireResult {
  return { kind: "refused", refusal };
}

export function unknownResult(detail: string): AcquireResult {
  return { kind: "unknown", outcome: { kind: "unknown", detail } };
}

/**
 * The first answer, or an unknown outcome if the side no longer stores its
 * body.
 */
export function answeredResult(answer: OnceAnswer): AcquireResult {
  if (answer.status === undefined || answer.body === undefined) {
    return unknownResult(
      "The work has run, but its answer is no longer stored",
    );
  }
  return {
    kind: "answered",
    answer: {
      status: answer.status,
      contentType: answer.contentType,
      body: answer.body,
    },
  };
}

export function keyRequired(): AcquireResult {
  return notRun(
    "key_needed",
    "A request for this work requires an Idempotency-Key header",
  );
}

export function keyInvalid(detail: string): AcquireResult {
  return notRun("invalid", detail);
}

export function keyConflict(): AcquireResult {
  return notRun(
    "key_conflict",
    "The idempotency key was already used for a request with other content",
  );
}

/**
 * The request itself has not run, unless it was sent earlier. Whether an
 * earlier request with the key has run is no longer known, and the text says
 * so.
 */
export function expiredResult(mayHaveRun: boolean): AcquireResult {
  if (mayHaveRun) return unknownResult("The key expired with unknown outcome");
  return notRun(
    "key_expired",
    "This request was not run; the outcome of earlier requests with its key is no longer known",
  );
}

export function logUnavailable(): AcquireResult {
  return refusedResult({
    kind: "not_run",
    reason: "log_down",
    detail:
      "The log did not confirm the idempotency key's record, so nothing was sent",
    retryAfterMilliseconds: LOG_RETRY_MILLISECONDS,
  });
}

export function deadlineExceeded(): AcquireResult {
  return notRun("late", "The deadline passed before the work could be sent");
}

function notRun(reason: RefusalReason, detail: string): AcquireResult {
  return refusedResult({ kind: "not_run", reason, detail });
}
