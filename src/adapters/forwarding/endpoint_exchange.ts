import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { failure } from "../../core/errors/mod.ts";
import {
  type AnswerEvidence,
  type DecodedHead,
  echoedIdOf,
  judgeAnswer,
} from "../../core/forwarding/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type {
  EndpointResponse,
  Exchange,
  ExchangeFailure,
} from "../../entry/forwarding/network_interfaces.ts";
import { framingOf } from "../http_client/mod.ts";
import { createResponse } from "./endpoint_response.ts";
import {
  EXCHANGE_FOREIGN,
  EXCHANGE_LOST,
  EXCHANGE_NOT_SENT,
  EXCHANGE_SPOILED,
  EXCHANGE_UNPROVEN,
} from "./errors.ts";

/**
 * Connect timeout, for an endpoint that does not respond. TCP retransmits a
 * lost SYN after a second, which exceeds most callers' deadlines; a healthy
 * network connects within a few milliseconds.
 */
export const CONNECT_TIMEOUT_MILLISECONDS = 400;
/**
 * Time from the first byte of a head to its end. An endpoint that is silent
 * before is at work; one that sends a head in pieces is not.
 */
const HEAD_TIMEOUT_MILLISECONDS = 1_000;
/** Interim answers (1xx) before the head; the next one ends the exchange. */
const MAX_INTERIM_ANSWERS = 4;

/** An HTTP request to an endpoint. */
export interface OutgoingRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /**
   * Request id; a response with another one is rejected. Nothing shows which
   * request without an id a response belongs to, so such a request uses a
   * connection of its own.
   */
  readonly requestId: string;
  /**
   * True: uses a connection that carries this request only. What comes on it
   * can't be a late answer to another one, or to an earlier send of this one.
   */
  readonly usesOwnConnection?: boolean;
  /** True if the head alone is wanted, also one that proves nothing. */
  readonly isQuestion?: boolean;
  /** True if a success is passed on, which needs the endpoint's signature. */
  readonly needsSignature?: boolean;
}

/** Decodes the status and headers of a response. */
export type DecodeHead = (
  status: number,
  headers: readonly string[],
) => DecodedHead;

export interface EndpointExchangeOptions {
  readonly outgoing: OutgoingRequest;
  readonly timer: TimerService;
  readonly decodeHead: DecodeHead;
}

/** Errors of answers that prove nothing. */
const DOUBTS = {
  foreign: EXCHANGE_FOREIGN,
  unproven: EXCHANGE_UNPROVEN,
  spoiled: EXCHANGE_SPOILED,
} as const;

/** A request at an endpoint, from its send to the head of its answer. */
export class EndpointExchange implements Exchange {
  readonly answer: Promise<Result<EndpointResponse, ExchangeFailure>>;
  readonly #clientRequest: ClientRequest;
  readonly #options: EndpointExchangeOptions;
  readonly #sentAt: number;
  #settle!: (answer: Result<EndpointResponse, ExchangeFailure>) => void;
  readonly #connectTimeout: Subscription;
  /** Present while a part of a head has arrived. */
  #headTimeout: Subscription | undefined;
  #receivedHead: DecodedHead | undefined;
  #evidence: AnswerEvidence | undefined;
  #interimAnswers = 0;
  #isConnected = false;
  #hasHead = false;
  /** Why the entry itself has ended the exchange. */
  #reason: string | undefined;

