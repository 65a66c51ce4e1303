import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { WatchAnswer, WatchQuestion } from "../generated/messages.ts";

export interface PendingWatchesOptions {
  readonly timer: TimerService;
  /**
   * Current answer for an endpoint, according to this entry's position in the
   * log.
   */
  readonly answerFor: (endpoint: string) => WatchAnswer;
}

interface PendingWatch {
  readonly question: WatchQuestion;
  readonly answer: (answer: WatchAnswer) => void;
  readonly timeout: Subscription;
}

/**
 * Holds the long polls of the sides that are attached to this entry and answers
 * them.
 */
export class PendingWatches {
  readonly #options: PendingWatchesOptions;
  readonly #pending = new Set<PendingWatch>();

  constructor(options: PendingWatchesOptions) {
    this.#options = options;
  }

  /** Number of pending long polls. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  watch(question: WatchQuestion): Promise<WatchAnswer> {
    const answer = this.#options.answerFor(question.report.endpoint);
    if (hasUpdate(question, answer)) return Promise.resolve(answer);
    return new Promise((resolve) => {
      const pendingWatch: PendingWatch = {
        question,
        answer: resolve,
        timeout: this.#options.timer.after(
          question.waitMilliseconds,
          () => this.#answer(pendingWatch),
        ),
      };
      this.#pending.add(pendingWatch);
    });
  }

  /** Answers the long polls whose answer has changed. */
  answerChanged(): void {
    for (const pendingWatch of [...this.#pending]) {
      const answer = this.#options.answerFor(
        pendingWatch.question.report.endpoint,
      );
      if (hasUpdate(pendingWatch.question, answer)) this.#answer(pendingWatch);
    }
  }

  /**
   * Answers all pending long polls, so that the sides switch to another entry.
   */
  answerAll(): void {
    for (const pendingWatch of [...this.#pending]) this.#answer(pendingWatch);
  }

  #answer(pendingWatch: PendingWatch): void {
    this.#pending.delete(pendingWatch);
    pendingWatch.timeout.cancel();
    pendingWatch.answer(
      this.#options.answerFor(pendingWatch.question.report.endpoint),
    );
  }
}

/** True if the answer contains anything newer than the side's report. */
function hasUpdate(question: WatchQuestion, answer: WatchAnswer): boolean {
  const { report } = question;
  if (answer.configurationVersion > report.configurationVersion) return true;
  return (answer.order?.offset ?? -1) > report.orderTaken;
}
