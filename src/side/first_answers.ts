import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { WatchAnswer } from "../generated/messages.ts";

export interface FirstAnswersOptions {
  readonly timer: TimerService;
  /** Loops that are to have answered, each at an entry of its own. */
  readonly loops: number;
  readonly onAnswer: (answer: WatchAnswer) => void;
  /** Takes the rule out; only the fault matrix passes it. */
  readonly waitsForAll?: () => boolean;
}

/**
 * How long a starting side waits for the slower of its entries. Harm that a
 * longer wait does: the side is without a configuration that long when one of
 * its entries is lost, and nine seconds are all it has.
 */
const LONGEST_WAIT_MILLISECONDS = 3_000;

/**
 * Holds a starting side's first answers back until all its entries have
 * spoken. A restarted side has forgotten what it had in force; an entry that
 * is cut off from the log would give it an older configuration or order than
 * its earlier run followed, seen as a drained endpoint that takes work again.
 * One of the entries told the earlier run, so the newest of the answers is at
 * least that. Behind the time limit the newest answer heard is taken: a side
 * whose other entry is lost must serve.
 */
export class FirstAnswers {
  readonly #options: FirstAnswersOptions;
  readonly #held = new Map<number, WatchAnswer>();
  #limit: Subscription | undefined;
  #open = false;

  constructor(options: FirstAnswersOptions) {
    this.#options = options;
  }

  start(): void {
    this.#limit = this.#options.timer.after(
      LONGEST_WAIT_MILLISECONDS,
      () => this.#release(),
    );
  }

  stop(): void {
    this.#limit?.cancel();
  }

  /** Takes an answer that the loop of this number has got. */
  take(loop: number, answer: WatchAnswer): void {
    if (this.#open || this.#options.waitsForAll?.() === false) {
      return this.#options.onAnswer(answer);
    }
    this.#held.set(loop, answer);
    if (this.#held.size >= this.#options.loops) this.#release();
  }

  /** The newest goes first, so that no older one is in force for a moment. */
  #release(): void {
    this.#open = true;
    this.#limit?.cancel();
    const answers = [...this.#held.values()].sort((one, other) =>
      other.configurationVersion - one.configurationVersion ||
      (other.order?.offset ?? -1) - (one.order?.offset ?? -1)
    );
    this.#held.clear();
    for (const answer of answers) this.#options.onAnswer(answer);
  }
}
