import type { OnceRecord } from "../../generated/log_records.ts";
import type {
  OnceAnswer,
  OncePermit,
  OnceQuestion,
} from "../../generated/messages.ts";
import type {
  EndpointId,
  IdempotencyKey,
  Incarnation,
  LogOffset,
} from "../identity/mod.ts";
import type { JournalFailure } from "../journal/mod.ts";
import type { KeyOwner, OnceFold } from "./fold.ts";
import { timeOfKey } from "./key.ts";
import {
  type AcquireResult,
  answeredResult,
  deadlineExceeded,
  expiredResult,
  keyConflict,
  logUnavailable,
  runResult,
  unknownResult,
} from "./results.ts";

/**
 * Delay before a request bars another request's record that the side has not
 * seen. A retry can overtake the first request's dispatch, and barring at once
 * would make the first request start over. A dispatch takes a few milliseconds;
 * 250 ms covers a busy entry.
 */
export const BAR_GRACE_MILLISECONDS = 250;

/**
 * The endpoint that a request would run on, and the incarnation of its side.
 */
export interface ExecutionTarget {
  readonly endpoint: EndpointId;
  readonly sideIncarnation: Incarnation;
}

/** State of one request's acquisition of an idempotency key; plain data. */
export interface Acquisition {
  readonly key: IdempotencyKey;
  readonly fingerprint: string;
  /** Permit that the request has already sent and whose outcome is unknown. */
  readonly lostPermit?: OncePermit;
  choice?: ExecutionTarget;
  /** Offset of this request's newest record on the log. */
  ownRecord?: LogOffset;
  /** `replaces` of the newest append; undefined before the first. */
  appended?: number;
  inDoubt: boolean;
  /** True until the side has barred the permit that was sent earlier. */
  mayHaveRun: boolean;
  /** Record that its side has barred, so that it never runs. */
  barredRecord?: LogOffset;
  /** Record that its side had not seen, and since when (timer time). */
  unseenRecord?: { readonly record: LogOffset; readonly since: number };
}

/** The next step of an acquisition. */
export type Decision =
  | { readonly kind: "result"; readonly result: AcquireResult }
  | { readonly kind: "choose" }
  | { readonly kind: "append"; readonly body: OnceRecord }
  | {
    readonly kind: "ask";
    readonly owner: KeyOwner;
    readonly question: OnceQuestion;
  }
  /** Wait for further records on the log. */
  | { readonly kind: "wait" };

export function beginAcquisition(
  key: IdempotencyKey,
  options: { readonly fingerprint: string; readonly lost?: OncePermit },
): Acquisition {
  return {
    key,
    fingerprint: options.fingerprint,
    lostPermit: options.lost,
    inDoubt: false,
    mayHaveRun: options.lost !== undefined,
  };
}

/** Returns the next step, given the request's state and the log's. */
export function decide(
  acquisition: Acquisition,
  view: { readonly fold: OnceFold; readonly now: number },
): Decision {
  const { fold, now } = view;
  if (fold.isExpired(acquisition.key)) {
    return finish(expiredResult(acquisition.mayHaveRun));
  }
  const owner = fold.owner(acquisition.key);
  if (owner === undefined) {
    return acquisition.mayHaveRun
      ? { kind: "wait" }
      : takeOwnership(acquisition, -1);
  }
  if (owner.record === acquisition.ownRecord) return finish(runResult(owner));
  if (owner.fingerprint !== acquisition.fingerprint) {
    return finish(keyConflict());
  }
  if (owner.record === acquisition.barredRecord) {
    return takeOwnership(acquisition, owner.record);
  }
  return {
    kind: "ask",
    owner,
    question: {
      key: owner.key,
      record: owner.record,
      sideIncarnation: owner.sideIncarnation,
      bar: shouldBar(acquisition, { owner, now }),
    },
  };
}

/**
 * Appends the record that would own the key, unless it was already appended.
 */
