/** Decisions on requests whose bodies are forwarded unchanged. */
export type * from "./configuration.ts";
export {
  isCallerLimits,
  isPool,
  isRoute,
  isWorkspaceKeys,
} from "./configuration_checks.ts";
export {
  isEndpointId,
  isHostAndPort,
  isRegisteredEndpoint,
} from "./endpoints/endpoint_checks.ts";
export type * from "./requests.ts";
export {
  type AnswerEvidence,
  type EchoedId,
  echoedIdOf,
} from "./answers/answer_evidence.ts";
export {
  type AnswerVerdict,
  type DoubtReason,
  judgeAnswer,
  MISDIRECTED_STATUS,
} from "./answers/judge_answer.ts";
export { SmallPieceBudget } from "./answers/small_piece_budget.ts";
export {
  isResumable,
  type PauseBound,
  RouteTable,
  selectPool,
} from "./route_table.ts";
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
  EndpointRegistry,
  type EndpointStateHolder,
  type RegistryChange,
} from "./endpoints/endpoint_registry.ts";
export type { EndpointRun } from "./endpoints/endpoint_runs.ts";
export {
  type NextAttempt,
  RequestArrivals,
} from "./admission/request_arrivals.ts";
export {
  type BufferedResponse,
  ResponseBuffers,
} from "./admission/response_buffers.ts";
export { LoopDelay } from "./admission/loop_delay.ts";
export type { RouteTimeHandle, SendStep } from "./estimates/route_times.ts";
export { PlannedStop } from "./admission/planned_stop.ts";
export {
  type RetryBudgetUsage,
  type RetryPermit,
  SharedRetryBudget,
} from "./admission/shared_retry_budget.ts";
export {
  combineOrigins,
  type KnownOrigin,
  STREAM_LIFETIME_MILLISECONDS,
  type StreamOrigin,
  StreamOrigins,
  type StreamRecord,
} from "./streams/stream_origins.ts";
export { EventNumbering, PROOF_STREAMS } from "./streams/event_numbering.ts";
export { FormerRoutes } from "./streams/former_routes.ts";
export { StreamKeepers } from "./streams/stream_keepers.ts";
export {
  ListedVersions,
  type ServingVersion,
} from "./streams/listed_versions.ts";
export {
  type BlockedSuspect,
  CrashTracker,
  type CrashVerdict,
} from "./crashes/crash_tracker.ts";
export type { CrashReport } from "./crashes/crash_reports.ts";
export {
  isReportedLoss,
  isReportedProof,
  type ReportedLoss,
  type ReportedProof,
} from "./crashes/reported_loss.ts";
export { SURVIVAL_MARGIN_MILLISECONDS } from "./crashes/suspect.ts";
export { TrialIssuer } from "./crashes/trial_issuer.ts";
export {
  DecodePace,
  EngineEstimates,
  EngineSlowness,
  isPrefillSpeedReport,
  type PauseTotals,
  type PrefillSpeedReport,
  ServiceTimes,
  type StreamPauses,
  WorkRate,
} from "./estimates/mod.ts";
export { EventIdReader } from "./event_id_reader.ts";
export { EventIds } from "./event_ids.ts";
export { EventSequence } from "./event_sequence.ts";
export { EventSplitter } from "./event_splitter.ts";
export { EventStreamPosition } from "./event_stream_position.ts";
export { LoadOwners } from "./endpoints/load_owners.ts";
export {
  type EndpointLoadReport,
  EndpointLoadReports,
  type LoadObservation,
} from "./endpoints/load_reports.ts";
export { OpenRequests } from "./endpoints/open_requests.ts";
export {
  type SentRequestHandle,
  SentRequests,
} from "./endpoints/sent_requests.ts";
export {
  addWork,
  encodeWork,
  FleetLoad,
  NO_PROMPT_WORK,
  type OpenWork,
  type PeerWork,
  type PromptWork,
  type WorkHandle,
  type WorkReport,
} from "./endpoints/fleet_load.ts";
export {
  type CachedPrompt,
  PrefixDirectory,
  type PromptPart,
} from "./caches/prefix_directory.ts";
export {
  EndpointAvailability,
  type FleetJudgement,
} from "./endpoints/endpoint_availability.ts";
export { FailureEvidence } from "./endpoints/failure_evidence.ts";
export { FleetVerdicts } from "./endpoints/fleet_verdicts.ts";
export {
  OutcomeJudge,
  type VerdictChange,
  type VerdictEvent,
} from "./endpoints/outcome_judge.ts";
export {
  type AttemptResult,
  kindOfRequest,
  type OutcomeCounts,
  OutcomeReports,
  type RequestKind,
} from "./endpoints/outcome_reports.ts";
export {
  decodeOutcomes,
  encodeOutcomes,
  isOutcomeRows,
  isVerdictRows,
  type OutcomeRow,
  type VerdictRow,
} from "./endpoints/outcome_rows.ts";
export {
  EnginePlacement,
  isPrefillEngine,
} from "./placement/engine_placement.ts";
export { maxDecodeDelayMilliseconds } from "./placement/decode_delay.ts";
export {
  type ExpectedTime,
  ExpectedTimes,
  queueFactor,
} from "./placement/expected_times.ts";
export {
  chooseServiceReplica,
  fastestReplica,
  replicasToRefresh,
} from "./placement/service_placement.ts";
export { decodePosition, encodePosition } from "./store/log_position.ts";
export { SharedRead, type SharedReadOptions } from "./store/shared_read.ts";
export {
  type KeyedRecord,
  type KeyedRecords,
  type KeyedTopic,
  type PeerReadResult,
  type StoreFailure,
  TopicReader,
  type TopicReadOptions,
  type TopicSpan,
} from "./store/topic_reader.ts";
export { FreshnessCheck } from "./store/freshness_check.ts";
export type {
  DecodeChoice,
  InlinePrefillLimits,
  PrefillCandidates,
  PrefillChoice,
} from "./placement/engine_placement.ts";
export {
  type AdmissionInput,
  type AdmissionKind,
  decideAdmission,
  ON_TIME_TARGET_SHARE,
  REMAINING_TIME_SHARE,
} from "./admission/engine_admission.ts";
export {
  type HeldPlace,
  type HeldPrompt,
  HeldPromptQueue,
  POLL_MILLISECONDS,
} from "./admission/held_prompt_queue.ts";
export { FairShares, type ShareRow } from "./admission/fair_shares.ts";
export {
  isPoolShareRows,
  type PoolShareRows,
  PoolShares,
} from "./admission/pool_shares.ts";
export {
  ReturnCalendar,
  type ReturnCalendarOptions,
  type ReturnSlot,
} from "./admission/return_calendar.ts";
export { RequestShare } from "./admission/request_share.ts";
export { maxMinLevel } from "./admission/max_min_level.ts";
export { LinkBacklog } from "./admission/link_backlog.ts";
export { RoleDemand } from "./roles/role_demand.ts";
export type { StepCosts, StepSample } from "./roles/decode_step_costs.ts";
export {
  type ObservedWork,
  type PlannedEngine,
  planPrefillShare,
} from "./roles/prefill_share.ts";
export {
  isRoleWorkReport,
  type PromptDemand,
  RoleWork,
  type RoleWorkReport,
} from "./roles/role_work.ts";
export {
  type EngineRoleChange,
  planRoles,
  prefillShareBySlots,
  prefillShareForDemand,
} from "./roles/role_plan.ts";
export {
  VersionDecoders,
  type VersionDecodersOptions,
} from "./roles/version_decoders.ts";
export {
  EndpointLimits,
  type LimitChange,
  type LimitObservation,
} from "./limits/endpoint_limits.ts";
export {
  decodeLimit,
  encodeLimit,
  isLimitReport,
  type LimitReport,
} from "./limits/limit_reports.ts";
export {
  MIN_REQUESTS_PER_SECOND,
  type PermitAnswer,
  type PermitDemand,
  PermitIssuer,
  type PermitRequest,
} from "./limits/permit_issuer.ts";
export { PermitQueue, type QueuePlace } from "./limits/permit_queue.ts";
export { type CurrentClaim, ExclusiveClaim } from "./claims/exclusive_claim.ts";
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
  type RefusalReport,
  ReturningCallers,
} from "./admission/returning_callers.ts";
