/**
 * What an engine needs to read a prompt: a time for each token, one for each
 * pair of tokens that attend to each other, and a fixed one for the call.
 */
export interface ReadingCosts {
  readonly callMilliseconds: number;
  readonly millisecondsPerToken: number;
  readonly millisecondsPerMillionPairs: number;
}

/** A prompt that an engine read with nothing else before it. */
export interface ReadingSample {
  readonly promptTokens: number;
  /** Tokens at its start that the engine kept already. */
  readonly keptTokens: number;
  readonly milliseconds: number;
}

/**
 * Costs before anything was seen: the middle, on a logarithmic scale, of
 * engines that read 20 to 1,000 tokens a millisecond. They decide for the
 * first few prompts of a fleet that has just been started, and no longer.
 */
const PRIOR: ReadingCosts = {
  callMilliseconds: 3,
  millisecondsPerToken: 1 / 140,
  millisecondsPerMillionPairs: 0.2,
};
/**
 * Samples that the costs are fitted to, the newest. An engine's speed does not
 * change from minute to minute, and a single slow engine is told apart
 * elsewhere; what is old leaves as the mix of prompts changes.
 */
const MOST_SAMPLES = 96;
/** The costs are fitted anew after so many samples, and with each at first. */
const FIT_EACH = 8;
const FIRST_SAMPLES = 24;
/** Rounds of reweighting; the fit moves by less than 0.01 after six. */
const FIT_ROUNDS = 6;
/**
 * Smallest relative error that a sample's weight is taken from. A share of the
 * samples is far out, since an engine had lost a part that was taken for kept
 * or a peer's prompt came first: weights fall with the error, so that the
 * majority decides and not the mean.
 */
const LEAST_ERROR = 0.05;
/** How much the prior weighs, in samples. */
const PRIOR_WEIGHT = 0.1;
const MILLION = 1e6;

/** Pairs of tokens that attend to each other while a prompt is read, millions. */
function millionPairs(promptTokens: number, keptTokens: number): number {
  const fresh = freshTokens(promptTokens, keptTokens);
  return fresh * (promptTokens - fresh / 2) / MILLION;
}

function freshTokens(promptTokens: number, keptTokens: number): number {
  return Math.max(0, promptTokens - keptTokens);
}

/**
 * How fast the engines of a pool read prompts, learned from their answers: engines
 * differ widely, and no registration states their speed.
 */
export class ReadingSpeed {
  readonly #samples: ReadingSample[] = [];
  #taken = 0;
  #costs = PRIOR;
  /** What peers have learned; used until enough was seen here. */
  #told: { readonly costs: ReadingCosts; readonly samples: number } | undefined;

  /** Time in which an idle engine reads a prompt, milliseconds. */
  readMilliseconds(promptTokens: number, keptTokens: number): number {
    return this.costs.callMilliseconds +
      this.freshMilliseconds(promptTokens, keptTokens);
  }

  /** The same without what the call itself takes. */
  freshMilliseconds(promptTokens: number, keptTokens: number): number {
    const { millisecondsPerMillionPairs, millisecondsPerToken } = this.costs;
    return millisecondsPerToken * freshTokens(promptTokens, keptTokens) +
      millisecondsPerMillionPairs * millionPairs(promptTokens, keptTokens);
  }

  /** The costs in use: those of whoever has seen more, up to a full window. */
  get costs(): ReadingCosts {
    const told = this.#told;
    return told !== undefined && told.samples > this.#samples.length
      ? told.costs
      : this.#costs;
  }

  /** Samples behind this entry's own costs. */
  get sampleCount(): number {
    return this.#samples.length;
  }

  /** Own costs, for peers; undefined while nothing has been seen. */
  get learned(): ReadingCosts | undefined {
    return this.#samples.length > 0 ? this.#costs : undefined;
  }

