import type { EndpointId } from "../identity/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { PlannerRules } from "../../generated/rules.ts";
import type { ClassDemand } from "./capacity.ts";
import type { Role } from "./role_profile.ts";

/** An endpoint as the planner sees it. */
export interface PlannedEndpoint {
  readonly endpoint: EndpointId;
  readonly availabilityZone: string;
  readonly role: Role;
  /** Role of a valid order that is still being carried out. */
  readonly changingTo?: Role;
  /** Takes work now. False: draining, leaving, down, changing or unknown. */
  readonly serving: boolean;
  readonly fixedRole?: boolean;
}

/** One pool of engines as the planner sees it. */
export interface PoolPicture {
  readonly pool: string;
  readonly engine: EngineCharacteristics;
  readonly endpoints: readonly PlannedEndpoint[];
  /** Sum of what the entries have seen; by class, as far as known. */
  readonly demand: readonly ClassDemand[];
  /** Age of the oldest report of demand that is part of the sum. */
  readonly demandAgeMilliseconds: number;
}

/** All that one plan is made from. */
export interface PlannerPicture {
  /** Timer time, milliseconds. */
  readonly now: number;
  readonly pools: readonly PoolPicture[];
  readonly rules: PlannerRules;
  /** False while orders can't be appended; nothing is planned then. */
  readonly logAvailable: boolean;
}

/** A role change that the planner wants ordered. */
export interface RoleChange {
  readonly pool: string;
  readonly endpoint: EndpointId;
  readonly from: Role;
  readonly to: Role;
  /** Answers that the change is expected to gain, less its price. */
  readonly netGain: number;
}
