import type { PlannerRules } from "../../generated/rules.ts";
import type { RoleCounts } from "./capacity.ts";
import type { PlannedEndpoint, PoolState } from "./planner_input.ts";
import type { Role } from "./role_profile.ts";

/**
 * Default share of a pool, and of its part in a zone, that may be out of
 * service for changes.
 */
const DEFAULT_MAX_UNAVAILABLE_SHARE = 0.2;

/**
 * Engines per role, with changes in progress counted as complete: by the
 * present roles, a planner would order the same change again while the first
 * one is still draining.
 */
export function plannedRoleCounts(
  endpoints: readonly PlannedEndpoint[],
): RoleCounts {
  const counts = { mixed: 0, prefill: 0, decode: 0 };
  for (const one of endpoints) {
    if (one.serving || one.changingTo !== undefined) {
      counts[one.changingTo ?? one.role] += 1;
    }
  }
  return counts;
}

/**
 * Whether the minimum per role and the limits on unavailable engines allow an
 * engine to make the move.
 */
export function mayMove(
  pool: PoolState,
  rules: PlannerRules,
  move: { from: Role; to: Role },
): boolean {
  return selectEndpoint(pool, rules, move) !== undefined;
}

/**
 * Selects the engine that makes the move, from the zone with the fewest engines
 * out of service.
 */
export function selectEndpoint(
  pool: PoolState,
  rules: PlannerRules,
  move: { from: Role; to: Role },
): PlannedEndpoint | undefined {
  if (
    plannedRoleCounts(pool.endpoints)[move.from] <= (rules.fewestPerRole ?? 0)
  ) {
    return undefined;
  }
  if (!hasUnavailabilityBudget(pool.endpoints, rules)) return undefined;
  const eligible = pool.endpoints.filter((one) =>
    one.role === move.from && one.serving && !one.fixedRole &&
    one.changingTo === undefined &&
    hasUnavailabilityBudget(endpointsInZoneOf(pool, one), rules)
  );
  eligible.sort((one, other) =>
    countUnavailable(endpointsInZoneOf(pool, one)) -
      countUnavailable(endpointsInZoneOf(pool, other)) ||
    endpointsInZoneOf(pool, other).length - endpointsInZoneOf(pool, one).length
  );
  return eligible[0];
}

function endpointsInZoneOf(
  pool: PoolState,
  endpoint: PlannedEndpoint,
): readonly PlannedEndpoint[] {
  return pool.endpoints.filter((one) =>
    one.availabilityZone === endpoint.availabilityZone
  );
}

/**
 * Whether one more engine may go out of service. When the mix shifts for the
 * whole fleet at once, the limit keeps the engines of a pool or zone from all
 * being out of service at the same time. An engine that is unavailable for any
 * other reason counts as well.
 */
function hasUnavailabilityBudget(
  endpoints: readonly PlannedEndpoint[],
  rules: PlannerRules,
): boolean {
  const share = rules.mostOutAtOnceShare ?? DEFAULT_MAX_UNAVAILABLE_SHARE;
  return countUnavailable(endpoints) <
    Math.max(1, Math.floor(endpoints.length * share));
}

function countUnavailable(endpoints: readonly PlannedEndpoint[]): number {
  return endpoints.filter((one) => !one.serving || one.changingTo !== undefined)
    .length;
}
