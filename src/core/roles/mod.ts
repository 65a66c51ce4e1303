/**
 * Planning of engine roles: capacity, and role changes whose gain exceeds their
 * cost.
 */
export {
  allocateWork,
  type CapacityOptions,
  type ClassDemand,
  countsAfterMove,
  type RoleCounts,
  servedValuePerSecond,
  type WorkAllocation,
} from "./capacity.ts";
export type {
  PlannedEndpoint,
  PlannerInput,
  PoolState,
  RoleChange,
} from "./planner_input.ts";
export {
  type CostBasedOptions,
  costBasedPolicy,
  DEFAULT_COST_BASED_OPTIONS,
  forecastPolicy,
  type RoleMove,
  type RolePolicy,
  type RolePolicyInput,
  staticPolicy,
  thresholdPolicy,
} from "./policies.ts";
export { RolePlanner, type RolePlannerOptions } from "./role_planner.ts";
export {
  type Role,
  ROLE_PROFILES,
  type RoleProfile,
  type RoleProfiles,
  type RoleRates,
  roleRates,
  ROLES,
  roleSlots,
} from "./role_profile.ts";
