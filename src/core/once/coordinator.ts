import type { Result } from "neverthrow";
import type { OnceRecord } from "../../generated/log_records.ts";
import type {
  OnceAnswer,
  OncePermit,
  OnceQuestion,
} from "../../generated/messages.ts";
import type { EndpointId, IdempotencyKey, LogOffset } from "../identity/mod.ts";
import type { JournalFailure } from "../journal/mod.ts";
import type { LinkFailure } from "../links/mod.ts";
import type { Refusal } from "../requests/mod.ts";
import type { TimerService } from "../time/mod.ts";
import {
  type Acquisition,
  beginAcquisition,
  decide,
  type Decision,
  type ExecutionTarget,
  handleSideAnswer,
  recordAppendOutcome,
  recordAppendStart,
  resultAfterFailedAppend,
  resultAtDeadline,
} from "./acquisition.ts";
import type { OnceFold } from "./fold.ts";
import { scopedKey, timeOfKey } from "./key.ts";
import {
  type AcquireResult,
  keyInvalid,
  keyRequired,
  refusedResult,
} from "./results.ts";
import { DeadlineWaiter } from "./deadline_waiter.ts";

export interface AcquireKeyOptions {
  /**
   * The caller's `Idempotency-Key` as received; undefined gives `key_needed`.
   */
  readonly key: string | undefined;
  readonly workspace?: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /**
   * Picks where to run; called at most once, and only if a record is needed.
   */
  readonly choose: () => Promise<Result<ExecutionTarget, Refusal>>;
  /** Timer time at which the request stops waiting, milliseconds. */
  readonly deadline?: number;
  /**
   * Permit that this request has already sent and whose outcome is unknown. The
   * side is asked to bar it at once; until it has done so, no result says that
   * the work has not run.
   */
  readonly lost?: OncePermit;
}

export interface OnceCoordinatorOptions {
  readonly fold: OnceFold;
  /**
   * Appends to the region's `once` stream. `ok` returns the record's offset;
   * the coordinator relies on it only after reading the record back at that
   * offset.
   */
  readonly append: (
    body: OnceRecord,
  ) => Promise<Result<LogOffset, JournalFailure>>;
  /** Queries the side of the endpoint. */
  readonly ask: (
    endpoint: EndpointId,
    question: OnceQuestion,
  ) => Promise<Result<OnceAnswer, LinkFailure>>;
  readonly timer: TimerService;
}

/** Longest wait of a request without a deadline. */
const DEFAULT_WAIT_MILLISECONDS = 30_000;
/**
 * Largest accepted lead of a key's time over the wall clock. Keys advance
 * stream time, so one key from a caller whose clock runs ahead would expire the
 * keys of all callers. Five minutes tolerate an inaccurate clock but not a
 * wrong one.
 */
const MAX_KEY_TIME_LEAD_MILLISECONDS = 5 * 60_000;
/** Interval of queries about a running call; a call takes seconds. */
const QUERY_INTERVAL_MILLISECONDS = 100;

/**
 * How long a side may be unreachable before its caller gets an unknown
 * outcome. A paused or restarting side is back within this time, as is a
 * link that was briefly interrupted.
 */
const UNREACHABLE_TIMEOUT_MILLISECONDS = 4_000;

/** One call of `acquire` in progress. */
interface AcquireCall {
  readonly acquisition: Acquisition;
  readonly choose: AcquireKeyOptions["choose"];
  readonly deadline: number;
  /** Timer time of the first lost query since the side's last answer. */
  unreachableSince?: number;
}

/**
 * Acquires idempotency keys for the requests of one entry. The record is
 * appended to the log before the work is dispatched. The first record of a key
 * in log order runs; every other request queries the side that the record
 * names.
 */
export class OnceCoordinator {
  readonly #options: OnceCoordinatorOptions;
  readonly #waiter: DeadlineWaiter;

  constructor(options: OnceCoordinatorOptions) {
    this.#options = options;
    this.#waiter = new DeadlineWaiter(options);
  }

