/** Requests and response heads on the forwarding path. */
import type {
  EndpointId,
  ModelName,
  ReplicaStartTime,
  RequestId,
  WorkspaceId,
} from "../identity/mod.ts";
import type { Credentials } from "./callers/authentication.ts";
import type { PromptPart } from "./caches/prefix_directory.ts";
import type { EndpointLoadReport } from "./endpoints/load_reports.ts";

/** The prompt of a request for a model. */
export interface Prompt {
  readonly model: ModelName;
  readonly inputTokens: number;
  /** Maximum number of tokens in the response. */
  readonly mostOutputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** A caller's request; its body is not parsed. */
export interface ForwardedRequest {
  readonly id: RequestId;
  readonly method: string;
  readonly target: string;
  readonly host: string;
  /** Alternating names and values as received; only headers to be forwarded. */
  readonly headers: readonly string[];
  /**
   * Headers that identify the caller, as received; forwarded only if this
   * system admits everyone itself.
   */
  readonly identityHeaders: readonly string[];
  readonly credentials: Credentials;
  readonly body: Buffer;
  /** Time that the caller waits, milliseconds from when it sent the request. */
  readonly deadlineMilliseconds: number | undefined;
  /**
   * Longest time for which the request may have waited to be read; absent if it
   * was read at once.
   */
  readonly unreadMilliseconds?: number;
  /** Id of the last event that the caller has of a stream it takes up. */
  readonly lastEventId: string | undefined;
  /**
   * Id of the caller's attempt that brought the first event of the stream that
   * it takes up; undefined if the caller names none.
   */
  readonly resumes: RequestId | undefined;
  /** True if it names several positions, or several streams to take up. */
  readonly hasAmbiguousPosition?: boolean;
  readonly prompt: Prompt | undefined;
}

/** Key-value cache of a prompt that an engine keeps for a handover. */
export interface PrefilledPrompt {
  readonly engine: EndpointId;
  /** Run of the engine that keeps the cache; a later run does not have it. */
  readonly engineStartedAt?: ReplicaStartTime;
  /** `host:port` of the engine. */
  readonly address: string;
  readonly handle: string;
}

/** Options of one attempt, which are added to the forwarded request. */
export interface ForwardAttemptOptions {
  readonly endpoint: EndpointId;
  /** Workspace of the caller's key; absent if callers need no key. */
  readonly workspace?: WorkspaceId;
  readonly deadlineMilliseconds: number;
  /** 0 is admitted first, 9 last. */
  readonly priority?: number;
  /** Only prefill the prompt and keep its cache for a handover. */
  readonly prefillOnly?: boolean;
  readonly prefilledPrompt?: PrefilledPrompt;
  /** `host:port` of an engine from which cached parts are fetched first. */
  readonly fetchFrom?: string;
  readonly lastEventId?: string;
}

/** A head as an endpoint sent it, before it is known what it proves. */
export interface DecodedHead extends Omit<ResponseHead, "notExecuted"> {
  /** All request ids that it repeats; a sound answer has one. */
  readonly requestIds: readonly string[];
  /** The head says that the request was not run. */
  readonly claimsNotRun: boolean;
  /** Number of signatures by which the endpoint vouches for its answer. */
  readonly signatures: number;
  /** Encodings of the body, in lower case. */
  readonly contentEncodings: readonly string[];
  /** The endpoint that names itself as the writer; absent if none does. */
  readonly writer?: EndpointId;
}

/** The head of an endpoint's response to the request. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** The endpoint guarantees that it did not run the request and never will. */
  readonly notExecuted: boolean;
  /** The endpoint announces that it is leaving. */
  readonly leaving?: boolean;
  /**
   * The endpoint is overloaded and accepts nothing from this process for this
   * time, milliseconds.
   */
  readonly retryAfterMilliseconds?: number;
  /**
   * Requests per second that the endpoint accepts from the whole fleet; absent
   * if it names no limit, "unknown" if the response does not tell.
   */
  readonly requestsPerSecondLimit?: number | "unknown";
  /** Load that the endpoint reports; absent if it reports none. */
  readonly load?: EndpointLoadReport;
}
