import { solveLinearSystem } from "./linear_system.ts";

/**
 * Prefill costs of an engine: per token, per pair of tokens that attend to each
 * other, and a fixed cost per call.
 */
export interface PrefillCosts {
  readonly callMilliseconds: number;
  readonly millisecondsPerToken: number;
  readonly millisecondsPerMillionAttentionPairs: number;
}

/** A prefill measured on an engine that had no other work. */
export interface PrefillSample {
  readonly promptTokens: number;
  /** Tokens at the prompt's start that the engine had cached. */
  readonly keptTokens: number;
  readonly milliseconds: number;
}

/**
 * Initial costs, the logarithmic middle of engines that prefill 20 to 1,000
 * tokens per millisecond. They matter only for the first prompts of a new
 * fleet.
 */
const PRIOR_COSTS: PrefillCosts = {
  callMilliseconds: 3,
  millisecondsPerToken: 1 / 140,
  millisecondsPerMillionAttentionPairs: 0.2,
};
/**
 * Number of newest samples that the costs are fitted to. An engine's speed does
 * not change from minute to minute, and single slow engines are detected
 * elsewhere; old samples are dropped as the mix of prompts changes.
 */
const MAX_SAMPLES = 96;
/** Samples between fits; during warm-up each sample triggers a fit. */
const SAMPLES_PER_FIT = 8;
const WARM_UP_SAMPLES = 24;
/** Rounds of reweighting; after six the fit changes by less than 0.01. */
const FIT_ROUNDS = 6;
/**
 * Lower bound of the relative error in a sample's weight. Some samples are
 * outliers because an engine evicted a part that was assumed to be cached, or
 * because a peer's prompt ran first. Weights fall with the error, so that the
 * majority of the samples decides rather than their mean.
 */
const MIN_RELATIVE_ERROR = 0.05;
/** Weight of the prior, in samples. */
const PRIOR_WEIGHT_SAMPLES = 0.1;
/**
 * Time after which costs from a peer expire. Peers repeat them several times in
 * it; wrong ones that nobody repeats must not keep prompts away for ever.
 */
const PEER_COSTS_VALIDITY_MILLISECONDS = 3_000;
const MILLION = 1e6;

/** Pairs of tokens that attend to each other during a prefill, in millions. */
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

/** Costs that a peer has reported, and when they expire. */
interface PeerCosts {
  readonly costs: PrefillCosts;
  readonly samples: number;
  readonly until: number;
}

/**
 * Learns how fast the engines of a pool prefill. Engines differ widely, and
 * their registrations don't state a speed.
 */
export class PrefillSpeed {
  readonly #samples: PrefillSample[] = [];
  #recordedSamples = 0;
  #costs = PRIOR_COSTS;
  /** Costs reported by peers, used while they rest on more samples. */
  #peer: PeerCosts | undefined;
  readonly #now: () => number;

  /** Without a clock, costs from peers are used for ever. */
  constructor(now: () => number = () => 0) {
    this.#now = now;
  }

  /** Predicted time of a prefill on an idle engine, in milliseconds. */
  predictMilliseconds(promptTokens: number, keptTokens: number): number {
    return this.costs.callMilliseconds +
      this.predictWorkMilliseconds(promptTokens, keptTokens);
  }

  /** The same without the fixed time of the call. */
  predictWorkMilliseconds(promptTokens: number, keptTokens: number): number {
    const { millisecondsPerMillionAttentionPairs, millisecondsPerToken } =
      this.costs;
    return millisecondsPerToken * uncachedTokens(promptTokens, keptTokens) +
      millisecondsPerMillionAttentionPairs *
        millionAttentionPairs(promptTokens, keptTokens);
  }

  /** Costs in use: own or reported, whichever rest on more samples. */
  get costs(): PrefillCosts {
    const peer = this.#peer;
    return peer !== undefined && peer.samples > this.#samples.length
      ? peer.costs
      : this.#costs;
  }

  /** Number of samples behind this entry's own costs. */
  get sampleCount(): number {
    return this.#samples.length;
  }

  /** This entry's own costs; undefined without samples. */
  get ownCosts(): PrefillCosts | undefined {
    return this.#samples.length > 0 ? this.#costs : undefined;
  }

  /** Records costs that a peer learned from this many samples. */
  recordPeerCosts(costs: PrefillCosts, samples: number): void {
    this.dropExpiredCosts();
    if (samples < (this.#peer?.samples ?? 0)) return;
    this.#peer = {
      costs,
      samples: Math.min(samples, MAX_SAMPLES),
      until: this.#now() + PEER_COSTS_VALIDITY_MILLISECONDS,
    };
  }

  /**
   * Drops costs from a peer that no peer has repeated in time. Predictions don't
   * read the clock, as each placement makes dozens of them.
   */
  dropExpiredCosts(): void {
    if (this.#peer !== undefined && this.#now() > this.#peer.until) {
      this.#peer = undefined;
    }
  }

  /** Records a prefill on an engine that had no other work. */
  record(sample: PrefillSample): void {
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

/** Row of the fit: the factor of each cost and the measured time. */
interface FitRow {
  readonly factors: readonly [number, number, number];
  readonly milliseconds: number;
}

/** Fits the costs by iteratively reweighted least squares. */
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
 * Least squares of the relative errors. The prior adds one row for each cost,
 * so that a cost without evidence in the samples stays at its prior.
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
      const weighted = weight * factors[row];
      const sums = matrix[row];
      right[row] += weighted * milliseconds;
      for (let column = 0; column < factors.length; column++) {
        sums[column] += weighted * factors[column];
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

/** Lower bound of a cost relative to its prior, which keeps costs positive. */
const MIN_SHARE_OF_PRIOR = 0.02;

function vectorToCosts(values: readonly number[], current: readonly number[]) {
  const [
    callMilliseconds,
    millisecondsPerToken,
    millisecondsPerMillionAttentionPairs,
  ] = values.map((value, index) =>
    Number.isFinite(value)
      ? Math.max(MIN_SHARE_OF_PRIOR * costsToVector(PRIOR_COSTS)[index], value)
      : current[index]
  );
  return {
    callMilliseconds,
    millisecondsPerToken,
    millisecondsPerMillionAttentionPairs,
  };
}

function dotProduct(one: readonly number[], other: readonly number[]): number {
  let sum = 0;
  for (let index = 0; index < one.length; index++) {
    sum += one[index] * other[index];
  }
  return sum;
}
