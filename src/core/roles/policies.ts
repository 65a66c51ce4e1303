import type { PlannerRules } from "../../generated/rules.ts";
import {
  type ClassDemand,
  countsAfterMove,
  type RoleCounts,
  servedPerSecond,
} from "./capacity.ts";
import type { PoolPicture } from "./planner_input.ts";
import { type Role, ROLE_PROFILES, roleRates, ROLES } from "./role_profile.ts";

/** What a policy decides from. */
export interface RolePolicyInput {
  readonly now: number;
  readonly pool: PoolPicture;
  /** Roles with changes under way counted as done. */
  readonly counts: RoleCounts;
  readonly rules: PlannerRules;
  readonly mayMove: (from: Role, to: Role) => boolean;
}

export interface RoleMove {
  readonly from: Role;
  readonly to: Role;
  readonly netGain: number;
}

/** Decides on one change at most; may remember earlier situations. */
export type RolePolicy = (situation: RolePolicyInput) => RoleMove | undefined;

/** Never changes a role. */
export function staticPolicy(): RolePolicy {
  return () => undefined;
}

/** Imbalance of prompts and outputs that makes the threshold policy act. */
const THRESHOLD_IMBALANCE = 1.3;

/**
 * The usual reactive rule: when the utilisation of one phase is well above
 * that of the other, an engine moves towards it. Kept for comparison.
 */
export function thresholdPolicy(imbalance = THRESHOLD_IMBALANCE): RolePolicy {
  return ({ pool, counts, mayMove }) => {
    const { prompts, outputs } = utilisation(pool, counts);
    const moveTowards = (
      rolesByPreference: readonly Role[],
    ): RoleMove | undefined => {
      for (let index = rolesByPreference.length - 1; index > 0; index--) {
        const move = {
          from: rolesByPreference[index],
          to: rolesByPreference[index - 1],
          netGain: 0,
        };
        if (counts[move.from] > 0 && mayMove(move.from, move.to)) return move;
      }
      return undefined;
    };
    if (prompts > outputs * imbalance) {
      return moveTowards(["prefill", "mixed", "decode"]);
    }
    if (outputs > prompts * imbalance) {
      return moveTowards(["decode", "mixed", "prefill"]);
    }
    return undefined;
  };
}

function utilisation(
  pool: PoolPicture,
  counts: RoleCounts,
): { prompts: number; outputs: number } {
  let promptRate = 0;
  let outputRate = 0;
  for (const role of ROLES) {
    const rates = roleRates(pool.engine, ROLE_PROFILES[role]);
    promptRate += counts[role] * rates.prefillTokensPerSecond;
    outputRate += counts[role] * rates.outputTokensPerSecond;
  }
  let prompts = 0;
  let outputs = 0;
  for (const one of pool.demand) {
    prompts += one.arrivalsPerSecond * one.promptTokens;
    outputs += one.arrivalsPerSecond * one.outputTokens;
  }
  return { prompts: prompts / promptRate, outputs: outputs / outputRate };
}

/**
 * Constants of the cost-based policy. The noise was swept by hand and the pace
 * of the swing in bench/load_sweeps.ts; the others are set by reasoning.
 */
export interface CostBasedOptions {
  /** Share of the rated rates reckoned with: above it, waits grow steeply. */
  readonly usableShare: number;
  /** Weight of a new observation of the demand. */
  readonly smoothing: number;
  /** Deviations of the noise that a gain has to exceed. */
  readonly noiseDeviations: number;
  /** A shift is expected to last at least and at most this long. */
  readonly minShiftMilliseconds: number;
  readonly maxShiftMilliseconds: number;
  /** Drain before a change, added to the engine's own seconds out. */
  readonly drainMilliseconds: number;
  /** Weight where the rules name none. */
  readonly defaultWeight: number;
  /** How far ahead the trend of the demand is followed; 0: not at all. */
  readonly forecastMilliseconds: number;
}

export const DEFAULT_COST_BASED_OPTIONS: CostBasedOptions = {
  usableShare: 0.8,
  smoothing: 0.3,
  noiseDeviations: 0.3,
  minShiftMilliseconds: 20_000,
  maxShiftMilliseconds: 300_000,
  drainMilliseconds: 4_000,
  defaultWeight: 1,
  forecastMilliseconds: 0,
};

/** Plans seen before a new planner acts: it has to know the noise first. */
const MIN_PLANS = 5;

/**
 * A change is made when what it gains over the expected rest of the shift
 * exceeds its price: the work of the engine while it drains and is out, times
 * one plus the rules' weight. Load: a mix that swings by half within minutes.
 * Harm prevented: engines that are out of service for swings that are over
 * when they are back. A shift that has lasted for some time is expected to
 * last as long again, within limits.
 */
