import { solveLinearSystem } from "../estimates/linear_system.ts";

/** What one decode step of an engine takes, in milliseconds. */
export interface StepCosts {
  /** An empty step. */
  readonly stepMilliseconds: number;
  /** Each open response, in addition. */
  readonly millisecondsPerResponse: number;
  /** Each thousand tokens of the open responses' context, in addition. */
  readonly millisecondsPerThousandTokens: number;
}

/** Consecutive steps of one response at an engine. */
export interface StepSample {
  /** Number of events of the response. */
  readonly steps: number;
  /** Their duration, adjusted for the machine's work factor. */
  readonly milliseconds: number;
  /** Mean open responses of all entries at the engine. */
  readonly responses: number;
  /** Mean context tokens of the open responses. */
  readonly tokens: number;
  /** Mean inline prefill work that was open, milliseconds. */
  readonly prefillMilliseconds: number;
}

/**
 * Costs towards which a fit without evidence tends: empty step, response,
 * thousand tokens, and millisecond of open inline prefill. They are the
 * logarithmic middle of engines whose empty steps take 3 to 50 ms, and matter
 * only where the load of the engines never varies.
 */
const PRIOR_COSTS = [12, 1, 0.2, 0.2] as const;
/**
 * Weight of the prior, in steps. The cost of a response is a small part of a
 * step, so that a weight of 1 outweighed some thousand observed steps.
 */
const PRIOR_WEIGHT_STEPS = 0.005;
/** Steps below which the costs are unknown. */
const MIN_STEPS = 20;
/**
 * Steps that the costs are based on. Older ones fade, as the mix of the
 * responses changes; the engines' speed does not change from minute to minute.
 */
const MAX_STEPS = 20_000;
/** Lower bound of an empty step, relative to the mean step. */
const MIN_EMPTY_STEP_SHARE = 0.02;
const THOUSAND = 1_000;
const FEATURES = PRIOR_COSTS.length;

/** Learns what a decode step takes at the engines of a pool, which are alike. */
export class DecodeStepCosts {
  /** Sums of the weighted products of the features, and with the step times. */
  readonly #products = PRIOR_COSTS.map(() => PRIOR_COSTS.map(() => 0));
  readonly #results = PRIOR_COSTS.map(() => 0);
  #steps = 0;
  #milliseconds = 0;

  /** Records consecutive steps; without a duration they are ignored. */
  record(sample: StepSample): void {
    const { milliseconds, steps } = sample;
    if (!(steps > 0 && milliseconds > 0)) return;
    const stepMilliseconds = milliseconds / steps;
    const features = [
      1,
      sample.responses,
      sample.tokens / THOUSAND,
      sample.prefillMilliseconds,
    ];
    // Relative errors count: a stall of a loaded engine is not worth more than
    // ten steps of an idle one.
    const weight = steps / stepMilliseconds ** 2;
    const retained = Math.max(0, 1 - steps / MAX_STEPS);
    for (let row = 0; row < FEATURES; row++) {
      this.#results[row] = retained * this.#results[row] +
        weight * features[row] * stepMilliseconds;
      for (let column = 0; column < FEATURES; column++) {
        this.#products[row][column] = retained * this.#products[row][column] +
          weight * features[row] * features[column];
      }
    }
    this.#steps = retained * this.#steps + steps;
    this.#milliseconds = retained * this.#milliseconds + milliseconds;
  }

  /** The costs; undefined until enough steps have been observed. */
  get costs(): StepCosts | undefined {
    if (this.#steps < MIN_STEPS) return undefined;
    const [step, perResponse, perThousandTokens] = this.#fit();
    const meanMilliseconds = this.#milliseconds / this.#steps;
    return {
      stepMilliseconds: Math.max(step, MIN_EMPTY_STEP_SHARE * meanMilliseconds),
      millisecondsPerResponse: perResponse,
      millisecondsPerThousandTokens: perThousandTokens,
    };
  }

  /**
   * Least squares without negative costs: a feature whose cost would be
   * negative is left out, which leaves its effect to the others.
   */
  #fit(): number[] {
    const used = new Set(PRIOR_COSTS.keys());
    for (;;) {
      const solved = this.#solve([...used]);
      const negative = [...used].filter((feature) => solved[feature] < 0);
      if (negative.length === 0) return solved;
      for (const feature of negative) used.delete(feature);
    }
  }

  #solve(used: readonly number[]): number[] {
    const matrix = used.map((row) =>
      used.map((column) =>
        this.#products[row][column] +
        (row === column ? PRIOR_WEIGHT_STEPS / PRIOR_COSTS[row] ** 2 : 0)
      )
    );
    const results = used.map((row) =>
      this.#results[row] + PRIOR_WEIGHT_STEPS / PRIOR_COSTS[row]
    );
    const costs = new Array<number>(FEATURES).fill(0);
    solveLinearSystem(matrix, results).forEach((cost, index) => {
      costs[used[index]] = cost;
    });
    return costs;
  }
}
