/** Callers' requests and their three possible outcomes. */
import type {
  AvailabilityZoneId,
  EndpointId,
  IdempotencyKey,
  RequestId,
  WorkClassName,
  WorkspaceId,
} from "../identity/mod.ts";
import type { Work } from "../../generated/messages.ts";

/** Why a request was refused; each of them means that nothing has run. */
export type RefusalReason =
  | "invalid"
  | "unknown_model"
  | "unknown_route"
  | "impossible_deadline"
  | "saturated"
  | "share_exhausted"
  | "no_endpoint"
  | "overloaded_entry"
  | "draining"
  | "not_configured"
  | "log_down"
  | "key_expired"
  | "key_conflict"
  | "key_needed"
  | "late";

/**
 * The request was refused and not run. Valid only while no endpoint can have
 * started it.
 */
export interface Refusal {
  readonly kind: "not_run";
  readonly reason: RefusalReason;
  readonly detail: string;
  /**
   * Time after which a retry is worthwhile, milliseconds; absent if it never
   * is.
   */
  readonly retryAfterMilliseconds?: number;
}

/** The request may have run; the outcome can't be determined. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly detail: string;
  readonly retryAfterMilliseconds?: number;
}

/** The answer is complete. */
export interface Answered {
  readonly kind: "answered";
  /** Tokens of a generation; 0 for a plain service. */
  readonly tokens: number;
  readonly reason: "stop" | "length" | "response";
}

export type Outcome = Answered | Refusal | UnknownOutcome;

/** A caller's request after validation at its entry. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly work: Work;
  /** Header values that the rules match on, names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Class requested by the caller; the rules decide. */
  readonly className?: WorkClassName;
  /** Time for which the caller still waits, milliseconds. */
  readonly deadlineMilliseconds?: number;
  readonly idempotencyKey?: IdempotencyKey;
  readonly traceparent?: string;
}

/** Receives the parts of an answer. */
export interface AnswerSink {
  /** One more token, in order, once. False: pause until the sink has drained. */
  token(text: string): boolean;
  /** The complete answer of a plain service. */
  response(answer: { status: number; contentType: string; body: string }): void;
  /** The final outcome; no further call follows. */
  finish(outcome: Outcome): void;
}

/** The only properties of a request that admission and placement use. */
export interface RequestProfile {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly className: WorkClassName;
  /** Pool of the inventory that the request is for. */
  readonly pool: string;
  readonly kind: "generation" | "service";
  readonly promptTokens: number;
  readonly mostOutputTokens: number;
  /** Tokens that the caller already has, from an interrupted attempt. */
  readonly deliveredTokens: number;
  /** Timer time by which the answer has to be complete, milliseconds. */
  readonly deadline: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  readonly idempotent: boolean;
  /** Endpoints on which this request has already failed. */
  readonly excluded: ReadonlySet<EndpointId>;
  readonly availabilityZone: AvailabilityZoneId;
}
