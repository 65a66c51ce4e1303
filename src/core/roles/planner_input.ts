import type { EndpointId } from "../identity/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { PlannerRules } from "../../generated/rules.ts";
import type { ClassDemand } from "./capacity.ts";
import type { Role } from "./role_profile.ts";

/** State of an endpoint as input to the planner. */
export interface PlannedEndpoint {
  readonly endpoint: EndpointId;
  readonly availabilityZone: string;
  readonly role: Role;
  /** Role of a valid order that is still being executed. */
  readonly changingTo?: Role;
  /** Accepts work now. False: draining, leaving, down, changing or unknown. */
  readonly serving: boolean;
  readonly fixedRole?: boolean;
}

/** State of one pool of engines as input to the planner. */
export interface PoolState {
  readonly pool: string;
  readonly engine: EngineCharacteristics;
  readonly endpoints: readonly PlannedEndpoint[];
  /** Sum of the demand that the entries report; by class, as far as known. */
  readonly demand: readonly ClassDemand[];
  /** Age of the oldest demand report in the sum. */
  readonly demandAgeMilliseconds: number;
}

/** Input of one planning run. */
export interface PlannerInput {
  /** Timer time, milliseconds. */
  readonly now: number;
  readonly pools: readonly PoolState[];
  readonly rules: PlannerRules;
  /** False while orders can't be appended; nothing is planned then. */
  readonly logAvailable: boolean;
}

/** A role change that the planner wants to order. */
export interface RoleChange {
  readonly pool: string;
  readonly endpoint: EndpointId;
  readonly from: Role;
  readonly to: Role;
  /** Answers that the change is expected to gain, less its cost. */
  readonly netGain: number;
}
