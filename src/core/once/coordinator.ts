import type { Result } from "neverthrow";
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
import type { LinkFailure } from "../links/mod.ts";
import type { Refusal, UnknownOutcome } from "../requests/mod.ts";
import type { TimerService } from "../time/mod.ts";
import type { OnceFold, OnceOwner } from "./fold.ts";
import { scopedKey, timeOfKey } from "./key.ts";
import {
  answered,
  expired,
  keyConflict,
  keyInvalid,
  keyNeeded,
  logDown,
  outOfTime,
  refused,
  unknown,
} from "./results.ts";
import type { KeptAnswer } from "./side_table.ts";
import { Waiting } from "./waiting.ts";

/** Where a request would run: an endpoint and the run of its side. */
export interface OnceChoice {
  readonly endpoint: EndpointId;
  readonly sideIncarnation: Incarnation;
}

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

export interface AcquireOptions {
  /** The caller's `Idempotency-Key` as it came; absent: `key_needed`. */
  readonly key: string | undefined;
  readonly workspace?: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /** Picks where to run; called at most once, and only if a record is needed. */
  readonly choose: () => Promise<Result<OnceChoice, Refusal>>;
  /** Timer time at which waiting ends, milliseconds. */
  readonly deadline?: number;
  /**
   * Permit that this request has sent already and whose fate it does not
   * know: the side is asked to bar it at once, and until it has, no result
   * says that nothing has run.
   */
  readonly lost?: OncePermit;
}

export interface OnceCoordinatorOptions {
  readonly fold: OnceFold;
  /**
   * Appends to the region's `once` stream. `ok` gives the record's offset; a
   * caller of this function trusts it only after reading the record there.
   */
  readonly append: (
    body: OnceRecord,
  ) => Promise<Result<LogOffset, JournalFailure>>;
  /** Asks the side that stands beside the endpoint. */
  readonly ask: (
    endpoint: EndpointId,
    question: OnceQuestion,
  ) => Promise<Result<OnceAnswer, LinkFailure>>;
  readonly timer: TimerService;
}

/** Longest wait where a request brings no deadline. */
const DEFAULT_WAIT_MILLISECONDS = 30_000;
/**
 * Keys move stream time, so one key from a caller whose clock runs ahead would
 * expire everybody's. Five minutes pass badly set clocks, not wrong ones.
 */
const MOST_AHEAD_MILLISECONDS = 5 * 60_000;
/**
 * A retry that overtakes the first request finds a record that the side has
 * not seen. Barring it at once would make the first request start over. A
 * dispatch takes a few milliseconds; a quarter second covers a busy entry.
 */
const BAR_GRACE_MILLISECONDS = 250;
/** A repeat of a running call asks this often; a call takes seconds. */
const ASK_AGAIN_MILLISECONDS = 100;

/** One call of `acquire` on its way. */
interface Acquisition {
  readonly options: AcquireOptions;
  readonly key: IdempotencyKey;
  readonly deadline: number;
  choice?: OnceChoice;
  /** Offset that the log gave this acquisition's newest record. */
  ownRecord?: LogOffset;
  /** What the newest append replaces; undefined before the first. */
  appended?: number;
  inDoubt: boolean;
  /** True until the side has barred the permit that was sent before. */
  mayHaveRun: boolean;
  /** Record that its side has promised never to run. */
  barred?: LogOffset;
  /** Record that its side had not seen, and since when. */
  notSeen?: { readonly record: LogOffset; readonly since: number };
}

type Step = AcquireResult | "again";

/**
 * Takes idempotency keys for the requests of one entry. The record goes onto
 * the log before the work goes out; whoever stands first in the log's order
 * runs, and everybody else asks the side that the record names.
 */
export class OnceCoordinator {
  readonly #options: OnceCoordinatorOptions;
  readonly #waiting: Waiting;

  constructor(options: OnceCoordinatorOptions) {
    this.#options = options;
    this.#waiting = new Waiting(options);
  }

  async acquire(options: AcquireOptions): Promise<AcquireResult> {
    if (options.key === undefined) return keyNeeded();
    const key = scopedKey(options.workspace ?? "", options.key);
    if (key.isErr()) return keyInvalid(key.error.message);
    const acquisition = this.#begin(options, key.value);
    if (this.#isAhead(key.value)) {
      return keyInvalid("The key's time lies in the future");
    }
    for (;;) {
      const step = await this.#step(acquisition);
      if (step !== "again") return step;
      if (this.#options.timer.now() < acquisition.deadline) continue;
      return this.#giveUp(acquisition);
    }
  }

  #begin(options: AcquireOptions, key: IdempotencyKey): Acquisition {
    const now = this.#options.timer.now();
    return {
      options,
      key,
      deadline: options.deadline ?? now + DEFAULT_WAIT_MILLISECONDS,
      inDoubt: false,
      mayHaveRun: options.lost !== undefined,
    };
  }

