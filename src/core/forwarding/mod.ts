/** Decisions on requests that are forwarded byte by byte. */
export type * from "./configuration.ts";
export type * from "./requests.ts";
export { drawPool, RouteTable } from "./route_table.ts";
export {
  type EndpointMemory,
  EndpointRegistry,
  type RegistryChange,
} from "./endpoint_registry.ts";
export { RetryAllowance } from "./retry_allowance.ts";
export {
  EngineEstimates,
  EngineSlowness,
  type ToldSpeed,
  WorkRate,
} from "./estimates/mod.ts";
export { EventSplitter } from "./event_splitter.ts";
export {
  LoadPicture,
  NO_PROMPT,
  type OpenWork,
  type PeerWork,
  type PromptWork,
  type WorkReport,
  type WorkTicket,
} from "./load_picture.ts";
export {
  PrefixDirectory,
  type PromptPart,
  type ReadPrompt,
} from "./prefix_directory.ts";
export { EndpointOutcomes } from "./endpoint_outcomes.ts";
export { EnginePlacement } from "./engine_placement.ts";
export { chooseService } from "./service_placement.ts";
export {
  type KeyedRecord,
  type KeyedRecords,
  type KeyedTopic,
  type PeerReading,
  type StoreFailure,
  TopicReader,
  type TopicSpan,
} from "./topic_reader.ts";
export type { PrefillChoice } from "./engine_placement.ts";
export {
  type Admission,
  type AdmissionQuestion,
  judgeAdmission,
  LEFT_SHARE,
} from "./engine_admission.ts";
export { type HeldPrompt, HeldPrompts } from "./held_prompts.ts";
export { LinkQueue } from "./link_queue.ts";
export { planRoles, type RoleChange } from "./role_plan.ts";
export { RoleDemand } from "./role_demand.ts";
export { RoleClaim, type StandingClaim } from "./role_claim.ts";
export { ReturningCallers, type ToldRefusal } from "./returning_callers.ts";