function takeOwnership(acquisition: Acquisition, replaces: number): Decision {
  if (acquisition.appended === replaces) return { kind: "wait" };
  const { choice } = acquisition;
  if (choice === undefined) return { kind: "choose" };
  const body: OnceRecord = {
    kind: "once",
    key: acquisition.key,
    keyTime: timeOfKey(acquisition.key) as number,
    fingerprint: acquisition.fingerprint,
    endpoint: choice.endpoint,
    sideIncarnation: choice.sideIncarnation,
    replaces,
  };
  return { kind: "append", body };
}

/**
 * A request bars its own lost permit at once, another request's record only
 * after `BAR_GRACE_MILLISECONDS`.
 */
function shouldBar(
  acquisition: Acquisition,
  view: { readonly owner: KeyOwner; readonly now: number },
): boolean {
  if (acquisition.lostPermit?.record === view.owner.record) return true;
  const { unseenRecord } = acquisition;
  if (unseenRecord?.record !== view.owner.record) return false;
  return view.now - unseenRecord.since >= BAR_GRACE_MILLISECONDS;
}

/**
 * Records that an append has started; the record may appear on the log at any
 * time from now on.
 */
export function recordAppendStart(
  acquisition: Acquisition,
  body: OnceRecord,
): void {
  acquisition.appended = body.replaces;
  acquisition.inDoubt = true;
}

/**
 * Records the outcome of the append; returns "log_down" if it failed.
 *
 * An append with an unknown outcome ends the request as well: holding the
 * caller until its deadline would gain nothing, since a record that is appended
 * later names a permit that was never sent, and any reader of that record bars
 * it first.
 */
export function recordAppendOutcome(
  acquisition: Acquisition,
  outcome: { offset: LogOffset } | { failure: JournalFailure["name"] },
): "log_down" | undefined {
  if ("offset" in outcome) {
    acquisition.ownRecord = outcome.offset;
    acquisition.inDoubt = false;
    return undefined;
  }
  acquisition.inDoubt = outcome.failure === "append_unknown";
  return "log_down";
}

/**
 * Result after a failed append. Another request may own the key by now; its
 * record decides then, and an answer that its side stores needs no log.
 */
export function resultAfterFailedAppend(
  acquisition: Acquisition,
  fold: OnceFold,
): AcquireResult | undefined {
  const owner = fold.owner(acquisition.key);
  if (owner !== undefined && owner.record !== acquisition.appended) {
    return undefined;
  }
  return logUnavailable();
}

/**
 * Handles the answer of the owner's side. Returns a result if it is final,
 * "now" to decide again at once, or "later" to query the side again after a
 * delay.
 */
export function handleSideAnswer(
  acquisition: Acquisition,
  response: {
    readonly record: LogOffset;
    readonly answer: OnceAnswer;
    readonly now: number;
  },
): AcquireResult | "later" | "now" {
  switch (response.answer.state) {
    case "answered":
      return answeredResult(response.answer);
    case "barred":
      acquisition.barredRecord = response.record;
      acquisition.mayHaveRun = false;
      return "now";
    case "not_seen":
      if (acquisition.unseenRecord?.record !== response.record) {
        acquisition.unseenRecord = {
          record: response.record,
          since: response.now,
        };
      }
      return "later";
    case "running":
      return "later";
    case "failed":
      return unknownResult("The work was started, but its answer is not known");
    case "other_incarnation":
      return unknownResult(
        "The side that may have run the work has since restarted",
      );
  }
}

/**
 * Result at the deadline. This request's own permit was never sent unless
 * `mayHaveRun`, and no other request can use it, so "not run" stays true even
 * while the outcome of an append is unknown: any later reader of that record
 * has to bar it first.
 */
export function resultAtDeadline(
  acquisition: Acquisition,
  fold: OnceFold,
): AcquireResult {
  const owner = fold.owner(acquisition.key);
  if (acquisition.mayHaveRun) {
    return unknownResult(
      "The side did not report the outcome of the work before the deadline",
    );
  }
  if (owner === undefined || owner.record === acquisition.barredRecord) {
    return acquisition.inDoubt ? logUnavailable() : deadlineExceeded();
  }
  if (owner.record === acquisition.ownRecord) return deadlineExceeded();
  return unknownResult(
    "An earlier request with this key did not finish before the deadline",
  );
}

function finish(value: AcquireResult): Decision {
  return { kind: "result", result: value };
}
