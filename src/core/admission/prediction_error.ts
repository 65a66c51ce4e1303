/** Weight of one answer in the running means. */
const ANSWER_WEIGHT = 0.03;
/** One answer moves the means as if it had been at most this far out. */
const MOST_RATIO = 4;
/** Spread before anything has been learned. */
const FIRST_DEVIATION = 0.2;

interface Spread {
  mean: number;
  deviation: number;
}

/**
 * How far predicted finishes have been out, per class: mean and mean
 * deviation of observed over predicted time. Admission multiplies its
 * prediction by this, so that an error of the model (a wrong rate in the asset
 * register, a mix it does not know) corrects itself within some dozens of
 * answers and does not end in a stream of late ones.
 */
export class PredictionError {
  readonly #spreads = new Map<string, Spread>();

  learn(className: string, ratio: number): void {
    const spread = this.#of(className);
    const bounded = Math.min(MOST_RATIO, ratio);
    const error = bounded - spread.mean;
    spread.mean += ANSWER_WEIGHT * error;
    spread.deviation += ANSWER_WEIGHT *
      (Math.abs(error) - spread.deviation);
  }

  /** Factor on a prediction; more deviations make it more cautious. */
  factor(className: string, deviations: number): number {
    const { mean, deviation } = this.#of(className);
    return Math.max(0.1, mean + deviations * deviation);
  }

  #of(className: string): Spread {
    let spread = this.#spreads.get(className);
    if (spread === undefined) {
      spread = { mean: 1, deviation: FIRST_DEVIATION };
      this.#spreads.set(className, spread);
    }
    return spread;
  }
}
