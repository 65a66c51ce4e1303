/**
 * Events that the cores tell of, for metrics, traces, logs and the history
 * that a checker reads. Telling costs nothing where nobody listens.
 */

/** One event of a run; `at` is timer time in milliseconds. */
export interface HistoryEvent {
  readonly at: number;
  /** Process (or endpoint, caller, log) in which it happened. */
  readonly process: string;
  readonly kind: HistoryEventKind;
  /** Facts of the event, such as ids and offsets; plain JSON. */
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
  | "endpoint_cancelled"
  | "token_delivered"
  | "request_finished"
  | "retry"
  | "order_sent"
  | "order_received"
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
  | "suspected"
  | "trusted";

export type Observe = (event: HistoryEvent) => void;

export type { LogFacts, Logger } from "./logger.ts";
export { SILENT_LOGGER } from "./logger.ts";
