import { mayMove, plannedRoleCounts, selectEndpoint } from "./constraints.ts";
import type { PlannerInput, PoolState, RoleChange } from "./planner_input.ts";
import { costBasedPolicy, type RoleMove, type RolePolicy } from "./policies.ts";

/**
 * Maximum age of the demand used for planning: one and a half demand windows.
 * When entries are cut off from the planner, it prevents changes for a mix that
 * no longer exists.
 */
const MAX_DEMAND_AGE_MILLISECONDS = 15_000;

export interface RolePlannerOptions {
  /** Creates the policy of one pool; it may keep state between plans. */
  readonly policy?: () => RolePolicy;
}

/**
 * Plans role changes for the pools of a region. It issues no orders itself: the
 * holder of the planner's claim appends them.
 */
export class RolePlanner {
  readonly #makePolicy: () => RolePolicy;
  readonly #policies = new Map<string, RolePolicy>();

  constructor(options: RolePlannerOptions = {}) {
    this.#makePolicy = options.policy ?? (() => costBasedPolicy());
  }

  /**
   * Changes to order now. Empty while the log is unavailable or the planner is
   * disabled; a pool whose demand is too old gets none.
   */
  plan(input: PlannerInput): readonly RoleChange[] {
    if (!input.logAvailable || input.rules.enabled === false) return [];
    return input.pools.flatMap((pool) => this.#planPool(pool, input));
  }

  #planPool(pool: PoolState, input: PlannerInput): RoleChange[] {
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
    pool: PoolState,
    input: PlannerInput,
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
