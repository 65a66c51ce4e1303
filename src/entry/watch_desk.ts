import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { WatchAnswer, WatchQuestion } from "../generated/messages.ts";

export interface WatchDeskOptions {
  readonly timer: TimerService;
  /** What is in force for an endpoint by this entry's reading of the log. */
  readonly answerFor: (endpoint: string) => WatchAnswer;
}

interface OpenQuestion {
  readonly question: WatchQuestion;
  readonly answer: (answer: WatchAnswer) => void;
  readonly limit: Subscription;
}

/** Answers the long polls of the sides that are attached to this entry. */
export class WatchDesk {
  readonly #options: WatchDeskOptions;
  readonly #open = new Set<OpenQuestion>();

  constructor(options: WatchDeskOptions) {
    this.#options = options;
  }

  /** Number of sides that wait at this entry. */
  get attached(): number {
    return this.#open.size;
  }

  watch(question: WatchQuestion): Promise<WatchAnswer> {
    const answer = this.#options.answerFor(question.report.endpoint);
    if (isNews(question, answer)) return Promise.resolve(answer);
    return new Promise((resolve) => {
      const open: OpenQuestion = {
        question,
        answer: resolve,
        limit: this.#options.timer.after(
          question.waitMilliseconds,
          () => this.#close(open),
        ),
      };
      this.#open.add(open);
    });
  }

  /** Something in force has changed: tells the sides that it concerns. */
  changed(): void {
    for (const open of [...this.#open]) {
      const answer = this.#options.answerFor(open.question.report.endpoint);
      if (isNews(open.question, answer)) this.#close(open);
    }
  }

  /** Answers all that wait, so that the sides turn to another entry. */
  closeAll(): void {
    for (const open of [...this.#open]) this.#close(open);
  }

  #close(open: OpenQuestion): void {
    this.#open.delete(open);
    open.limit.cancel();
    open.answer(this.#options.answerFor(open.question.report.endpoint));
  }
}

/** Whether the answer tells the side anything that its report lacks. */
function isNews(question: WatchQuestion, answer: WatchAnswer): boolean {
  const { report } = question;
  if (answer.configurationVersion > report.configurationVersion) return true;
  return (answer.order?.offset ?? -1) > report.orderTaken;
}