  /** A peer has learned these costs from so many samples. */
  peerLearned(costs: ReadingCosts, samples: number): void {
    if (samples < (this.#told?.samples ?? 0)) return;
    this.#told = { costs, samples: Math.min(samples, MOST_SAMPLES) };
  }

  /** An engine has read a prompt, with nothing else before it. */
  took(sample: ReadingSample): void {
    const isUsable = sample.milliseconds > 0 &&
      freshTokens(sample.promptTokens, sample.keptTokens) > 0;
    if (!isUsable) return;
    this.#samples.push(sample);
    if (this.#samples.length > MOST_SAMPLES) this.#samples.shift();
    this.#taken += 1;
    const isDue = this.#samples.length <= FIRST_SAMPLES ||
      this.#taken % FIT_EACH === 0;
    if (isDue) this.#costs = fit(this.#samples, this.#costs);
  }
}

/** A row of the fit: what each cost is multiplied with, and what came out. */
interface Row {
  readonly factors: readonly [number, number, number];
  readonly milliseconds: number;
}

function fit(
  samples: readonly ReadingSample[],
  start: ReadingCosts,
): ReadingCosts {
  const rows = samples.map(({ promptTokens, keptTokens, milliseconds }) => ({
    factors: [
      1,
      freshTokens(promptTokens, keptTokens),
      millionPairs(promptTokens, keptTokens),
    ] as const,
    milliseconds,
  }));
  let costs = start;
  for (let round = 0; round < FIT_ROUNDS; round++) {
    costs = weightedFit(rows, costs);
  }
  return costs;
}

/**
 * Least squares of the relative errors, with the prior as further rows: one
 * for each cost, so that a cost that the samples say nothing of stays there.
 */
function weightedFit(rows: readonly Row[], costs: ReadingCosts): ReadingCosts {
  const known = vectorOf(costs);
  const prior = vectorOf(PRIOR);
  const matrix = prior.map((value, index) =>
    prior.map((_, column) => column === index ? PRIOR_WEIGHT / value ** 2 : 0)
  );
  const right = prior.map((value) => PRIOR_WEIGHT / value);
  for (const { factors, milliseconds } of rows) {
    const error = Math.abs(dot(known, factors) / milliseconds - 1);
    const weight = 1 / (milliseconds ** 2 * Math.max(LEAST_ERROR, error));
    for (let row = 0; row < factors.length; row++) {
      right[row] += weight * factors[row] * milliseconds;
      for (let column = 0; column < factors.length; column++) {
        matrix[row][column] += weight * factors[row] * factors[column];
      }
    }
  }
  return costsOf(solve(matrix, right), known);
}

function vectorOf(costs: ReadingCosts): number[] {
  return [
    costs.callMilliseconds,
    costs.millisecondsPerToken,
    costs.millisecondsPerMillionPairs,
  ];
}

/** Smallest share of its prior that a cost may fall to; none is negative. */
const LEAST_PRIOR_SHARE = 0.02;

function costsOf(values: readonly number[], known: readonly number[]) {
  const [call, token, pairs] = values.map((value, index) =>
    Number.isFinite(value)
      ? Math.max(LEAST_PRIOR_SHARE * vectorOf(PRIOR)[index], value)
      : known[index]
  );
  return {
    callMilliseconds: call,
    millisecondsPerToken: token,
    millisecondsPerMillionPairs: pairs,
  };
}

function dot(one: readonly number[], other: readonly number[]): number {
  return one.reduce((sum, value, index) => sum + value * other[index], 0);
}

/** Solves a small system of linear equations by elimination. */
function solve(
  matrix: readonly (readonly number[])[],
  right: readonly number[],
): number[] {
  const rows = matrix.map((row, index) => [...row, right[index]]);
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot++) {
    for (let row = 0; row < size; row++) {
      if (row === pivot) continue;
      const factor = rows[row][pivot] / rows[pivot][pivot];
      for (let column = pivot; column <= size; column++) {
        rows[row][column] -= factor * rows[pivot][column];
      }
    }
  }
  return rows.map((row, index) => row[size] / row[index]);
}
