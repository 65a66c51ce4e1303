import type { OnceAnswer, OncePermit } from "../../generated/messages.ts";
import type { EndpointId } from "../identity/mod.ts";
import type {
  Refusal,
  RefusalReason,
  UnknownOutcome,
} from "../requests/mod.ts";
import type { OnceOwner } from "./fold.ts";
import type { KeptAnswer } from "./side_table.ts";

/**
 * `run`: send the work with this permit, once. `answered`: the key has run,
 * this was its answer. `refused`: this request has not run and will not.
 * `unknown`: the key's work may have run.
 */
export type AcquireResult =
  | {
    readonly kind: "run";
    readonly permit: OncePermit;
    readonly endpoint: EndpointId;
  }
  | { readonly kind: "answered"; readonly answer: KeptAnswer }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "unknown"; readonly outcome: UnknownOutcome };

export function run(owner: OnceOwner): AcquireResult {
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

/** A short outage of the log is over in seconds; see the readers' retries. */
const LOG_RETRY_MILLISECONDS = 3_000;

export function refused(refusal: Refusal): AcquireResult {
  return { kind: "refused", refusal };
}

export function unknown(detail: string): AcquireResult {
  return { kind: "unknown", outcome: { kind: "unknown", detail } };
}

/** The first answer; a side that no longer keeps its body can't repeat it. */
export function answered(answer: OnceAnswer): AcquireResult {
  if (answer.status === undefined || answer.body === undefined) {
    return unknown("The work has run, but its answer is no longer kept");
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

export function keyNeeded(): AcquireResult {
  return because("key_needed", "This work needs an Idempotency-Key");
}

export function keyInvalid(detail: string): AcquireResult {
  return because("invalid", detail);
}

export function keyConflict(): AcquireResult {
  return because("key_conflict", "The key stands for other work already");
}

/**
 * The request itself has not run, unless it was sent before. Whether an
 * earlier request with the key has run is forgotten, and the text says so.
 */
export function expired(mayHaveRun: boolean): AcquireResult {
  if (mayHaveRun) return unknown("The key expired while the work was out");
  return because(
    "key_expired",
    "This request was not run; what became of earlier ones with its key is no longer known",
  );
}

export function logDown(): AcquireResult {
  return refused({
    kind: "not_run",
    reason: "log_down",
    detail: "The log has not confirmed the key's record, so nothing was sent",
    retryAfterMilliseconds: LOG_RETRY_MILLISECONDS,
  });
}

export function outOfTime(): AcquireResult {
  return because("late", "No time was left to run the work");
}

function because(reason: RefusalReason, detail: string): AcquireResult {
  return refused({ kind: "not_run", reason, detail });
}
