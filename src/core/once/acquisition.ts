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
import type { OnceFold, OnceOwner } from "./fold.ts";
import { timeOfKey } from "./key.ts";
import {
  type AcquireResult,
  answered,
  expired,
  keyConflict,
  logDown,
  outOfTime,
  run,
  unknown,
} from "./results.ts";

/**
 * A retry that overtakes the first request finds a record that the side has
 * not seen. Barring it at once would make the first request start over. A
 * dispatch takes a few milliseconds; a quarter second covers a busy entry.
 */
export const BAR_GRACE_MILLISECONDS = 250;

/** Where a request would run: an endpoint and the run of its side. */
export interface OnceChoice {
  readonly endpoint: EndpointId;
  readonly sideIncarnation: Incarnation;
}

/** What one request knows on its way to a key; plain data. */
export interface Acquisition {
  readonly key: IdempotencyKey;
  readonly fingerprint: string;
  /** Permit that the request has sent already and whose fate is open. */
  readonly lost?: OncePermit;
  choice?: OnceChoice;
  /** Offset that the log gave this request's newest record. */
  ownRecord?: LogOffset;
  /** What the newest append replaces; absent before the first. */
  appended?: number;
  inDoubt: boolean;
  /** True until the side has barred the permit that was sent before. */
  mayHaveRun: boolean;
  /** Record that its side has promised never to run. */
  barred?: LogOffset;
  /** Record that its side had not seen, and since when (timer time). */
  notSeen?: { readonly record: LogOffset; readonly since: number };
}

/** The next thing to do for a request. */
export type Decision =
  | { readonly kind: "result"; readonly result: AcquireResult }
  | { readonly kind: "choose" }
  | { readonly kind: "append"; readonly body: OnceRecord }
  | {
    readonly kind: "ask";
    readonly owner: OnceOwner;
    readonly question: OnceQuestion;
  }
  /** Wait until the log brings further records. */
  | { readonly kind: "wait" };

export function beginAcquisition(
  key: IdempotencyKey,
  options: { readonly fingerprint: string; readonly lost?: OncePermit },
): Acquisition {
  return {
    key,
    fingerprint: options.fingerprint,
    lost: options.lost,
    inDoubt: false,
    mayHaveRun: options.lost !== undefined,
  };
}

/** What to do now, by what the request knows and the log shows. */
export function decide(
  acquisition: Acquisition,
  view: { readonly fold: OnceFold; readonly now: number },
): Decision {
  const { fold, now } = view;
  if (fold.isExpired(acquisition.key)) {
    return result(expired(acquisition.mayHaveRun));
  }
  const owner = fold.owner(acquisition.key);
  if (owner === undefined) {
    return acquisition.mayHaveRun ? { kind: "wait" } : own(acquisition, -1);
  }
  if (owner.record === acquisition.ownRecord) return result(run(owner));
  if (owner.fingerprint !== acquisition.fingerprint) {
    return result(keyConflict());
  }
  if (owner.record === acquisition.barred) {
    return own(acquisition, owner.record);
  }
  return {
    kind: "ask",
    owner,
    question: {
      key: owner.key,
      record: owner.record,
      sideIncarnation: owner.sideIncarnation,
      bar: isToBeBarred(acquisition, { owner, now }),
    },
  };
}

/** The record that would own the key, unless it was written already. */
function own(acquisition: Acquisition, replaces: number): Decision {
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

/** A request bars its own lost permit at once, another's after the grace. */
function isToBeBarred(
  acquisition: Acquisition,
  view: { readonly owner: OnceOwner; readonly now: number },
): boolean {
  if (acquisition.lost?.record === view.owner.record) return true;
  const { notSeen } = acquisition;
  if (notSeen?.record !== view.owner.record) return false;
  return view.now - notSeen.since >= BAR_GRACE_MILLISECONDS;
}

/** Notes that an append is on its way; from here on it may land any time. */
export function noteAppend(acquisition: Acquisition, body: OnceRecord): void {
  acquisition.appended = body.replaces;
  acquisition.inDoubt = true;
}

/**
 * Takes the append's outcome; gives a result where the log is down. An append
 * in doubt ends the request as well: holding the caller until its deadline
 * would gain nothing, since a record that lands later names a permit that was
 * never sent, and whoever reads it bars it first.
 */
export function takeAppended(
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
 * The log took nothing. Another request may own the key by now; its record
 * decides then, and an answer that its side keeps needs no log.
 */
export function whenLogDown(
  acquisition: Acquisition,
  fold: OnceFold,
): AcquireResult | undefined {
  const owner = fold.owner(acquisition.key);
  if (owner !== undefined && owner.record !== acquisition.appended) {
    return undefined;
  }
  return logDown();
}

/**
 * Takes what the owner's side said; gives a result where it is final, or
 * "later" where the side is to be asked again after a while.
 */
export function takeAnswer(
  acquisition: Acquisition,
  given: {
    readonly record: LogOffset;
    readonly answer: OnceAnswer;
    readonly now: number;
  },
): AcquireResult | "later" | "now" {
  switch (given.answer.state) {
    case "answered":
      return answered(given.answer);
    case "barred":
      acquisition.barred = given.record;
      acquisition.mayHaveRun = false;
      return "now";
    case "not_seen":
      if (acquisition.notSeen?.record !== given.record) {
        acquisition.notSeen = { record: given.record, since: given.now };
      }
      return "later";
    case "running":
      return "later";
    case "failed":
      return unknown("The work was started and its answer is not known");
    case "other_incarnation":
      return unknown("The side that may have run the work is gone");
  }
}

/**
 * Time is up. This request's own permit never went out unless `mayHaveRun`,
 * and nobody else can use it, so "not run" stays true even while an append
 * is in doubt: whoever reads that record later has to bar it first.
 */
export function giveUp(
  acquisition: Acquisition,
  fold: OnceFold,
): AcquireResult {
  const owner = fold.owner(acquisition.key);
  if (acquisition.mayHaveRun) {
    return unknown("The side did not say in time what became of the work");
  }
  if (owner === undefined || owner.record === acquisition.barred) {
    return acquisition.inDoubt ? logDown() : outOfTime();
  }
  if (owner.record === acquisition.ownRecord) return outOfTime();
  return unknown("An earlier request with this key has not ended in time");
}

function result(value: AcquireResult): Decision {
  return { kind: "result", result: value };
}
