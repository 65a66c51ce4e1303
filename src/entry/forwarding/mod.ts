/** Forwarding path of an entry: requests are proxied byte by byte. */
export type * from "./links.ts";
export type { ForwardingDecision, ObserveForwarding } from "./observer.ts";
export type { ForwardingParts } from "./parts.ts";
export { forward } from "./forward.ts";
export {
  ForwardingEntry,
  type ForwardingEntryOptions,
} from "./forwarding_entry.ts";
export type { LoadQuestionOutcome } from "./load_queries.ts";
export type { RegistrationChange } from "./registration_sync.ts";
export { PeerExchange } from "./peer_exchange.ts";
export type { OrderOutcome, RoleLink } from "./role_controller.ts";
export type { ReportOutcome, UsageLink } from "./usage_keeper.ts";
export { readWhole } from "./read_body.ts";
export { FORWARDING_STATE, PeerStateFallback } from "./peer_state_fallback.ts";
