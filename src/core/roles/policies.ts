import type { PlannerRules } from "../../generated/rules.ts";
import {
  type ClassDemand,
  countsAfterMove,
  type RoleCounts,
  servedValuePerSecond,
} from "./capacity.ts";
import type { PoolState } from "./planner_input.ts";
import { type Role, ROLE_PROFILES, roleRates, ROLES } from "./role_profile.ts";

/** Input of a policy decision. */
export interface RolePolicyInput {
  readonly now: number;
  readonly pool: PoolState;
  /** Role counts, with changes in progress counted as complete. */
  readonly counts: RoleCounts;
  readonly rules: PlannerRules;
  readonly mayMove: (from: Role, to: Role) => boolean;
}

export interface RoleMove {
  readonly from: Role;
  readonly to: Role;
  readonly netGain: number;
}

/** Decides on one change at most; may keep state between calls. */
export type RolePolicy = (input: RolePolicyInput) => RoleMove | undefined;

/** Never changes a role. */
export function staticPolicy(): RolePolicy {
  return () => undefined;
}

/**
 * Ratio of prompt to output utilisation, or the reverse, above which the
 * threshold policy acts.
 */
const THRESHOLD_IMBALANCE = 1.3;

/**
 * Common reactive rule: when the utilisation of one phase is well above that of
 * the other, an engine moves towards it. Used for comparison.
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
  pool: PoolState,
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
 * Constants of the cost-based policy. bench/load_sweeps.ts varies
 * `noiseDeviations` and how fast the demand swings.
 */
export interface CostBasedOptions {
  /** Share of the rated rates that is used: above it, waits grow steeply. */
  readonly usableShare: number;
  /** Weight of a new observation of the demand. */
  readonly smoothing: number;
  /** Deviations of the noise that a gain has to exceed. */
  readonly noiseDeviations: number;
  /** Minimum and maximum expected duration of a shift in the mix. */
  readonly minShiftMilliseconds: number;
  readonly maxShiftMilliseconds: number;
  /** Drain time before a change, added to the engine's own downtime. */
  readonly drainMilliseconds: number;
  /** Weight of a role change if the rules set none. */
  readonly defaultWeight: number;
  /** How far ahead the trend of the demand is extrapolated; 0 disables it. */
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

/** Plans that a new planner observes before it acts, to learn the noise. */
const MIN_PLANS = 5;

/**
 * Makes a change if its gain over the expected rest of the shift exceeds its
 * cost: the work that the engine loses while it drains and is out of service,
 * times one plus the weight in the rules. When the mix swings by half within
 * minutes, this keeps engines from going out of service for swings that are
 * over when they return. A shift that has lasted for some time is expected to
 * last as long again, within limits.
 */
export function costBasedPolicy(
  overrides: Partial<CostBasedOptions> = {},
): RolePolicy {
  const options = { ...DEFAULT_COST_BASED_OPTIONS, ...overrides };
  const estimate = new DemandEstimate(options);
  let favourableSince: number | undefined;
  let planCount = 0;
  return (input) => {
    estimate.observe(input.pool.demand, input.now);
    planCount += 1;
    const best = bestMove(input, estimate.demand(), options);
    if (best === undefined) {
      favourableSince = undefined;
      return undefined;
    }
    favourableSince ??= input.now;
    if (planCount < MIN_PLANS) return undefined;
    const shift = Math.min(
      options.maxShiftMilliseconds,
      Math.max(
        options.minShiftMilliseconds,
        input.now - favourableSince,
      ),
    );
    const noise = estimate.noise() * options.noiseDeviations * best.served;
    const gain = (best.gain - noise) * shift / 1_000;
    const netGain = gain - changeCost(input, best.served, options);
    if (netGain <= 0) return undefined;
    return { from: best.from, to: best.to, netGain };
  };
}

/** The cost-based policy, applied to the demand expected a little later. */
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
  /** Value of the answers per second now, and what the move adds to it. */
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
  const served = servedValuePerSecond(demand, counts, capacity);
  let best: BestMove | undefined;
  for (const from of ROLES) {
    for (const to of ROLES) {
      if (from === to || counts[from] === 0 || !mayMove(from, to)) continue;
      const after = countsAfterMove(counts, { from, to });
      const gain = servedValuePerSecond(demand, after, capacity) - served;
      if (gain <= 1e-6 || gain <= (best?.gain ?? 0)) continue;
      best = { from, to, served, gain };
    }
  }
  return best;
}

interface ClassEstimate {
  mean: ClassDemand;
  /** Change of the arrival rate per millisecond. */
  trend: number;
}

/** Smoothed demand per class, with its noise and trend. */
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
      const estimate = this.#estimates.get(one.className) ??
        { mean: one, trend: 0 };
      const before = estimate.mean.arrivalsPerSecond;
      difference += Math.abs(one.arrivalsPerSecond - before);
      total += before;
      estimate.mean = this.#blend(estimate.mean, one);
      if (elapsed > 0) {
        const step = (estimate.mean.arrivalsPerSecond - before) / elapsed;
        estimate.trend += 0.2 * (step - estimate.trend);
      }
      this.#estimates.set(one.className, estimate);
    }
    this.#decayAbsentClasses(demand);
    const noise = difference / Math.max(1e-9, total);
    this.#noise += 0.1 * (noise - this.#noise);
  }

  /**
   * A class that is no longer reported has no arrivals. Kept at its last rate,
   * it would continue to attract engines after its work has ended.
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

  #blend(mean: ClassDemand, observed: ClassDemand): ClassDemand {
    const mix = (one: number, other: number) =>
      one + this.#options.smoothing * (other - one);
    return {
      ...observed,
      arrivalsPerSecond: mix(
        mean.arrivalsPerSecond,
        observed.arrivalsPerSecond,
      ),
      promptTokens: mix(mean.promptTokens, observed.promptTokens),
      outputTokens: mix(mean.outputTokens, observed.outputTokens),
    };
  }
}