  async acquire(options: AcquireKeyOptions): Promise<AcquireResult> {
    if (options.key === undefined) return keyRequired();
    const key = scopedKey(options.workspace ?? "", options.key);
    if (key.isErr()) return keyInvalid(key.error.message);
    if (this.#isInFuture(key.value)) {
      return keyInvalid("The time in the idempotency key is in the future");
    }
    const { timer } = this.#options;
    const call: AcquireCall = {
      acquisition: beginAcquisition(key.value, options),
      choose: options.choose,
      deadline: options.deadline ?? timer.now() + DEFAULT_WAIT_MILLISECONDS,
    };
    return await this.#run(call);
  }

  /**
   * True if a record owns the key: its work may have run, even if the calling
   * request has sent nothing.
   */
  isOwned(key: string, workspace: string): boolean {
    const scoped = scopedKey(workspace, key);
    return scoped.isOk() &&
      this.#options.fold.owner(scoped.value) !== undefined;
  }

  async #run(call: AcquireCall): Promise<AcquireResult> {
    const { fold, timer } = this.#options;
    for (;;) {
      const decision = decide(call.acquisition, { fold, now: timer.now() });
      if (decision.kind === "result") return decision.result;
      if (timer.now() >= call.deadline) {
        return resultAtDeadline(call.acquisition, fold);
      }
      const result = await this.#execute(call, decision);
      if (result !== undefined) return result;
    }
  }

  #isInFuture(key: IdempotencyKey): boolean {
    const ahead = (timeOfKey(key) ?? 0) - this.#options.timer.wallClock();
    return ahead > MAX_KEY_TIME_LEAD_MILLISECONDS;
  }

  async #execute(
    call: AcquireCall,
    decision: Exclude<Decision, { kind: "result" }>,
  ): Promise<AcquireResult | undefined> {
    switch (decision.kind) {
      case "choose": {
        const choice = await call.choose();
        if (choice.isErr()) return refusedResult(choice.error);
        call.acquisition.choice = choice.value;
        return undefined;
      }
      case "append":
        return await this.#append(call, decision.body);
      case "ask":
        return await this.#query(call, decision);
      case "wait":
        await this.#waiter.nextChange(call.deadline);
        return undefined;
    }
  }

  async #append(
    call: AcquireCall,
    body: OnceRecord,
  ): Promise<AcquireResult | undefined> {
    recordAppendStart(call.acquisition, body);
    const outcome = await this.#waiter.beforeDeadline(
      call.deadline,
      this.#options.append(body),
    );
    if (outcome === undefined) return undefined;
    const result = recordAppendOutcome(
      call.acquisition,
      outcome.isOk()
        ? { offset: outcome.value }
        : { failure: outcome.error.name },
    );
    if (result === undefined) return undefined;
    return resultAfterFailedAppend(call.acquisition, this.#options.fold);
  }

  async #query(
    call: AcquireCall,
    decision: Extract<Decision, { kind: "ask" }>,
  ): Promise<AcquireResult | undefined> {
    const { owner, question } = decision;
    const answer = await this.#waiter.beforeDeadline(
      call.deadline,
      this.#options.ask(owner.endpoint, question),
    );
    if (answer === undefined) return undefined;
    if (answer.isErr()) return await this.#handleFailedQuery(call);
    call.unreachableSince = undefined;
    const result = handleSideAnswer(call.acquisition, {
      record: owner.record,
      answer: answer.value,
      now: this.#options.timer.now(),
    });
    if (result === "now") return undefined;
    return result === "later" ? await this.#waitForNextQuery(call) : result;
  }

  /**
   * Handles a failed query. The side may be reachable again shortly; one
   * that stays unreachable does not answer before the deadline either, so
   * holding the caller longer than `UNREACHABLE_TIMEOUT_MILLISECONDS` would not
   * change its result.
   */
  async #handleFailedQuery(
    call: AcquireCall,
  ): Promise<AcquireResult | undefined> {
    const now = this.#options.timer.now();
    call.unreachableSince ??= now;
    if (now - call.unreachableSince >= UNREACHABLE_TIMEOUT_MILLISECONDS) {
      return resultAtDeadline(call.acquisition, this.#options.fold);
    }
    return await this.#waitForNextQuery(call);
  }

  async #waitForNextQuery(call: AcquireCall): Promise<undefined> {
    const nextQueryAt = this.#options.timer.now() + QUERY_INTERVAL_MILLISECONDS;
    await this.#waiter.nextChange(Math.min(nextQueryAt, call.deadline));
  }
}
