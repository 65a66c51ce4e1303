import type { Subscription, TimerService } from "../../time/mod.ts";

/** How often held prompts are looked at. */
export const LOOK_MILLISECONDS = 20;

/** A prompt that waits in its entry until an engine is nearly idle. */
export interface HeldPrompt<Choice> {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** When it is no longer worth reading, on the timer's clock. */
  readonly expiresAt: number;
  /** Work that an engine will have with it. */
  readonly workMilliseconds: number;
  /** Looks for the engine that can begin with it now; must not fail. */
  readonly choose: () => Promise<Choice | undefined>;
  /** True once its caller has gone. */
  readonly isOver: () => boolean;
}

interface Waiting<Choice> extends HeldPrompt<Choice> {
  readonly resolve: (choice: Choice | undefined) => void;
}

/**
 * Prompts whose answers are late anyhow, held back until an engine is nearly idle.
 * Engines process prompts in order of arrival, so late ones that were sent ahead
 * would delay those behind them. The most urgent goes first, then the one whose
 * caller leaves first.
 */
export class HeldPrompts<Choice> {
  readonly #timer: TimerService;
  #waiting: Waiting<Choice>[] = [];
  #look: Subscription | undefined;
  #isLooking = false;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  get count(): number {
    return this.#waiting.length;
  }

  /** Work of the prompts that go before one of this rank and expiry. */
  workAhead(than: { readonly rank: number; readonly expiresAt: number }) {
    return this.#waiting.reduce(
      (sum, each) => goesBefore(each, than) ? sum + each.workMilliseconds : sum,
      0,
    );
  }

  /** Gives the engine once there is one; undefined where time has run out. */
  hold(prompt: HeldPrompt<Choice>): Promise<Choice | undefined> {
    return new Promise((resolve) => {
      this.#waiting.push({ ...prompt, resolve });
      this.#waiting.sort(byUrgency);
      if (this.#look === undefined) void this.#lookNow();
    });
  }

  #lookAfter(milliseconds: number): void {
    this.#look ??= this.#timer.after(milliseconds, () => {
      this.#look = undefined;
      void this.#lookNow();
    });
  }

  async #lookNow(): Promise<void> {
    if (this.#isLooking) return;
    this.#dropExpired();
    const [first] = this.#waiting;
    if (first === undefined) return;
    this.#isLooking = true;
    const choice = await first.choose();
    this.#isLooking = false;
    if (choice === undefined) return this.#lookAfter(LOOK_MILLISECONDS);
    // A more urgent one may have come meanwhile, and stands before it.
    this.#waiting = this.#waiting.filter((each) => each !== first);
    first.resolve(choice);
    // Its work has to stand at the engine before the next one is chosen for.
    this.#lookAfter(0);
  }

  #dropExpired(): void {
    const now = this.#timer.now();
    const isDropped = (each: Waiting<Choice>) =>
      now >= each.expiresAt || each.isOver();
    const dropped = this.#waiting.filter(isDropped);
    if (dropped.length === 0) return;
    this.#waiting = this.#waiting.filter((each) => !isDropped(each));
    for (const each of dropped) each.resolve(undefined);
  }
}

type Urgency = Pick<HeldPrompt<unknown>, "rank" | "expiresAt">;

function byUrgency(one: Urgency, other: Urgency): number {
  return one.rank - other.rank || one.expiresAt - other.expiresAt;
}

function goesBefore(one: Urgency, other: Urgency): boolean {
  return byUrgency(one, other) <= 0;
}