  /** Takes a request that has not been ended, and ends it. */
  constructor(clientRequest: ClientRequest, options: EndpointExchangeOptions) {
    const { outgoing, timer } = options;
    this.#clientRequest = clientRequest;
    this.#options = options;
    this.#sentAt = timer.now();
    this.answer = new Promise((resolve) => this.#settle = resolve);
    this.#connectTimeout = timer.after(
      CONNECT_TIMEOUT_MILLISECONDS,
      () => this.#onConnectTimeout(),
    );
    clientRequest.on("socket", (socket) => this.#onSocket(socket));
    clientRequest.on("information", () => this.#onInterimAnswer());
    clientRequest.on("response", (incoming) => this.#onResponse(incoming));
    clientRequest.on("upgrade", (incoming, socket) => {
      this.#onResponse(incoming);
      socket.destroy();
    });
    clientRequest.on("error", (cause) => this.#fail(cause.message));
    clientRequest.on("close", () => this.#fail("the connection has closed"));
    const { body } = outgoing;
    clientRequest.end(body.length > 0 ? body : undefined);
  }

  /** Facts on the head of the answer; undefined until one has arrived. */
  get evidence(): AnswerEvidence | undefined {
    return this.#evidence;
  }

  /** The head that has arrived, also if it proves nothing on the request. */
  get receivedHead(): DecodedHead | undefined {
    return this.#receivedHead;
  }

  abort(): void {
    this.#end("aborted");
  }

  #onConnectTimeout(): void {
    if (this.#isConnected) return;
    this.#end(`no connection within ${CONNECT_TIMEOUT_MILLISECONDS} ms`);
  }

  #onSocket(socket: Socket): void {
    socket.setNoDelay(true);
    const onConnected = () => {
      this.#isConnected = true;
      this.#connectTimeout.cancel();
    };
    if (socket.connecting) socket.once("connect", onConnected);
    else onConnected();
    const onData = () => this.#onBytes();
    socket.on("data", onData);
    const stop = () => socket.off("data", onData);
    this.#clientRequest.once("response", stop);
    this.#clientRequest.once("close", stop);
  }

  /** Bounds the time for the rest of a head of which bytes have arrived. */
  #onBytes(): void {
    if (this.#hasHead || this.#headTimeout !== undefined) return;
    this.#headTimeout = this.#options.timer.after(
      HEAD_TIMEOUT_MILLISECONDS,
      () => this.#end(`no whole head within ${HEAD_TIMEOUT_MILLISECONDS} ms`),
    );
  }

  #onInterimAnswer(): void {
    this.#headTimeout?.cancel();
    this.#headTimeout = undefined;
    this.#interimAnswers += 1;
    if (this.#interimAnswers <= MAX_INTERIM_ANSWERS) return;
    this.#end(
      `${this.#interimAnswers} interim answers, at most ${MAX_INTERIM_ANSWERS}`,
    );
  }

  /** A throw ends this exchange, and not the process. */
  #onResponse(incoming: IncomingMessage): void {
    try {
      this.#acceptHead(incoming);
      this.#hasHead = true;
    } catch (cause) {
      this.#end(`the head can't be read: ${cause}`);
    }
  }

  #acceptHead(incoming: IncomingMessage): void {
    this.#headTimeout?.cancel();
    const { decodeHead, outgoing } = this.#options;
    const head = decodeHead(incoming.statusCode ?? 0, incoming.rawHeaders);
    this.#receivedHead = head;
    const evidence = this.#describe(head);
    this.#evidence = evidence;
    const verdict = judgeAnswer(evidence);
    if (verdict.kind === "doubtful" && !outgoing.isQuestion) {
      const { address } = outgoing;
      const definition = DOUBTS[verdict.reason];
      this.#settle(err(failure(definition, { ...evidence, address })));
      return void this.#clientRequest.destroy();
    }
    const notExecuted = verdict.kind === "not_run";
    const framing = framingOf(incoming, outgoing.method);
    this.#settle(
      ok(
        createResponse({ ...head, notExecuted }, {
          framing,
          incoming,
          timer: this.#options.timer,
        }),
      ),
    );
  }

  #describe(head: DecodedHead): AnswerEvidence {
    const { outgoing, timer } = this.#options;
    const { requestId } = outgoing;
    const isReused = this.#clientRequest.reusedSocket;
    return {
      status: head.status,
      hasRequestId: requestId !== "",
      echoedId: echoedIdOf(head.requestIds, requestId),
      claimsNotRun: head.claimsNotRun,
      signatures: outgoing.needsSignature ? head.signatures : undefined,
      hasForeignEncoding: hasForeignEncoding(head, outgoing),
      connection: isAlone(outgoing) ? "own" : isReused ? "reused" : "new",
      interimAnswers: this.#interimAnswers,
      milliseconds: Math.round(timer.now() - this.#sentAt),
    };
  }

  #end(reason: string): void {
    this.#reason ??= reason;
    this.#connectTimeout.cancel();
    this.#headTimeout?.cancel();
    this.#clientRequest.destroy();
  }

  #fail(cause: string): void {
    this.#connectTimeout.cancel();
    this.#headTimeout?.cancel();
    if (this.#hasHead) return;
    const { address } = this.#options.outgoing;
    const reason = this.#reason ?? cause;
    const definition = this.#isConnected ? EXCHANGE_LOST : EXCHANGE_NOT_SENT;
    this.#settle(err(failure(definition, { address, reason })));
  }
}

/** True for a request that uses a connection that carries nothing else. */
export function isAlone(
  { requestId, usesOwnConnection }: OutgoingRequest,
): boolean {
  return usesOwnConnection === true || requestId === "";
}

/** True if the body has an encoding that the request does not accept. */
function hasForeignEncoding(
  { contentEncodings }: DecodedHead,
  { headers }: OutgoingRequest,
): boolean {
  if (contentEncodings.length === 0) return false;
  const accepted = headers
    .filter((_, index) =>
      index % 2 === 1 && headers[index - 1].toLowerCase() === "accept-encoding"
    )
    .flatMap((text) => text.toLowerCase().split(","))
    .map((text) => text.split(";")[0].trim());
  return !accepted.includes("*") &&
    contentEncodings.some((each) => !accepted.includes(each));
}
