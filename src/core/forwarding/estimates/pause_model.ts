import type { OpenWork } from "../endpoints/fleet_load.ts";
import { solveLinearSystem } from "./linear_system.ts";

/** Constant, open requests, their tokens and their inline prefill work. */
const FACTORS = 4;
/** Weight of one sample, so that about the last 500 count. */
const SAMPLE_WEIGHT = 0.002;
/** Samples before the first prediction. */
const MIN_SAMPLES = 16;
/** Samples between two fits; a fit costs as much as some 20 samples. */
const SAMPLES_PER_FIT = 16;
/**
 * Penalty on a slope relative to the mean square of its factor. It keeps the
 * slopes at 0 while their factors have not varied.
 */
const SLOPE_PENALTY = 1e-3;
/**
 * Limit on one pause relative to the predicted one. An engine that stalls for a
 * second says nothing of the pauses under a normal load.
 */
const MAX_RATIO_TO_PREDICTION = 4;

/**
 * Learns the pause between two events of a stream from the open work at its
 * engine, for the engines of one pool: a linear function without negative
 * slopes.
 */
export class PauseModel {
  /** Decayed means of the products of two factors, row by row. */
  readonly #products = new Float64Array(FACTORS * FACTORS);
  /** Decayed means of the products of a factor and the pause. */
  readonly #pauseProducts = new Float64Array(FACTORS);
  readonly #factors = new Float64Array(FACTORS);
  #coefficients: readonly number[] | undefined;
  #samples = 0;
  /** Decayed mean of the absolute error relative to the prediction. */
  #relativeDeviation = 0;

  /** Predicted pause in milliseconds; undefined without enough samples. */
  predict(work: OpenWork): number | undefined {
    const coefficients = this.#coefficients;
    if (coefficients === undefined) return undefined;
    return coefficients[0] + coefficients[1] * work.requests +
      coefficients[2] * work.tokens +
      coefficients[3] * work.prefillMilliseconds;
  }

  /** Mean error of the predictions, relative to them. */
  get relativeDeviation(): number {
    return this.#relativeDeviation;
  }

  /** Records a pause in milliseconds and the open work at the engine then. */
  record(milliseconds: number, work: OpenWork): void {
    const predicted = this.predict(work);
    const hasPrediction = predicted !== undefined && predicted > 0;
    const limited = hasPrediction
      ? Math.min(milliseconds, MAX_RATIO_TO_PREDICTION * predicted)
      : milliseconds;
    this.#samples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.#samples);
    if (hasPrediction) {
      const error = Math.abs(limited - predicted) / predicted;
      this.#relativeDeviation += weight * (error - this.#relativeDeviation);
    }
    this.#addSample(limited, { work, weight });
    const isDue = this.#samples >= MIN_SAMPLES &&
      this.#samples % SAMPLES_PER_FIT === 0;
    if (isDue) this.#coefficients = this.#fit();
  }

  #addSample(
    milliseconds: number,
    { weight, work }: { readonly weight: number; readonly work: OpenWork },
  ): void {
    const factors = this.#factors;
    factors[0] = 1;
    factors[1] = work.requests;
    factors[2] = work.tokens;
    factors[3] = work.prefillMilliseconds;
    for (let row = 0; row < FACTORS; row++) {
      this.#pauseProducts[row] += weight *
        (factors[row] * milliseconds - this.#pauseProducts[row]);
      for (let column = 0; column <= row; column++) {
        const index = row * FACTORS + column;
        this.#products[index] += weight *
          (factors[row] * factors[column] - this.#products[index]);
      }
    }
  }

  /** Least squares; factors whose slope would be negative are left out. */
  #fit(): readonly number[] {
    let included = [0, 1, 2, 3].filter((index) =>
      this.#products[index * FACTORS + index] > 0
    );
    for (;;) {
      const slopes = this.#solve(included);
      const rest = included.filter((index, position) =>
        index === 0 || slopes[position] >= 0
      );
      if (rest.length === included.length) {
        const coefficients = [0, 0, 0, 0];
        included.forEach((index, position) => {
          coefficients[index] = Math.max(0, slopes[position]);
        });
        return coefficients;
      }
      included = rest;
    }
  }

  /** Coefficients of the included factors. */
  #solve(included: readonly number[]): number[] {
    const matrix = included.map((row) =>
      included.map((column) => {
        const product = this.#products[
          Math.max(row, column) * FACTORS + Math.min(row, column)
        ];
        const isSlope = row === column && row > 0;
        return isSlope ? (1 + SLOPE_PENALTY) * product : product;
      })
    );
    return solveLinearSystem(
      matrix,
      included.map((index) => this.#pauseProducts[index]),
    );
  }
}
