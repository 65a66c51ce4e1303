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
  /** What one answer on time counts for; 1 where nothing else is said. */
  readonly value: number;
}

/** Engines of a pool in each role. */
export type RoleCounts = Readonly<Record<Role, number>>;

export interface CapacityOptions {
  readonly engine: EngineCharacteristics;
  readonly profiles: RoleProfiles;
  /** Share of the rated rates that is reckoned with; the rest is headroom. */
  readonly usableShare: number;
}

/**
 * Value of the answers per second that a pool can give, with the work divided
 * among the roles as well as it can be: a linear program over classes and
 * roles, with the prompt and the output rate of each role as limits.
 */
export function servedPerSecond(
  demand: readonly ClassDemand[],
  counts: RoleCounts,
  options: CapacityOptions,
): number {
  const objective: number[] = [];
  const prompts: number[][] = ROLES.map(() => []);
  const outputs: number[][] = ROLES.map(() => []);
  const arrivals: number[][] = demand.map(() => []);
  for (const [index, one] of demand.entries()) {
    for (const [place] of ROLES.entries()) {
      objective.push(one.value);
      prompts.forEach((row, other) =>
        row.push(other === place ? one.promptTokens : 0)
      );
      outputs.forEach((row, other) =>
        row.push(other === place ? one.outputTokens : 0)
      );
      arrivals.forEach((row, other) => row.push(other === index ? 1 : 0));
    }
  }
  const rates = ROLES.map((role) =>
    roleRates(options.engine, options.profiles[role])
  );
  const usable = (role: Role) => counts[role] * options.usableShare;
  return maximise({
    objective,
    rows: [...prompts, ...outputs, ...arrivals],
    limits: [
      ...ROLES.map((role, index) =>
        usable(role) * rates[index].prefillTokensPerSecond
      ),
      ...ROLES.map((role, index) =>
        usable(role) * rates[index].outputTokensPerSecond
      ),
      ...demand.map((one) => one.arrivalsPerSecond),
    ],
  });
}

/** The counts after one engine has gone from one role to another. */
export function moved(
  counts: RoleCounts,
  move: { from: Role; to: Role },
): RoleCounts {
  return {
    ...counts,
    [move.from]: counts[move.from] - 1,
    [move.to]: counts[move.to] + 1,
  };
}
