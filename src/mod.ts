/**
 * Public API for embedding the system or its coordination components.
 *
 * Nothing here opens a socket, reads a clock or generates random numbers: time
 * comes from a `TimerService`, randomness from a `Random`, and the network, the
 * log and the endpoints are functions passed in by the embedding program.
 * Hundreds of entries and sides can run in one process; they share no state,
 * and with `ManualTimerService` and `seededRandom` a run is reproducible byte
 * for byte.
 *
 * Operations that can fail return a `Result` of `neverthrow`, whose failure is
 * identified by its `name`. A thrown error is a bug. Times are in milliseconds
 * unless the name says otherwise. See `examples/embedding/` for an example.
 *
 * @module
 */
export { err, ok } from "neverthrow";
export type { Result } from "neverthrow";

// The two roles.
export { EntryCore } from "./entry/mod.ts";
export type {
  EntryLimits,
  EntryOptions,
  EntryTimes,
  RequestHandle,
} from "./entry/mod.ts";
export { SideCore } from "./side/mod.ts";
export type {
  AttemptHandle,
  SideLimits,
  SideOptions,
  SideTimes,
} from "./side/mod.ts";

// The external functions that the roles depend on.
export type {
  AttemptCall,
  EndpointFailure,
  EndpointLink,
  EngineObservation,
  EntryLink,
  GenerationCall,
  LinkFailure,
  ListedVm,
  PeerAddress,
  ServiceResponse,
  SideLink,
  StreamSnapshot,
  VmList,
} from "./core/links/mod.ts";
export type {
  LogFailure,
  LogItem,
  LogPage,
  LogReadOptions,
  LogService,
  StreamName,
} from "./core/journal/mod.ts";
export { ManualTimerService } from "./core/time/mod.ts";
export type { Subscription, TimerService } from "./core/time/mod.ts";
export { seededRandom } from "./core/random/mod.ts";
export type { Random } from "./core/random/mod.ts";
export { hashToUnit } from "./core/membership/mod.ts";

// Requests and their outcomes.
export type {
  Answered,
  AnswerSink,
  CallerRequest,
  Outcome,
  Refusal,
  RefusalReason,
  UnknownOutcome,
} from "./core/requests/mod.ts";

// Coordination through the log.
export { Journal } from "./core/journal/mod.ts";
export type {
  JournalCounts,
  JournalFailure,
  JournalOptions,
  StreamFold,
} from "./core/journal/mod.ts";
export { ClaimKeeper, OrdersFold } from "./core/authority/mod.ts";
export type {
  Claim,
  ClaimKeeperOptions,
  ClaimView,
  EndpointOrder,
  OrdersFoldOptions,
} from "./core/authority/mod.ts";
export {
  checkConfiguration,
  ConfigurationFold,
  ConfigurationJudge,
  Publisher,
} from "./core/configuration/mod.ts";
export type {
  ConfigurationContent,
  ConfigurationJudgeOptions,
  ConfigurationProblem,
  PublicationFailure,
  PublicationOptions,
  PublicationOutcome,
  PublisherOptions,
} from "./core/configuration/mod.ts";
export { OrderExecutor } from "./core/orders/mod.ts";
export type { OrderExecutorOptions } from "./core/orders/mod.ts";
export { OnceCoordinator, OnceFold, SideOnceTable } from "./core/once/mod.ts";

// Scheduling and admission.
export { createScheduler } from "./core/scheduling/mod.ts";
export type {
  Placement,
  Scheduler,
  SchedulerLimits,
  SchedulerOptions,
  WaitingRequest,
} from "./core/scheduling/mod.ts";

// Events and logging.
export type {
  HistoryEvent,
  HistoryEventKind,
  Logger,
  Observe,
} from "./core/observation/mod.ts";

// Identifiers and failures.
export { defineError, failure } from "./core/errors/mod.ts";
export type { ErrorDefinition, Failure } from "./core/errors/mod.ts";
export { identifier, numbered } from "./core/identity/mod.ts";
export type {
  AttemptId,
  AvailabilityZoneId,
  Branded,
  ConfigurationVersion,
  EndpointId,
  FencingNumber,
  IdempotencyKey,
  Incarnation,
  LogOffset,
  ModelName,
  ProcessId,
  RegionId,
  RequestId,
  ServiceName,
  WorkClassName,
  WorkspaceId,
} from "./core/identity/mod.ts";

// Messages, log records and the configuration that operators publish.
export type {
  AttemptFrame,
  AttemptRequest,
  EndpointLoad,
  EntryStatus,
  OnceAnswer,
  OnceQuestion,
  SideReport,
  WatchAnswer,
  WatchQuestion,
  Work,
} from "./generated/messages.ts";
export type { EngineTarget, RecordBody } from "./generated/log_records.ts";
export type { Inventory } from "./generated/inventory.ts";
export type { Rules } from "./generated/rules.ts";
