/**
 * What an engine needs to read a prompt: a time for each token, one for each
 * pair of tokens that attend to each other, and a fixed one for the call.
 */
export interface PrefillCosts {
  readonly callMilliseconds: number;
  readonly millisecondsPerToken: number;
  readonly millisecondsPerMillionAttentionPairs: number;
}

/** A prompt that an engine read with nothing else before it. */
export interface PrefillSample {
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
const PRIOR_COSTS: PrefillCosts = {
  callMilliseconds: 3,
  millisecondsPerToken: 1 / 140,
  millisecondsPerMillionAttentionPairs: 0.2,
};
/**
 * Samples that the costs are fitted to, the newest. An engine's speed does not
 * change from minute to minute, and a single slow engine is told apart
 * elsewhere; what is old leaves as the mix of prompts changes.
 */
const MAX_SAMPLES = 96;
/** The costs are fitted anew after so many samples, and with each at first. */
const SAMPLES_PER_FIT = 8;
const WARM_UP_SAMPLES = 24;
/** Rounds of reweighting; the fit moves by less than 0.01 after six. */
const FIT_ROUNDS = 6;
/**
 * Smallest relative error that a sample's weight is taken from. A share of the
 * samples is far out, since an engine had lost a part that was taken for kept
 * or a peer's prompt came first: weights fall with the error, so that the
 * majority decides and not the mean.
 */
const MIN_RELATIVE_ERROR = 0.05;
/** How much the prior weighs, in samples. */
const PRIOR_WEIGHT_SAMPLES = 0.1;
const MILLION = 1e6;

/** Pairs of tokens that attend to each other while a prompt is read, millions. */
function millionAttentionPairs(
  promptTokens: number,
  keptTokens: number,
): number {
  const uncached = uncachedTokens(promptTokens, keptTokens);
  return uncached * (promptTokens - uncached / 2) / MILLION;
}

function uncachedTokens(promptTokens: number, keptTokens: number): number {
  return Math.max(0, promptTokens - keptTokens);
}

/**
 * How fast the engines of a pool read prompts, learned from their answers: engines
 * differ widely, and no registration states their speed.
 */
export class PrefillSpeed {
  readonly #samples: PrefillSample[] = [];
  #recordedSamples = 0;
  #costs = PRIOR_COSTS;
  /** What peers have learned; used until enough was seen here. */
  #peerEstimate:
    | { readonly costs: PrefillCosts; readonly samples: number }
    | undefined;

  /** Time in which an idle engine reads a prompt, milliseconds. */
  predictMilliseconds(promptTokens: number, keptTokens: number): number {
    return this.costs.callMilliseconds +
      this.predictWorkMilliseconds(promptTokens, keptTokens);
  }

  /** The same without what the call itself takes. */
  predictWorkMilliseconds(promptTokens: number, keptTokens: number): number {
    const {
      millisecondsPerMillionAttentionPairs: millisecondsPerMillionPairs,
      millisecondsPerToken,
    } = this.costs;
    return millisecondsPerToken * uncachedTokens(promptTokens, keptTokens) +
      millisecondsPerMillionPairs *
        millionAttentionPairs(promptTokens, keptTokens);
  }

  /** The costs in use: those of whoever has seen more, up to a full window. */
  get costs(): PrefillCosts {
    const peerEstimate = this.#peerEstimate;
    return peerEstimate !== undefined &&
        peerEstimate.samples > this.#samples.length
      ? peerEstimate.costs
      : this.#costs;
  }

  /** Samples behind this entry's own costs. */
  get sampleCount(): number {
    return this.#samples.length;
  }

  /** Own costs, for peers; undefined while nothing has been seen. */
  get ownCosts(): PrefillCosts | undefined {
    return this.#samples.length > 0 ? this.#costs : undefined;
  }

  /** A peer has learned these costs from so many samples. */
  recordPeerCosts(costs: PrefillCosts, samples: number): void {
    if (samples < (this.#peerEstimate?.samples ?? 0)) return;
    this.#peerEstimate = { costs, samples: Math.min(samples, MAX_SAMPLES) };
  }

  /** An engine has read a prompt, with nothing else before it. */
  took(sample: PrefillSample): void {
    const isUsable = sample.milliseconds > 0 &&
      uncachedTokens(sample.promptTokens, sample.keptTokens) > 0;
    if (!isUsable) return;
    this.#samples.push(sample);
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
    this.#recordedSamples += 1;
    const isDue = this.#samples.length <= WARM_UP_SAMPLES ||
      this.#recordedSamples % SAMPLES_PER_FIT === 0;
    if (isDue) this.#costs = fit(this.#samples, this.#costs);
  }
}

/** A row of the fit: what each cost is multiplied with, and what came out. */
interface FitRow {
  readonly factors: readonly [number, number, number];
  readonly milliseconds: number;
}

function fit(
  samples: readonly PrefillSample[],
  start: PrefillCosts,
): PrefillCosts {
  const rows = samples.map(({ promptTokens, keptTokens, milliseconds }) => ({
    factors: [
      1,
      uncachedTokens(promptTokens, keptTokens),
      millionAttentionPairs(promptTokens, keptTokens),
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
function weightedFit(
  rows: readonly FitRow[],
  costs: PrefillCosts,
): PrefillCosts {
  const current = costsToVector(costs);
  const prior = costsToVector(PRIOR_COSTS);
  const matrix = prior.map((value, index) =>
    prior.map((_, column) =>
      column === index ? PRIOR_WEIGHT_SAMPLES / value ** 2 : 0
    )
  );
  const right = prior.map((value) => PRIOR_WEIGHT_SAMPLES / value);
  for (const { factors, milliseconds } of rows) {
    const error = Math.abs(dotProduct(current, factors) / milliseconds - 1);
    const weight = 1 /
      (milliseconds ** 2 * Math.max(MIN_RELATIVE_ERROR, error));
    for (let row = 0; row < factors.length; row++) {
      right[row] += weight * factors[row] * milliseconds;
      for (let column = 0; column < factors.length; column++) {
        matrix[row][column] += weight * factors[row] * factors[column];
      }
    }
  }
  return vectorToCosts(solveLinearSystem(matrix, right), current);
}

function costsToVector(costs: PrefillCosts): number[] {
  return [
    costs.callMilliseconds,
    costs.millisecondsPerToken,
    costs.millisecondsPerMillionAttentionPairs,
  ];
}

/** Smallest share of its prior that a cost may fall to; none is negative. */
const MIN_SHARE_OF_PRIOR = 0.02;

function vectorToCosts(values: readonly number[], current: readonly number[]) {
  const [call, token, pairs] = values.map((value, index) =>
    Number.isFinite(value)
      ? Math.max(MIN_SHARE_OF_PRIOR * costsToVector(PRIOR_COSTS)[index], value)
      : current[index]
  );
  return {
    callMilliseconds: call,
    millisecondsPerToken: token,
    millisecondsPerMillionAttentionPairs: pairs,
  };
}

function dotProduct(one: readonly number[], other: readonly number[]): number {
  return one.reduce((sum, value, index) => sum + value * other[index], 0);
}

/** Solves a small system of linear equations by elimination. */
function solveLinearSystem(
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
