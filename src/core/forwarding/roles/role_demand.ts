import type { TimerService } from "../../time/mod.ts";

/** Span that covers several swings of the mix between prompts and answers. */
const WINDOW_MILLISECONDS = 30_000;
/** Samples below which nothing is concluded. */
const MIN_SAMPLES = 12;
/** Share of the samples in which no more answers are open than concluded. */
const OPEN_ANSWERS_QUANTILE = 0.9;

/** What the engines of a pool have to do at one moment. */
export interface RoleSample {
  /** Answers that are open at engines that decode. */
  readonly answers: number;
  /** Engines that read a prompt. */
  readonly busyReaders: number;
}

/** What the engines of a pool had to do over the last half minute. */
export class RoleDemand {
  readonly #timer: TimerService;
  #samples: (RoleSample & { readonly at: number })[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  note(sample: RoleSample): void {
    const at = this.#timer.now();
    const oldest = at - WINDOW_MILLISECONDS;
    this.#samples = this.#samples.filter((each) => each.at > oldest);
    this.#samples.push({ ...sample, at });
  }

  /**
   * The answers that are open at most times, and the readers that are busy on
   * average: prompts can wait for each other, an answer needs a slot while it
   * runs. Undefined while too little was seen.
   */
  get usual(): RoleSample | undefined {
    const samples = this.#samples;
    if (samples.length < MIN_SAMPLES) return undefined;
    const answers = samples.map((sample) => sample.answers)
      .sort((one, other) => one - other);
    const busyReadersSum = samples.reduce(
      (sum, { busyReaders }) => sum + busyReaders,
      0,
    );
    return {
      answers:
        answers[Math.floor(OPEN_ANSWERS_QUANTILE * (answers.length - 1))],
      busyReaders: busyReadersSum / samples.length,
    };
  }
}
