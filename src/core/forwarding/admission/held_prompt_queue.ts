import type { Subscription, TimerService } from "../../time/mod.ts";

/** Interval at which held prompts are checked for an idle engine. */
export const POLL_MILLISECONDS = 20;

/** A prompt that waits in the entry until an engine is nearly idle. */
export interface HeldPrompt<Choice> {
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Time at which the prompt is dropped, on the timer's clock. */
  readonly expiresAt: number;
  /** Predicted prefill work of the prompt. */
  readonly workMilliseconds: number;
  /** Chooses an engine that can start now, if there is one; must not reject. */
  readonly choose: () => Promise<Choice | undefined>;
  /** True once the request has ended, such as by a disconnect of its caller. */
  readonly isCancelled: () => boolean;
}

interface WaitingPrompt<Choice> extends HeldPrompt<Choice> {
  readonly resolve: (choice: Choice | undefined) => void;
}

/**
 * Priority queue of prompts whose responses will be late, held until an engine
 * is nearly idle. Engines process prompts in order of arrival, so late prompts
 * sent early would delay those behind them. Ordered by rank, then by expiry.
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

  /**
   * Total work of the held prompts that run before one of this rank and expiry.
   */
  workAhead(prompt: { readonly rank: number; readonly expiresAt: number }) {
    return this.#waiting.reduce(
      (sum, each) =>
        isServedBefore(each, prompt) ? sum + each.workMilliseconds : sum,
      0,
    );
  }

  /**
   * Resolves with the chosen engine, or undefined once the prompt is dropped.
   */
  enqueue(prompt: HeldPrompt<Choice>): Promise<Choice | undefined> {
    return new Promise((resolve) => {
      this.#waiting.push({ ...prompt, resolve });
      this.#waiting.sort(byUrgency);
      if (this.#nextPoll === undefined) void this.#poll();
    });
  }

  #pollAfter(milliseconds: number): void {
    this.#nextPoll ??= this.#timer.after(milliseconds, () => {
      this.#nextPoll = undefined;
      void this.#poll();
    });
  }

  async #poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#dropObsolete();
    const [first] = this.#waiting;
    if (first === undefined) return;
    this.#isPolling = true;
    const choice = await first.choose();
    this.#isPolling = false;
    if (choice === undefined) return this.#pollAfter(POLL_MILLISECONDS);
    // A more urgent prompt may have been queued ahead of this one meanwhile.
    this.#waiting = this.#waiting.filter((each) => each !== first);
    first.resolve(choice);
    // The work of this prompt must count at its engine before the next choice.
    this.#pollAfter(0);
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

type Urgency = Pick<HeldPrompt<unknown>, "rank" | "expiresAt">;

function byUrgency(one: Urgency, other: Urgency): number {
  return one.rank - other.rank || one.expiresAt - other.expiresAt;
}

function isServedBefore(one: Urgency, other: Urgency): boolean {
  return byUrgency(one, other) <= 0;
}