export function costBasedPolicy(
  overrides: Partial<CostBasedOptions> = {},
): RolePolicy {
  const options = { ...DEFAULT_COST_BASED_OPTIONS, ...overrides };
  const estimate = new DemandEstimate(options);
  let favourableSince: number | undefined;
  let planCount = 0;
  return (situation) => {
    estimate.observe(situation.pool.demand, situation.now);
    planCount += 1;
    const best = bestMove(situation, estimate.demand(), options);
    if (best === undefined) {
      favourableSince = undefined;
      return undefined;
    }
    favourableSince ??= situation.now;
    if (planCount < MIN_PLANS) return undefined;
    const shift = Math.min(
      options.maxShiftMilliseconds,
      Math.max(
        options.minShiftMilliseconds,
        situation.now - favourableSince,
      ),
    );
    const noise = estimate.noise() * options.noiseDeviations * best.served;
    const gain = (best.gain - noise) * shift / 1_000;
    const netGain = gain - changeCost(situation, best.served, options);
    if (netGain <= 0) return undefined;
    return { from: best.from, to: best.to, netGain };
  };
}

/** The cost-based rule applied to the demand expected a little later. */
export function forecastPolicy(
  overrides: Partial<CostBasedOptions> = {},
): RolePolicy {
  return costBasedPolicy({ forecastMilliseconds: 30_000, ...overrides });
}

function changeCost(
  { pool, counts, rules }: RolePolicyInput,
  served: number,
  options: CostBasedOptions,
): number {
  const engines = ROLES.reduce((sum, role) => sum + counts[role], 0);
  const seconds = pool.engine.roleChangeSeconds +
    options.drainMilliseconds / 1_000;
  const weight = rules.roleChangeWeight ?? options.defaultWeight;
  return served / Math.max(1, engines) * seconds * (1 + weight);
}

interface BestMove {
  readonly from: Role;
  readonly to: Role;
  /** Answers per second now, and what the move adds to them. */
  readonly served: number;
  readonly gain: number;
}

function bestMove(
  { pool, counts, mayMove }: RolePolicyInput,
  demand: readonly ClassDemand[],
  options: CostBasedOptions,
): BestMove | undefined {
  const capacity = {
    engine: pool.engine,
    profiles: ROLE_PROFILES,
    usableShare: options.usableShare,
  };
  const served = servedPerSecond(demand, counts, capacity);
  let best: BestMove | undefined;
  for (const from of ROLES) {
    for (const to of ROLES) {
      if (from === to || counts[from] === 0 || !mayMove(from, to)) continue;
      const after = countsAfterMove(counts, { from, to });
      const gain = servedPerSecond(demand, after, capacity) - served;
      if (gain <= 1e-6 || gain <= (best?.gain ?? 0)) continue;
      best = { from, to, served, gain };
    }
  }
  return best;
}

interface ClassEstimate {
  mean: ClassDemand;
  /** Change of the arrivals per millisecond. */
  trend: number;
}

/** Smoothed demand per class, its noise and its trend. */
class DemandEstimate {
  readonly #options: CostBasedOptions;
  readonly #estimates = new Map<string, ClassEstimate>();
  #noise = 0;
  #observedAt: number | undefined;

  constructor(options: CostBasedOptions) {
    this.#options = options;
  }

  observe(demand: readonly ClassDemand[], now: number): void {
    const elapsed = now - (this.#observedAt ?? now);
    this.#observedAt = now;
    let difference = 0;
    let total = 0;
    for (const one of demand) {
      const track = this.#estimates.get(one.className) ??
        { mean: one, trend: 0 };
      const before = track.mean.arrivalsPerSecond;
      difference += Math.abs(one.arrivalsPerSecond - before);
      total += before;
      track.mean = this.#blend(track.mean, one);
      if (elapsed > 0) {
        const step = (track.mean.arrivalsPerSecond - before) / elapsed;
        track.trend += 0.2 * (step - track.trend);
      }
      this.#estimates.set(one.className, track);
    }
    this.#decayAbsentClasses(demand);
    const noise = difference / Math.max(1e-9, total);
    this.#noise += 0.1 * (noise - this.#noise);
  }

  /**
   * A class that is no longer reported has no arrivals. Kept at its last rate
   * it would go on drawing engines after its work has ended.
   */
  #decayAbsentClasses(demand: readonly ClassDemand[]): void {
    const present = new Set(demand.map((one) => one.className));
    for (const [className, estimate] of this.#estimates) {
      if (present.has(className)) continue;
      estimate.trend = 0;
      estimate.mean = this.#blend(estimate.mean, {
        ...estimate.mean,
        arrivalsPerSecond: 0,
      });
    }
  }

  /** Mean deviation of one observation, as a share of the demand. */
  noise(): number {
    return this.#noise * Math.sqrt(this.#options.smoothing);
  }

  demand(): ClassDemand[] {
    return [...this.#estimates.values()].map(({ mean, trend }) => ({
      ...mean,
      arrivalsPerSecond: Math.max(
        0,
        mean.arrivalsPerSecond + trend * this.#options.forecastMilliseconds,
      ),
    }));
  }

  #blend(mean: ClassDemand, seen: ClassDemand): ClassDemand {
    const mix = (one: number, other: number) =>
      one + this.#options.smoothing * (other - one);
    return {
      ...seen,
      arrivalsPerSecond: mix(mean.arrivalsPerSecond, seen.arrivalsPerSecond),
      promptTokens: mix(mean.promptTokens, seen.promptTokens),
      outputTokens: mix(mean.outputTokens, seen.outputTokens),
    };
  }
}
