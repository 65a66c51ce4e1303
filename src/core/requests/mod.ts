/** Callers' requests and the three ways in which they can end. */
import type {
  AvailabilityZoneId,
  EndpointId,
  IdempotencyKey,
  RequestId,
  WorkClassName,
  WorkspaceId,
} from "../identity/mod.ts";
import type { Work } from "../../generated/messages.ts";

/** Why a request was refused; every one of them means that nothing has run. */
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

/** Refused: not run. True only while no endpoint can have started it. */
export interface Refusal {
  readonly kind: "not_run";
  readonly reason: RefusalReason;
  readonly detail: string;
  /** When coming back is worth it, milliseconds; absent where it never is. */
  readonly retryAfterMilliseconds?: number;
}

/** The request may have run; nobody can tell whether it did. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly detail: string;
  readonly retryAfterMilliseconds?: number;
}

/** The whole answer was given. */
export interface Answered {
  readonly kind: "answered";
  /** Tokens of a generation; 0 for a plain service. */
  readonly tokens: number;
  readonly reason: "stop" | "length" | "response";
}

export type Outcome = Answered | Refusal | UnknownOutcome;

/** A caller's request after its door has checked it. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly work: Work;
  /** Values that the rules' matches look at, names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Class wanted by the caller; the rules decide. */
  readonly className?: WorkClassName;
  /** Time that the caller still waits, milliseconds. */
  readonly deadlineMilliseconds?: number;
  readonly idempotencyKey?: IdempotencyKey;
  readonly traceparent?: string;
}

/** Where the pieces of an answer go. */
export interface AnswerSink {
  /** One more token, in order, once. False: hold back until `onDrained`. */
  token(text: string): boolean;
  /** The whole answer of a plain service. */
  response(answer: { status: number; contentType: string; body: string }): void;
  /** The final outcome; nothing follows it. */
  finish(outcome: Outcome): void;
}

/** What admission and placement look at; nothing else of a request. */
export interface RequestProfile {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly className: WorkClassName;
  /** Pool of the inventory that the request is for. */
  readonly pool: string;
  readonly kind: "generation" | "service";
  readonly promptTokens: number;
  readonly mostOutputTokens: number;
  /** Tokens that the caller already has, of an attempt that was cut off. */
  readonly deliveredTokens: number;
  /** Timer time by which the answer has to be complete, milliseconds. */
  readonly deadline: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  readonly idempotent: boolean;
  /** Endpoints that have already failed this request. */
  readonly excluded: ReadonlySet<EndpointId>;
  readonly availabilityZone: AvailabilityZoneId;
}
