import { mayMove, plannedRoleCounts, selectEndpoint } from "./constraints.ts";
import type {
  PlannerPicture,
  PoolPicture,
  RoleChange,
} from "./planner_input.ts";
import { costBasedPolicy, type RoleMove, type RolePolicy } from "./policies.ts";

/**
 * Age at which demand is no longer planned with. Load: entries cut off from
 * the planner. Harm prevented: changes for a mix that is long gone. Limit:
 * one and a half demand windows.
 */
const MAX_DEMAND_AGE_MILLISECONDS = 15_000;

export interface RolePlannerOptions {
  /** Makes the policy of one pool; it may remember what it has seen. */
  readonly policy?: () => RolePolicy;
}

/**
 * Plans role changes for the pools of a region. It gives no orders itself: who
 * holds the planner's claim appends what it returns.
 */
export class RolePlanner {
  readonly #makePolicy: () => RolePolicy;
  readonly #policies = new Map<string, RolePolicy>();

  constructor(options: RolePlannerOptions = {}) {
    this.#makePolicy = options.policy ?? (() => costBasedPolicy());
  }

  /**
   * Changes to be ordered now. Empty while the log is out, the planner is
   * switched off, or what it knows of the demand is too old.
   */
  plan(input: PlannerPicture): readonly RoleChange[] {
    if (!input.logAvailable || input.rules.enabled === false) return [];
    return input.pools.flatMap((pool) => this.#planPool(pool, input));
  }

  #planPool(pool: PoolPicture, input: PlannerPicture): RoleChange[] {
    const existing = this.#policies.get(pool.pool);
    const policy = existing ?? this.#makePolicy();
    this.#policies.set(pool.pool, policy);
    if (pool.demandAgeMilliseconds > MAX_DEMAND_AGE_MILLISECONDS) return [];
    const move = policy({
      now: input.now,
      pool,
      counts: plannedRoleCounts(pool.endpoints),
      rules: input.rules,
      mayMove: (from, to) => mayMove(pool, input.rules, { from, to }),
    });
    return move === undefined ? [] : this.#toRoleChanges(pool, input, move);
  }

  #toRoleChanges(
    pool: PoolPicture,
    input: PlannerPicture,
    move: RoleMove,
  ): RoleChange[] {
    const endpoint = selectEndpoint(pool, input.rules, move);
    if (endpoint === undefined) return [];
    return [{
      pool: pool.pool,
      endpoint: endpoint.endpoint,
      from: move.from,
      to: move.to,
      netGain: move.netGain,
    }];
  }
}
