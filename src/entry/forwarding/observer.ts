/** What the forwarding path tells of its decisions, for log and metrics. */
import type { LogFacts } from "../../core/observation/mod.ts";

/** Kinds of decision; each is one log line. */
export type ForwardingDecision =
  | "placed"
  | "prompt_read"
  | "resent"
  | "not_resent"
  | "resumed"
  | "endpoint_lost"
  | "endpoint_leaving"
  | "endpoint_overloaded"
  | "refused"
  | "answered"
  | "cut"
  | "caller_gone";

/** Told once for each decision that touches a request. */
export type ObserveForwarding = (
  decision: ForwardingDecision,
  facts: LogFacts & { readonly requestId: string; readonly route: string },
) => void;
