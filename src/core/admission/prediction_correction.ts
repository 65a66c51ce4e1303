/** Smoothing factor of the running means. */
const SMOOTHING_FACTOR = 0.03;
/** Upper bound of the ratio that one answer contributes. */
const MAX_RATIO = 4;
/** Mean deviation before any answer is recorded. */
const INITIAL_DEVIATION = 0.2;

interface RatioStatistics {
  mean: number;
  deviation: number;
}

/**
 * Error of the predicted completion times per class: the mean and the mean
 * deviation of observed over predicted time. Admission multiplies its
 * prediction by this factor, so that an error of the model (a wrong rate in the
 * asset register, an unknown mix) is corrected within some dozens of answers
 * and does not make all further answers late.
 */
export class PredictionCorrection {
  readonly #statisticsByClass = new Map<string, RatioStatistics>();

  record(className: string, ratio: number): void {
    const statistics = this.#statisticsOf(className);
    const bounded = Math.min(MAX_RATIO, ratio);
    const error = bounded - statistics.mean;
    statistics.mean += SMOOTHING_FACTOR * error;
    statistics.deviation += SMOOTHING_FACTOR *
      (Math.abs(error) - statistics.deviation);
  }

  /**
   * Factor for a prediction; a higher number of deviations is more
   * conservative.
   */
  factor(className: string, deviations: number): number {
    const { mean, deviation } = this.#statisticsOf(className);
    return Math.max(0.1, mean + deviations * deviation);
  }

  #statisticsOf(className: string): RatioStatistics {
    let statistics = this.#statisticsByClass.get(className);
    if (statistics === undefined) {
      statistics = { mean: 1, deviation: INITIAL_DEVIATION };
      this.#statisticsByClass.set(className, statistics);
    }
    return statistics;
  }
}
