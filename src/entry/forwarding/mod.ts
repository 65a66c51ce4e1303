/** Forwarding path of an entry: requests are proxied byte by byte. */
export type * from "./network_interfaces.ts";
export type { ForwardingDecision, ObserveForwarding } from "./observer.ts";
export type { ForwardingDependencies } from "./forwarding_dependencies.ts";
export { ConfigurationStatus } from "./configuration_status.ts";
export { FleetContact } from "./fleet_contact.ts";
export { FleetOutcomes } from "./fleet_outcomes.ts";
export { forward } from "./forward.ts";
export { ForwardingEntry } from "./forwarding_entry.ts";
export type { ForwardingEntryOptions } from "./forwarding_entry_options.ts";
export { CrashGate, LostRunChecks, TrialExchange } from "./crashes/mod.ts";
export type { LoadQueryOutcome } from "./load_queries.ts";
export {
  type PermitOutcome,
  RequestPermits,
  type RequestPermitsOptions,
} from "./request_permits.ts";
export {
  type StreamLookupOutcome,
  StreamOriginExchange,
} from "./stream_origin_exchange.ts";
export { type VersionLink, VersionListing } from "./version_listing.ts";
export type {
  DroppedNotification,
  Notification,
  RegistrationChange,
} from "./notifications/mod.ts";
export { WriterConnections } from "./writer_connections.ts";
export { QueryAllowance } from "./query_allowance.ts";
export { PeerExchange } from "./peer_exchange.ts";
export type { OrderOutcome, RoleLink } from "./role_controller.ts";
export type { PlannedRoles } from "./work_role_planner.ts";
export type { ReportOutcome, UsageLink } from "./usage_reporter.ts";
export { readEntireBody } from "./read_body.ts";
export type { FleetMember } from "./forwarding_state.ts";
export {
  FORWARDING_STATE_STREAM,
  PeerStateFallback,
} from "./peer_state_fallback.ts";
