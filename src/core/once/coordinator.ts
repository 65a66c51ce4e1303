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
  giveUp,
  noteAppend,
  type OnceChoice,
  takeAnswer,
  takeAppended,
  whenLogDown,
} from "./acquisition.ts";
import type { OnceFold } from "./fold.ts";
import { scopedKey, timeOfKey } from "./key.ts";
import {
  type AcquireResult,
  keyInvalid,
  keyNeeded,
  refused,
} from "./results.ts";
import { Waiting } from "./waiting.ts";

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
   * Appends to the region's `once` stream. `ok` gives the record's offset;
   * the coordinator trusts it only after reading the record there.
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
/** A repeat of a running call asks this often; a call takes seconds. */
const ASK_AGAIN_MILLISECONDS = 100;

/**
 * How long a side may stay away before its caller is told that the outcome is
 * not known: a frozen or restarting side is back within it, as is a link that
 * was cut for a moment.
 */
const UNHEARD_MILLISECONDS = 4_000;

/** One call of `acquire` on its way. */
interface Run {
  readonly acquisition: Acquisition;
  readonly choose: AcquireOptions["choose"];
  readonly deadline: number;
  /** Timer time from which on every question to the side was lost. */
  unheardSince?: number;
}

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
    if (this.#isAhead(key.value)) {
      return keyInvalid("The key's time lies in the future");
    }
    const { timer } = this.#options;
    const run: Run = {
      acquisition: beginAcquisition(key.value, options),
      choose: options.choose,
      deadline: options.deadline ?? timer.now() + DEFAULT_WAIT_MILLISECONDS,
    };
    return await this.#carryOut(run);
  }

  /**
   * True where a record stands for the key: its work may have run, also where
   * the request that asks has sent nothing.
   */
  isOwned(key: string, workspace: string): boolean {
    const scoped = scopedKey(workspace, key);
    return scoped.isOk() &&
      this.#options.fold.owner(scoped.value) !== undefined;
  }

  async #carryOut(run: Run): Promise<AcquireResult> {
    const { fold, timer } = this.#options;
    for (;;) {
      const decision = decide(run.acquisition, { fold, now: timer.now() });
      if (decision.kind === "result") return decision.result;
      if (timer.now() >= run.deadline) return giveUp(run.acquisition, fold);
      const result = await this.#perform(run, decision);
      if (result !== undefined) return result;
    }
  }

  #isAhead(key: IdempotencyKey): boolean {
    const ahead = (timeOfKey(key) ?? 0) - this.#options.timer.wallClock();
    return ahead > MOST_AHEAD_MILLISECONDS;
  }

  async #perform(
    run: Run,
    decision: Exclude<Decision, { kind: "result" }>,
  ): Promise<AcquireResult | undefined> {
    switch (decision.kind) {
      case "choose": {
        const choice = await run.choose();
        if (choice.isErr()) return refused(choice.error);
        run.acquisition.choice = choice.value;
        return undefined;
      }
      case "append":
        return await this.#append(run, decision.body);
      case "ask":
        return await this.#ask(run, decision);
      case "wait":
        await this.#waiting.change(run.deadline);
        return undefined;
    }
  }

  async #append(
    run: Run,
    body: OnceRecord,
  ): Promise<AcquireResult | undefined> {
    noteAppend(run.acquisition, body);
    const outcome = await this.#waiting.until(
      run.deadline,
      this.#options.append(body),
    );
    if (outcome === undefined) return undefined;
    const taken = takeAppended(
      run.acquisition,
      outcome.isOk()
        ? { offset: outcome.value }
        : { failure: outcome.error.name },
    );
    if (taken === undefined) return undefined;
    return whenLogDown(run.acquisition, this.#options.fold);
  }

  async #ask(
    run: Run,
    decision: Extract<Decision, { kind: "ask" }>,
  ): Promise<AcquireResult | undefined> {
    const { owner, question } = decision;
    const answer = await this.#waiting.until(
      run.deadline,
      this.#options.ask(owner.endpoint, question),
    );
    if (answer === undefined) return undefined;
    if (answer.isErr()) return await this.#afterLostQuestion(run);
    run.unheardSince = undefined;
    const taken = takeAnswer(run.acquisition, {
      record: owner.record,
      answer: answer.value,
      now: this.#options.timer.now(),
    });
    if (taken === "now") return undefined;
    return taken === "later" ? await this.#askLater(run) : taken;
  }

  /**
   * The side can't be asked. It may be back in a moment; a side that stays away
   * does not answer before the deadline either, and holding the caller on the
   * line until then would change nothing of what it is told.
   */
  async #afterLostQuestion(run: Run): Promise<AcquireResult | undefined> {
    const now = this.#options.timer.now();
    run.unheardSince ??= now;
    if (now - run.unheardSince >= UNHEARD_MILLISECONDS) {
      return giveUp(run.acquisition, this.#options.fold);
    }
    return await this.#askLater(run);
  }

  async #askLater(run: Run): Promise<undefined> {
    const again = this.#options.timer.now() + ASK_AGAIN_MILLISECONDS;
    await this.#waiting.change(Math.min(again, run.deadline));
  }
}
