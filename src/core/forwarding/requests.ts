/** A request as the forwarding path sees it. */
import type {
  EndpointId,
  ModelName,
  ReplicaStart,
  RequestId,
  WorkspaceId,
} from "../identity/mod.ts";
import type { Credentials } from "./callers/authentication.ts";
import type { PromptPart } from "./caches/prefix_directory.ts";

/** What a request for a model says of its prompt. */
export interface Prompt {
  readonly model: ModelName;
  readonly inputTokens: number;
  /** Most tokens that the answer may have. */
  readonly mostOutputTokens: number;
  readonly parts: readonly PromptPart[];
}

/** A caller's request; the body is never looked into. */
export interface ForwardedRequest {
  readonly id: RequestId;
  readonly method: string;
  readonly target: string;
  readonly host: string;
  /** Names and values in turn, as they came; only those to pass on. */
  readonly headers: readonly string[];
  /**
   * The headers by which the caller names itself, as they came; passed on only
   * where the system itself lets everyone in.
   */
  readonly identityHeaders: readonly string[];
  readonly credentials: Credentials;
  readonly body: Buffer;
  /** How long the caller waits, milliseconds from its arrival. */
  readonly deadlineMilliseconds: number | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: Prompt | undefined;
}

/** A cache of a prompt that an engine keeps for a hand-over. */
export interface KeptPrompt {
  readonly engine: EndpointId;
  /** Run of the engine that keeps it; a later one has nothing of it. */
  readonly engineStartedAt?: ReplicaStart;
  /** `host:port` of the engine. */
  readonly address: string;
  readonly handle: string;
}

/** What is added to a request when it is sent to an endpoint. */
export interface AttemptOptions {
  readonly endpoint: EndpointId;
  /** Whose key the caller has; absent where callers need none. */
  readonly workspace?: WorkspaceId;
  readonly deadlineMilliseconds: number;
  /** 0 is admitted first, 9 last. */
  readonly priority?: number;
  /** Only read the prompt and keep its cache for a hand-over. */
  readonly prefillOnly?: boolean;
  readonly keptPrompt?: KeptPrompt;
  /** `host:port` of an engine from which kept parts are fetched first. */
  readonly fetchFrom?: string;
  readonly lastEventId?: string;
}

/** The head of an endpoint's answer, decoded. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, without those of one connection only. */
  readonly headers: readonly string[];
  /** Id of the request that it answers, where it tells. */
  readonly requestId: string | undefined;
  /** The endpoint vouches that it did not run the request, and never will. */
  readonly notRun: boolean;
  /** The endpoint says that it leaves. */
  readonly leaving?: boolean;
  /**
   * The endpoint is overloaded and wants nothing from this process for so
   * long, milliseconds.
   */
  readonly retryAfterMilliseconds?: number;
}
