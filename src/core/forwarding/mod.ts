/** Decisions on requests whose bodies are forwarded unchanged. */
export type * from "./configuration.ts";
export type * from "./requests.ts";
export { drawPool, RouteTable } from "./route_table.ts";
export {
  authenticate,
  type AuthenticationFailure,
  type Credentials,
} from "./callers/authentication.ts";
export {
  KeyDirectory,
  type Workspace,
  type WorkspaceKeys,
} from "./callers/key_directory.ts";
export {
  type EndpointMemory,
  EndpointRegistry,
  type RegistryChange,
} from "./endpoints/endpoint_registry.ts";
export type { EndpointRun } from "./endpoints/endpoint_runs.ts";
export {
  type NextSends,
  RequestArrivals,
} from "./admission/request_arrivals.ts";
export {
  type RepeatPermit,
  type RepeatUse,
  RetryAllowance,
} from "./admission/retry_allowance.ts";
export {
  type BlockedRequest,
  CrashSuspects,
} from "./crashes/crash_suspects.ts";
export type { CrashReport } from "./crashes/crash_reports.ts";
export { isReportedLoss, type ReportedLoss } from "./crashes/reported_loss.ts";
export {
  EngineEstimates,
  EngineSlowness,
  type ToldSpeed,
  WorkRate,
} from "./estimates/mod.ts";
export { EventSplitter } from "./event_splitter.ts";
export { LoadOwners } from "./endpoints/load_owners.ts";
export {
  addWork,
  LoadPicture,
  NO_PROMPT,
  type OpenWork,
  type PeerWork,
  type PromptWork,
  type WorkHandle,
  type WorkReport,
  workRow,
} from "./endpoints/load_picture.ts";
export {
  PrefixDirectory,
  type PromptPart,
  type ReadPrompt,
} from "./caches/prefix_directory.ts";
export { EndpointOutcomes } from "./endpoints/endpoint_outcomes.ts";
export { EnginePlacement } from "./placement/engine_placement.ts";
export { chooseService } from "./placement/service_placement.ts";
export { placeOf, positionOf } from "./store/log_position.ts";
export {
  type KeyedRecord,
  type KeyedRecords,
  type KeyedTopic,
  type PeerReading,
  type StoreFailure,
  TopicReader,
  type TopicSpan,
} from "./store/topic_reader.ts";
export type {
  DecodeChoice,
  PrefillCandidates,
  PrefillChoice,
} from "./placement/engine_placement.ts";
export {
  type Admission,
  type AdmissionQuestion,
  judgeAdmission,
  LEFT_SHARE,
} from "./admission/engine_admission.ts";
export { type HeldPrompt, HeldPrompts } from "./admission/held_prompts.ts";
export { LinkQueue } from "./admission/link_queue.ts";
export { RoleDemand } from "./roles/role_demand.ts";
export {
  planRoles,
  prefillShareFor,
  prefillShareOf,
  type RoleChange,
} from "./roles/role_plan.ts";
export {
  ExclusiveClaim,
  type StandingClaim,
} from "./claims/exclusive_claim.ts";
export { FleetClock } from "./usage/fleet_clock.ts";
export {
  UsageLedger,
  type WindowCounts,
  type WorkspaceCounts,
} from "./usage/usage_ledger.ts";
export {
  nextReports,
  type UsageClaim,
  type UsageReport,
} from "./usage/usage_reports.ts";
export {
  ReturningCallers,
  type ToldRefusal,
} from "./admission/returning_callers.ts";
