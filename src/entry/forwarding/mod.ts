/** The entry's path for requests that are forwarded byte by byte. */
export type * from "./links.ts";
export type { ForwardingDecision, ObserveForwarding } from "./observer.ts";
export type { ForwardingParts } from "./parts.ts";
export { forward } from "./forward.ts";
export {
  ForwardingEntry,
  type ForwardingEntryOptions,
} from "./forwarding_entry.ts";
export type { LoadQuestionOutcome } from "./load_questions.ts";
export type { RegistrationChange } from "./registration_intake.ts";
export { PeerExchange } from "./peer_exchange.ts";
export type { OrderOutcome, RoleLink } from "./role_keeper.ts";
export type { ReportOutcome, UsageLink } from "./usage_keeper.ts";
export { readWhole } from "./whole_body.ts";
export { FORWARDING_STATE, StateRelay } from "./state_relay.ts";
