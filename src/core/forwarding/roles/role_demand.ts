import type { TimerService } from "../../time/mod.ts";

/**
 * Length of the window; it covers several swings between prompts and answers.
 */
const WINDOW_MILLISECONDS = 30_000;
/** Number of samples below which the demand is unknown. */
const MIN_SAMPLES = 12;
/** Quantile of the open answers for which decode engines need slots. */
const OPEN_ANSWERS_QUANTILE = 0.9;

/** Load of a pool's engines at one moment. */
export interface RoleSample {
  /** Answers open at decode engines. */
  readonly answers: number;
  /** Prefill engines with work. */
  readonly busyReaders: number;
}

/** Load of a pool's engines over the last half minute. */
export class RoleDemand {
  readonly #timer: TimerService;
  #samples: (RoleSample & { readonly at: number })[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records a sample of the current load. */
  record(sample: RoleSample): void {
    const at = this.#timer.now();
    const oldest = at - WINDOW_MILLISECONDS;
    this.#samples = this.#samples.filter((each) => each.at > oldest);
    this.#samples.push({ ...sample, at });
  }

  /**
   * A high quantile of the open answers and the mean of the busy prefill
   * engines: prompts can queue for each other, while an answer needs a slot as
   * long as it runs. Undefined while there are too few samples.
   */
  get typical(): RoleSample | undefined {
    const samples = this.#samples;
    if (samples.length < MIN_SAMPLES) return undefined;
    const answers = samples.map((sample) => sample.answers)
      .sort((one, other) => one - other);
    const busyEngineSum = samples.reduce(
      (sum, { busyReaders }) => sum + busyReaders,
      0,
    );
    return {
      answers:
        answers[Math.floor(OPEN_ANSWERS_QUANTILE * (answers.length - 1))],
      busyReaders: busyEngineSum / samples.length,
    };
  }
}
