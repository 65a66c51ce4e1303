import { countsOf, endpointFor, mayMove } from "./constraints.ts";
import type { PlannerPicture, PoolPicture, RoleChange } from "./picture.ts";
import { costBasedPolicy, type RoleMove, type RolePolicy } from "./policies.ts";

/**
 * Age at which demand is no longer planned with. Load: entries cut off from
 * the planner. Harm prevented: changes for a mix that is long gone. Limit:
 * one and a half demand windows.
 */
const OLDEST_DEMAND_MILLISECONDS = 15_000;

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
  plan(picture: PlannerPicture): readonly RoleChange[] {
    if (!picture.logAvailable || picture.rules.enabled === false) return [];
    return picture.pools.flatMap((pool) => this.#planPool(pool, picture));
  }

  #planPool(pool: PoolPicture, picture: PlannerPicture): RoleChange[] {
    const known = this.#policies.get(pool.pool);
    const policy = known ?? this.#makePolicy();
    this.#policies.set(pool.pool, policy);
    if (pool.demandAgeMilliseconds > OLDEST_DEMAND_MILLISECONDS) return [];
    const move = policy({
      now: picture.now,
      pool,
      counts: countsOf(pool.endpoints),
      rules: picture.rules,
      mayMove: (from, to) => mayMove(pool, picture.rules, { from, to }),
    });
    return move === undefined ? [] : this.#change(pool, picture, move);
  }

  #change(
    pool: PoolPicture,
    picture: PlannerPicture,
    move: RoleMove,
  ): RoleChange[] {
    const endpoint = endpointFor(pool, picture.rules, move);
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
