/**
 * Events that the core emits for metrics, traces, logs and the history that a
 * checker reads. Emitting costs nothing without an observer.
 *
 * `process` names the emitter: an entry or a side by its process id, an endpoint
 * by its endpoint id, `log` for the log service, `network` for faults that a
 * test injects. Fields in brackets are optional. `claim`, `order`, `record` and
 * `version` are offsets on the log. `target` is the target as JSON with its
 * keys in the order role, models, weights.
 *
 * | kind | emitted by | fields |
 * | --- | --- | --- |
 * | request_received | entry | requestId, idempotent, [key], [workspace], [className] |
 * | request_placed | entry | requestId, endpoint, [className] assigned by the rules |
 * | attempt_sent | entry | requestId, attemptId, endpoint, [record], [key] |
 * | attempt_accepted | side | requestId, attemptId, endpoint, [record], [key] |
 * | attempt_refused | side | requestId, attemptId, endpoint, reason |
 * | endpoint_started | side, when it passes the work on | requestId, attemptId, endpoint, idempotent, [key], [record] |
 * | endpoint_executed | endpoint, when the call takes effect | requestId, attemptId, endpoint, idempotent, [key], [record] |
 * | endpoint_finished | side, when the endpoint's work ends on its own | requestId, attemptId, endpoint, result (`answered` or `failed`) |
 * | endpoint_cancelled | side, when it cancels the work | requestId, attemptId, endpoint, cause (`caller`, `deadline`, `planned` or `fault`) |
 * | token_delivered | entry, per token to the caller | requestId, index, text |
 * | response_delivered | entry | requestId, body, [status] |
 * | request_finished | entry | requestId, outcome (`answered`, `not_run` or `unknown`), reason, [tokens], [key], [className], [onTime]: whether the deadline was met |
 * | retry | entry | requestId, attemptId of the new attempt, [reason] |
 * | order_sent | side, to its endpoint | endpoint, order, claim, target |
 * | order_received | endpoint that accepts the order | endpoint, order, target, [claim] |
 * | order_refused | endpoint that checks fencing tokens | endpoint, order |
 * | order_done | endpoint | endpoint, order, target |
 * | claim_seen | entry, per claim that it considers valid | stream, claim, holder |
 * | order_valid | entry, per order that it reads | endpoint, order, claim, target |
 * | order_void | entry, per order that it reads | endpoint, order, claim, [reason] |
 * | configuration_accepted | entry, per accepting verdict that it reads | version, publicationId |
 * | configuration_in_force | entry and side | version |
 * | side_draining | side | endpoint, cause (`stop`, `order` or `configuration`) |
 * | entry_draining | entry | cause (`stop`) |
 * | process_started | entry, side | incarnation, role (`entry` or `side`), [endpoint] |
 * | process_stopped | entry, side: when a planned stop is complete | incarnation |
 * | process_killed | network; endpoint for its own crash | [incarnation] |
 * | process_paused, process_resumed | network | `process` is the affected process |
 * | suspected, trusted | entry | endpoint |
 * | once_owned | entry, per valid once record that it reads | key, record, endpoint, sideIncarnation, replaces |
 * | once_barred | side | key, record |
 * | log_appended | log, when the record takes effect | stream, offset, kind, writer, incarnation, sequence, and the record's own plain fields (claim, replaces, number, endpoint, target, holder, key, publication, publicationId, base, accepted) |
 * | log_outage_began, log_outage_ended | network | [stream] |
 * | link_cut, link_healed | network | from, to (process ids; one direction) |
 * | endpoint_leaving | network, when the platform or an operator reports it | endpoint, [cause] |
 * | endpoint_returned | network | endpoint |
 * | answer_expected | test, before the request | requestId, text |
 * | run_ended | test: when every open request has had time to end | |
 */

/** One event of a run; `at` is timer time in milliseconds. */
export interface HistoryEvent {
  readonly at: number;
  /** Process (or endpoint, caller, log) in which the event occurred. */
  readonly process: string;
  readonly kind: HistoryEventKind;
  /** Fields of the event, such as ids and offsets; plain JSON. */
  readonly facts: Readonly<Record<string, string | number | boolean>>;
}

export type HistoryEventKind =
  | "request_received"
  | "request_placed"
  | "attempt_sent"
  | "attempt_accepted"
  | "attempt_refused"
  | "endpoint_started"
  | "endpoint_executed"
  | "endpoint_finished"
  | "endpoint_cancelled"
  | "token_delivered"
  | "response_delivered"
  | "request_finished"
  | "retry"
  | "order_sent"
  | "order_received"
  | "order_refused"
  | "order_done"
  | "claim_seen"
  | "order_valid"
  | "order_void"
  | "configuration_accepted"
  | "configuration_in_force"
  | "side_draining"
  | "entry_draining"
  | "process_started"
  | "process_stopped"
  | "process_killed"
  | "process_paused"
  | "process_resumed"
  | "suspected"
  | "trusted"
  | "once_owned"
  | "once_barred"
  | "log_appended"
  | "log_outage_began"
  | "log_outage_ended"
  | "link_cut"
  | "link_healed"
  | "endpoint_leaving"
  | "endpoint_returned"
  | "answer_expected"
  | "run_ended";

export type Observe = (event: HistoryEvent) => void;

export type { LogFields, Logger } from "./logger.ts";
export { NOOP_LOGGER } from "./logger.ts";
export type {
  Span,
  SpanAttributes,
  SpanName,
  SpanOptions,
  Tracer,
} from "./tracer.ts";
export { NOOP_TRACER } from "./tracer.ts";
export type { EmitEvent, EmitEventOptions, EventFields } from "./emit_event.ts";
export { createEmitEvent } from "./emit_event.ts";
