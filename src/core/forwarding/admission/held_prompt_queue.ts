import type { Subscription, TimerService } from "../../time/mod.ts";
import type { RequestShare } from "./request_share.ts";

/** Interval at which held prompts are checked for an idle engine. */
export const POLL_MILLISECONDS = 20;

/** A prompt that waits in the entry until an engine is nearly idle. */
export interface HeldPrompt<Choice> {
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Time at which the prompt is dropped, on the timer's clock. */
  readonly expiresAt: number;
  /** Absent where the pool has no fair shares, or the caller no workspace. */
  readonly share?: RequestShare;
  /** Predicted prefill work of the prompt. */
  readonly workMilliseconds: number;
  /** Chooses an engine that can start now, if there is one; must not reject. */
  readonly choose: () => Promise<Choice | undefined>;
  /** True once the request has ended, such as by a disconnect of its caller. */
  readonly isCancelled: () => boolean;
}

/** What decides the place of a prompt in the queue. */
export type HeldPlace = Pick<
  HeldPrompt<unknown>,
  "rank" | "share" | "expiresAt"
>;

interface WaitingPrompt<Choice> extends HeldPrompt<Choice> {
  readonly resolve: (choice: Choice | undefined) => void;
  readonly reject: (cause: unknown) => void;
}

/**
 * Priority queue of prompts whose responses will be late, held until an engine
 * is nearly idle. Engines process prompts in order of arrival, so late prompts
 * sent early would delay those behind them. Ordered by rank, then by expiry.
 * Where workspaces have fair shares, those above theirs come last in their rank,
 * callers that retry at their time come first, and then the least used.
 */
export class HeldPromptQueue<Choice> {
  readonly #timer: TimerService;
  #waiting: WaitingPrompt<Choice>[] = [];
  #nextPoll: Subscription | undefined;
  #isPolling = false;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  get count(): number {
    return this.#waiting.length;
  }

  /** Total work of the held prompts that run before one with this place. */
  workAhead(prompt: HeldPlace): number {
    const place = urgencyOf(prompt);
    return this.#waiting.reduce(
      (sum, each) =>
        compareUrgency(urgencyOf(each), place) <= 0
          ? sum + each.workMilliseconds
          : sum,
      0,
    );
  }

  /** The held prompt that runs next. */
  get first(): HeldPlace | undefined {
    return this.#first();
  }

  /**
   * Drops the prompts of workspaces above their share that can't start in time
   * once this prompt is held as well. Their callers need not wait for a refusal.
   */
  displaceFor(
    prompt: Omit<HeldPrompt<Choice>, "choose" | "isCancelled">,
    waitMilliseconds: (workAhead: number) => number,
  ): void {
    const { share } = prompt;
    if (share === undefined || share.isAboveShare) return;
    const own = urgencyOf(prompt);
    const now = this.#timer.now();
    const behind = this.#waiting.map((each) => ({
      each,
      urgency: urgencyOf(each),
    })).sort((one, other) => compareUrgency(one.urgency, other.urgency));
    let workAhead = 0;
    const displaced = new Set<WaitingPrompt<Choice>>();
    for (const { each, urgency } of behind) {
      const start = now +
        waitMilliseconds(workAhead + prompt.workMilliseconds);
      const isDisplaced = each.share !== undefined && urgency.isAboveShare &&
        compareUrgency(own, urgency) < 0 && start > each.expiresAt;
      if (!isDisplaced) workAhead += each.workMilliseconds;
      else displaced.add(each);
    }
    if (displaced.size === 0) return;
    this.#waiting = this.#waiting.filter((each) => !displaced.has(each));
    for (const each of displaced) {
      each.share?.displace(share.workspace);
      each.resolve(undefined);
    }
  }

  /**
   * Resolves with the chosen engine, or undefined once the prompt is dropped.
   */
  enqueue(prompt: HeldPrompt<Choice>): Promise<Choice | undefined> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ ...prompt, resolve, reject });
      if (this.#nextPoll === undefined) this.#timer.run(() => this.#poll());
    });
  }

  #pollAfter(milliseconds: number): void {
    this.#nextPoll ??= this.#timer.after(milliseconds, () => {
      this.#nextPoll = undefined;
      this.#timer.run(() => this.#poll());
    });
  }

  async #poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#dropObsolete();
    const first = this.#first();
    if (first === undefined) return;
    this.#isPolling = true;
    let choice: Choice | undefined;
    try {
      choice = await first.choose();
    } catch (cause) {
      // The throw belongs to the request of this prompt; the others go on.
      this.#waiting = this.#waiting.filter((each) => each !== first);
      first.reject(cause);
      return this.#pollAfter(0);
    } finally {
      this.#isPolling = false;
    }
    if (choice === undefined) return this.#pollAfter(POLL_MILLISECONDS);
    // A more urgent prompt may have been queued ahead of this one meanwhile.
    this.#waiting = this.#waiting.filter((each) => each !== first);
    first.resolve(choice);
    // The work of this prompt must count at its engine before the next choice.
    this.#pollAfter(0);
  }

  #first(): WaitingPrompt<Choice> | undefined {
    let first: WaitingPrompt<Choice> | undefined;
    let firstUrgency: Urgency | undefined;
    for (const each of this.#waiting) {
      const urgency = urgencyOf(each);
      if (
        firstUrgency !== undefined && compareUrgency(firstUrgency, urgency) <= 0
      ) continue;
      first = each;
      firstUrgency = urgency;
    }
    return first;
  }

  #dropObsolete(): void {
    const now = this.#timer.now();
    const isObsolete = (each: WaitingPrompt<Choice>) =>
      now >= each.expiresAt || each.isCancelled();
    const obsolete = this.#waiting.filter(isObsolete);
    if (obsolete.length === 0) return;
    this.#waiting = this.#waiting.filter((each) => !isObsolete(each));
    for (const each of obsolete) each.resolve(undefined);
  }
}

/** Current place of a prompt; the use of workspaces changes while it waits. */
interface Urgency {
  readonly rank: number;
  readonly isAboveShare: boolean;
  readonly isDue: boolean;
  readonly used: number;
  readonly expiresAt: number;
}

function urgencyOf({ rank, share, expiresAt }: HeldPlace): Urgency {
  return {
    rank,
    isAboveShare: share?.isAboveShare ?? false,
    isDue: share?.isDue ?? false,
    used: share?.used ?? 0,
    expiresAt,
  };
}

function compareUrgency(one: Urgency, other: Urgency): number {
  return one.rank - other.rank ||
    Number(one.isAboveShare) - Number(other.isAboveShare) ||
    Number(other.isDue) - Number(one.isDue) ||
    one.used - other.used ||
    one.expiresAt - other.expiresAt;
}
