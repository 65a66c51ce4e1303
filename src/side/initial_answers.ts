import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { WatchAnswer } from "../generated/messages.ts";

export interface InitialAnswersOptions {
  readonly timer: TimerService;
  /** Number of watch loops to wait for, each attached to a different entry. */
  readonly loopCount: number;
  readonly onAnswer: (answer: WatchAnswer) => void;
  /** Overrides the wait; only the fault matrix passes it. */
  readonly waitsForAll?: () => boolean;
}

/**
 * Maximum time that a starting side waits for its slower entry. If one of its
 * entries is lost, the side has no configuration for this long, and a side has
 * to be in service again within nine seconds.
 */
const MAX_WAIT_MILLISECONDS = 3_000;

/**
 * Buffers the first answers of a starting side until all its entries have
 * answered. A restarted side has lost its configuration and order. An entry
 * that is cut off from the log would give it older ones than its previous
 * incarnation had, and a drained endpoint would accept work again. The previous
 * incarnation got its state from one of these entries, so the newest of the
 * answers is at least as new. After the timeout, the newest answer so far is
 * used, because a side must also serve when its other entry is lost.
 */
export class InitialAnswers {
  readonly #options: InitialAnswersOptions;
  readonly #buffered = new Map<number, WatchAnswer>();
  #timeout: Subscription | undefined;
  #isReleased = false;

  constructor(options: InitialAnswersOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timeout = this.#options.timer.after(
      MAX_WAIT_MILLISECONDS,
      () => this.#release(),
    );
  }

  stop(): void {
    this.#timeout?.cancel();
  }

  /** Receives an answer from the watch loop with this index. */
  receive(loopIndex: number, answer: WatchAnswer): void {
    if (this.#isReleased || this.#options.waitsForAll?.() === false) {
      return this.#options.onAnswer(answer);
    }
    this.#buffered.set(loopIndex, answer);
    if (this.#buffered.size >= this.#options.loopCount) this.#release();
  }

  /**
   * Delivers the newest answer first, so that no older one is active in
   * between.
   */
  #release(): void {
    this.#isReleased = true;
    this.#timeout?.cancel();
    const answers = [...this.#buffered.values()].sort((a, b) =>
      b.configurationVersion - a.configurationVersion ||
      (b.order?.offset ?? -1) - (a.order?.offset ?? -1)
    );
    this.#buffered.clear();
    for (const answer of answers) this.#options.onAnswer(answer);
  }
}
