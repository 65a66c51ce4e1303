/** Decisions of the forwarding path, for logs and metrics. */
import type { LogFields } from "../../core/observation/mod.ts";

/** Kinds of decision; each is logged in one line. */
export type ForwardingDecision =
  | "placed"
  | "prompt_read"
  | "resent"
  | "not_resent"
  | "resumed"
  | "continued"
  | "stream_mismatch"
  | "attempt_rejected"
  | "endpoint_lost"
  | "endpoint_leaving"
  | "endpoint_overloaded"
  | "endpoint_limit_changed"
  | "refused"
  /** The handling of the request has thrown. */
  | "faulted"
  | "answered"
  | "cut"
  | "caller_gone";

/** Called once for each decision on a request. */
export type ObserveForwarding = (
  decision: ForwardingDecision,
  facts: LogFields & { readonly requestId: string; readonly route: string },
) => void;
