/** Which role each engine has, and when a change is worth its price. */
export {
  type CapacityOptions,
  type ClassDemand,
  divideWork,
  moved,
  type RoleCounts,
  servedPerSecond,
  type WorkDivision,
} from "./capacity.ts";
export type {
  PlannedEndpoint,
  PlannerPicture,
  PoolPicture,
  RoleChange,
} from "./picture.ts";
export {
  COST_BASED_OPTIONS,
  type CostBasedOptions,
  costBasedPolicy,
  forecastPolicy,
  type RoleMove,
  type RolePolicy,
  type RoleSituation,
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