  #isAhead(key: IdempotencyKey): boolean {
    const ahead = (timeOfKey(key) ?? 0) - this.#options.timer.wallClock();
    return ahead > MOST_AHEAD_MILLISECONDS;
  }

  #step(acquisition: Acquisition): Promise<Step> {
    const { fold } = this.#options;
    if (fold.isExpired(acquisition.key)) {
      return Promise.resolve(expired(acquisition.mayHaveRun));
    }
    const owner = fold.owner(acquisition.key);
    if (owner === undefined) {
      if (acquisition.mayHaveRun) return this.#waitForRecords(acquisition);
      return this.#own(acquisition, -1);
    }
    if (owner.record === acquisition.ownRecord) {
      return Promise.resolve(run(owner));
    }
    if (owner.fingerprint !== acquisition.options.fingerprint) {
      return Promise.resolve(keyConflict());
    }
    if (owner.record === acquisition.barred) {
      return this.#own(acquisition, owner.record);
    }
    return this.#askOwner(acquisition, owner);
  }

  /** Writes the record that would own the key, then waits to read it. */
  async #own(acquisition: Acquisition, replaces: number): Promise<Step> {
    if (acquisition.appended === replaces) {
      return this.#waitForRecords(acquisition);
    }
    if (acquisition.choice === undefined) {
      const choice = await acquisition.options.choose();
      if (choice.isErr()) return refused(choice.error);
      acquisition.choice = choice.value;
      // Others may have written while the request waited for its place.
      return "again";
    }
    acquisition.appended = replaces;
    const body = recordOf(acquisition, replaces);
    const offset = await this.#waiting.until(
      acquisition.deadline,
      this.#options.append(body),
    );
    if (offset === undefined) {
      acquisition.inDoubt = true;
      return "again";
    }
    if (offset.isOk()) acquisition.ownRecord = offset.value;
    else if (offset.error.name === "append_unknown") acquisition.inDoubt = true;
    else return this.#notAppended(acquisition, replaces);
    return "again";
  }

  /**
   * The log took nothing. Another entry may have owned the key meanwhile; its
   * record decides then, and an answer that its side keeps needs no log.
   */
  #notAppended(acquisition: Acquisition, replaces: number): Step {
    const owner = this.#options.fold.owner(acquisition.key);
    if (owner !== undefined && owner.record !== replaces) return "again";
    return logDown();
  }

  async #askOwner(acquisition: Acquisition, owner: OnceOwner): Promise<Step> {
    const question: OnceQuestion = {
      key: owner.key,
      record: owner.record,
      sideIncarnation: owner.sideIncarnation,
      bar: this.#isToBeBarred(acquisition, owner),
    };
    const answer = await this.#waiting.until(
      acquisition.deadline,
      this.#options.ask(owner.endpoint, question),
    );
    if (answer === undefined) return "again";
    if (answer.isErr()) return this.#askLater(acquisition);
    return this.#take(acquisition, { owner, answer: answer.value });
  }

  #isToBeBarred(acquisition: Acquisition, owner: OnceOwner): boolean {
    if (acquisition.options.lost?.record === owner.record) return true;
    const { notSeen } = acquisition;
    if (notSeen?.record !== owner.record) return false;
    return this.#options.timer.now() - notSeen.since >= BAR_GRACE_MILLISECONDS;
  }

  #take(
    acquisition: Acquisition,
    given: { owner: OnceOwner; answer: OnceAnswer },
  ): Promise<Step> | Step {
    const { owner, answer } = given;
    switch (answer.state) {
      case "answered":
        return answered(answer);
      case "barred":
        acquisition.barred = owner.record;
        acquisition.mayHaveRun = false;
        return "again";
      case "not_seen":
        if (acquisition.notSeen?.record !== owner.record) {
          const since = this.#options.timer.now();
          acquisition.notSeen = { record: owner.record, since };
        }
        return this.#askLater(acquisition);
      case "running":
        return this.#askLater(acquisition);
      case "failed":
        return unknown("The work was started and its answer is not known");
      case "other_incarnation":
        return unknown("The side that may have run the work is gone");
    }
  }

  async #askLater(acquisition: Acquisition): Promise<Step> {
    const now = this.#options.timer.now();
    const until = Math.min(now + ASK_AGAIN_MILLISECONDS, acquisition.deadline);
    await this.#waiting.change(until);
    return "again";
  }

  async #waitForRecords(acquisition: Acquisition): Promise<Step> {
    await this.#waiting.change(acquisition.deadline);
    return "again";
  }

  /**
   * Time is up. This request's own permit never went out unless `mayHaveRun`,
   * and nobody else can use it, so "not run" stays true even while an append
   * is in doubt: whoever reads that record later has to bar it first.
   */
  #giveUp(acquisition: Acquisition): AcquireResult {
    const owner = this.#options.fold.owner(acquisition.key);
    if (acquisition.mayHaveRun) {
      return unknown("The side did not say in time what became of the work");
    }
    if (owner === undefined || owner.record === acquisition.barred) {
      return acquisition.inDoubt ? logDown() : outOfTime();
    }
    if (owner.record === acquisition.ownRecord) return outOfTime();
    return unknown("An earlier request with this key has not ended in time");
  }
}

function run(owner: OnceOwner): AcquireResult {
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

function recordOf(acquisition: Acquisition, replaces: number): OnceRecord {
  const choice = acquisition.choice as OnceChoice;
  return {
    kind: "once",
    key: acquisition.key,
    keyTime: timeOfKey(acquisition.key) as number,
    fingerprint: acquisition.options.fingerprint,
    endpoint: choice.endpoint,
    sideIncarnation: choice.sideIncarnation,
    replaces,
  };
}
