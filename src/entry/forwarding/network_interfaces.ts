/** Network interfaces that the forwarding path depends on. */
import type { Result } from "neverthrow";
import type { Failure } from "../../core/errors/mod.ts";
import type {
  AnswerEvidence,
  EndpointLoadReport,
  ForwardAttemptOptions,
  ForwardedRequest,
  PromptPart,
  RegisteredEndpoint,
  ResponseHead,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";

/**
 * `exchange_not_sent`: no byte was sent. `exchange_lost`: the request may be
 * running. `exchange_foreign`: the response belongs to another request or to
 * none. `exchange_unproven`: its status promises that the request did not run,
 * and nothing proves it. `exchange_spoiled`: no sound endpoint sends its head.
 */
export type ExchangeFailure = Failure<
  | "exchange_not_sent"
  | "exchange_lost"
  | "exchange_foreign"
  | "exchange_unproven"
  | "exchange_spoiled"
>;

/**
 * How a response body ended. `unproven`: its endpoint has ended it in order, and
 * nothing shows that it is whole.
 */
export type BodyEnd = "whole" | "unproven" | "cut";

/**
 * How a response shows where its body ends. `connection`: the body ends with
 * the connection, so that a truncated one may look complete.
 */
export type BodyFraming = "length" | "chunks" | "connection";

/** What has arrived of a response body so far. */
export interface ReceivedBody {
  /** Parts in which the body was parsed; each costs time of its own. */
  readonly pieces: number;
  readonly bytes: number;
  /** The bound that ended the body, with the value that exceeded it. */
  readonly exceeded?: string;
}

/** An endpoint's response whose body is still being received. */
export interface EndpointResponse {
  readonly head: ResponseHead;
  readonly framing: BodyFraming;
  /** Kept up to date while the body is read. */
  readonly received?: ReceivedBody;
  /** Streams the body in chunks; call once. */
  read(
    onChunk: (chunk: Buffer) => void,
    onEnd: (end: BodyEnd) => void,
  ): void;
  pause(): void;
  resume(): void;
  /** Closes the connection, which may carry more that is not wanted. */
  close(): void;
}

/** A request in progress at an endpoint. */
export interface Exchange {
  readonly answer: Promise<Result<EndpointResponse, ExchangeFailure>>;
  /** Facts on the head of the answer; undefined until one has arrived. */
  readonly evidence: AnswerEvidence | undefined;
  /** Closes the connection; the endpoint cancels its work. */
  abort(): void;
}

/** Options of one send of a request. */
export interface SendOptions extends ForwardAttemptOptions {
  /** `host:port` of the endpoint. */
  readonly address: string;
  /**
   * True if the request was sent to the address before. A late second answer to
   * the first send would have the right request id.
   */
  readonly isRepeated: boolean;
}

/** Sends requests to endpoints. */
export interface EndpointClient {
  send(request: ForwardedRequest, options: SendOptions): Exchange;
  /** Parses the handle of a cached prompt from the response to a prefill. */
  parseCacheHandle(body: Buffer): string | undefined;
  /**
   * Prompt parts in the engine's cache; undefined if the engine did not report.
   */
  listCachedParts(
    engine: Pick<RegisteredEndpoint, "id" | "address">,
  ): Promise<readonly PromptPart[] | undefined>;
  /**
   * Requests the health path of an endpoint; undefined if it did not answer as
   * a healthy one.
   */
  checkHealth(
    endpoint: Pick<RegisteredEndpoint, "id" | "address">,
    path: string,
  ): Promise<EndpointHealthAnswer | undefined>;
  /** Opens a connection for a question; never throws. */
  connect(address: string): EndpointConnection;
  /** Releases a cached prompt that will not be used. */
  release(address: string, handle: string): void;
}

/**
 * State of a connection that an entry opens next to a response. `rejected`: it
 * was not accepted. `ended`: it was accepted and has ended since.
 */
export type EndpointConnectionState =
  | "opening"
  | "open"
  | "rejected"
  | "ended";

/**
 * Which process has answered a question. `expected`: the one that has the id.
 * `other`: another one. `rejecting`: one that answers this question without
 * saying which it is, such as one that rejects all requests. `unnamed`: one whose
 * answer may belong to an earlier question. `none`: nobody, in the time allowed.
 */
export type AnsweringProcess =
  | "expected"
  | "other"
  | "rejecting"
  | "unnamed"
  | "none";

export interface IdentifyOptions {
  readonly healthPath: string;
  readonly timeoutMilliseconds: number;
}

/** A connection to an endpoint that carries nothing but questions. */
export interface EndpointConnection {
  readonly state: EndpointConnectionState;
  /** Settles once the connection is open or rejected. */
  readonly opened: Promise<void>;
  /** Time since the connection opened; 0 before. */
  readonly openMilliseconds: number;
  /** Settles once the connection has ended or was rejected. */
  readonly ended: Promise<void>;
  /** Asks which process answers on the connection; one question at a time. */
  identify(
    endpoint: EndpointId,
    options: IdentifyOptions,
  ): Promise<AnsweringProcess>;
  close(): void;
}

/** Answer of a healthy endpoint to a request to its health path. */
export interface EndpointHealthAnswer {
  /** Absent if the endpoint reports no load. */
  readonly load?: EndpointLoadReport;
}

/** The response stream to a caller. */
export interface CallerSink {
  /**
   * True once the caller has disconnected; writes have no effect from then on.
   */
  readonly isDisconnected: boolean;
  head(status: number, headers: readonly string[]): void;
  /** Bytes that were written and that the caller has not read yet. */
  readonly bufferedBytes: number;
  /** False while the caller reads slowly; `onDrain` signals when to resume. */
  write(chunk: Buffer): boolean;
  finish(): void;
  /** Aborts the response, so that it does not look complete. */
  abort(): void;
  onDrain(listener: () => void): void;
  onDisconnect(listener: () => void): void;
  /** Called once nothing of the response is buffered any more. */
  onClosed(listener: () => void): void;
  /** Drops what the caller has not read of a finished response. */
  discardUnread(): void;
  /** Sends a response of the system itself. */
  refuse(refusal: ForwardingRefusal): void;
}

/** Reason why the system itself responds instead of an endpoint. */
export interface ForwardingRefusal {
  readonly status: 400 | 401 | 404 | 411 | 413 | 431 | 502 | 503 | 504;
  readonly reason: string;
  /** When a retry is useful, in milliseconds; only with 503. */
  readonly retryAfterMilliseconds?: number;
}
