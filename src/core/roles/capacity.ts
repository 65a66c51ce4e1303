import type { EngineCharacteristics } from "../../generated/inventory.ts";
import { maximise } from "./linear_program.ts";
import {
  type Role,
  type RoleProfiles,
  roleRates,
  ROLES,
} from "./role_profile.ts";

/** Demand of one class of work on one pool. */
export interface ClassDemand {
  readonly className: string;
  readonly arrivalsPerSecond: number;
  /** Mean tokens of a request. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Value of one answer on time; 1 by default. */
  readonly value: number;
}

/** Number of a pool's engines in each role. */
export type RoleCounts = Readonly<Record<Role, number>>;

export interface CapacityOptions {
  readonly engine: EngineCharacteristics;
  readonly profiles: RoleProfiles;
  /** Share of the rated rates that is used; the rest is headroom. */
  readonly usableShare: number;
}

/** Allocation of a pool's work to its roles with the greatest value. */
export interface WorkAllocation {
  /** Value of the answers per second that the pool can serve. */
  readonly value: number;
  /** Share of its rates that the busiest role needs, at most 1. */
  readonly utilisation: number;
  /**
   * Requests per second of each class (in order of demand) in each of `ROLES`.
   */
  readonly rates: readonly (readonly number[])[];
}

/** Weight of the utilisation against one unit of value; only breaks ties. */
const UTILISATION_WEIGHT = 1e-3;

/**
 * Allocates the work to the roles by a linear program over classes and roles,
 * with the prompt and the output rate of each role as limits. Prompts use part
 * of the output rate as well, since both share the engine's steps. Among
 * allocations of the same value it selects one whose busiest role is the least
 * busy, so that spare capacity is spread and waits stay short.
 */
export function allocateWork(
  demand: readonly ClassDemand[],
  counts: RoleCounts,
  options: CapacityOptions,
): WorkAllocation {
  const columns = demand.length * ROLES.length + 1;
  const total = demand.reduce((sum, one) => sum + one.arrivalsPerSecond, 0);
  const objective = demand.flatMap((one) => ROLES.map(() => one.value));
  objective.push(-UTILISATION_WEIGHT * Math.max(total, MIN_RATE));
  const rows: number[][] = [];
  const limits: number[] = [];
  for (const [roleIndex, role] of ROLES.entries()) {
    const rates = roleRates(options.engine, options.profiles[role]);
    const outputLossPerPromptToken = rates.promptDrag *
      rates.outputTokensPerSecond /
      rates.prefillTokensPerSecond;
    const engines = counts[role] * options.usableShare;
    rows.push(
      resourceRow(demand, roleIndex, {
        limit: engines * rates.prefillTokensPerSecond,
        need: (one) => one.promptTokens,
      }),
      resourceRow(demand, roleIndex, {
        limit: engines * rates.outputTokensPerSecond,
        need: (one) =>
          one.outputTokens + outputLossPerPromptToken * one.promptTokens,
      }),
    );
    limits.push(0, 0);
  }
  for (const [index, one] of demand.entries()) {
    const row = new Array<number>(columns).fill(0);
    row.fill(1, index * ROLES.length, (index + 1) * ROLES.length);
    rows.push(row);
    limits.push(one.arrivalsPerSecond);
  }
  rows.push([...new Array<number>(columns - 1).fill(0), 1]);
  limits.push(1);
  const { solution } = maximise({ objective, rows, limits });
  const rates = demand.map((_, index) =>
    solution.slice(index * ROLES.length, (index + 1) * ROLES.length)
  );
  let value = 0;
  for (const [index, one] of demand.entries()) {
    for (const rate of rates[index]) value += rate * one.value;
  }
  return { value, utilisation: solution[columns - 1], rates };
}

const MIN_RATE = 1e-6;

/** Row of one role's resource: use minus the utilised limit, <= 0. */
function resourceRow(
  demand: readonly ClassDemand[],
  roleIndex: number,
  resource: { limit: number; need: (one: ClassDemand) => number },
): number[] {
  const row = demand.flatMap((one) =>
    ROLES.map((_, other) => (other === roleIndex ? resource.need(one) : 0))
  );
  row.push(-resource.limit);
  return row;
}

/**
 * Value of the answers per second that a pool can serve; see `allocateWork`.
 */
export function servedValuePerSecond(
  demand: readonly ClassDemand[],
  counts: RoleCounts,
  options: CapacityOptions,
): number {
  return allocateWork(demand, counts, options).value;
}

/** Role counts after one engine has changed its role. */
export function countsAfterMove(
  counts: RoleCounts,
  move: { from: Role; to: Role },
): RoleCounts {
  return {
    ...counts,
    [move.from]: counts[move.from] - 1,
    [move.to]: counts[move.to] + 1,
  };
}
