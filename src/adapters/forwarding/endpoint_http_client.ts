import { type IncomingMessage, request as openRequest } from "node:http";
import { connect } from "node:net";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { failure } from "../../core/errors/mod.ts";
import {
  type AnswerEvidence,
  type DecodedHead,
  echoedIdOf,
  judgeAnswer,
} from "../../core/forwarding/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type {
  BodyFraming,
  EndpointResponse,
  Exchange,
  ExchangeFailure,
} from "../../entry/forwarding/network_interfaces.ts";
import { detectReset, framingOf } from "../http_client/mod.ts";
import {
  EXCHANGE_FOREIGN,
  EXCHANGE_LOST,
  EXCHANGE_NOT_SENT,
  EXCHANGE_SPOILED,
  EXCHANGE_UNPROVEN,
} from "./errors.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";

/**
 * Connect timeout, for an endpoint that does not respond. TCP retransmits a
 * lost SYN after a second, which exceeds most callers' deadlines; a healthy
 * network connects within a few milliseconds.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 400;

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
  /** True if a success is passed on, which needs the endpoint's signature. */
  readonly needsSignature?: boolean;
}

/** Options of `EndpointHttpClient`. */
export interface EndpointHttpClientOptions {
  readonly timer: TimerService;
  /** Maximum number of connections to the endpoint at the address. */
  readonly mostConnections: (address: string) => number;
  /** Decodes the status and headers of a response. */
  readonly decodeHead: (
    status: number,
    headers: readonly string[],
  ) => DecodedHead;
}

/** HTTP client for endpoints with keep-alive connections. */
export class EndpointHttpClient {
  readonly #options: EndpointHttpClientOptions;
  readonly #agents = new Map<string, KeepAliveAgent>();

  constructor(options: EndpointHttpClientOptions) {
    this.#options = options;
  }

  send(outgoing: OutgoingRequest): Exchange {
    const { address, body, requestId, usesOwnConnection } = outgoing;
    const isAlone = usesOwnConnection === true || requestId === "";
    let connected = false;
    let reason: string | undefined;
    let evidence: AnswerEvidence | undefined;
    let interimAnswers = 0;
    const { timer } = this.#options;
    const sentAt = timer.now();
    const clientRequest = openRequest({
      host: hostOf(address),
      port: portOf(address),
      method: outgoing.method,
      path: outgoing.target,
      headers: [...outgoing.headers] as never,
      setHost: false,
      agent: isAlone ? false : this.#agentFor(address),
    });
    const connectTimeout = timer.after(
      CONNECT_TIMEOUT_MILLISECONDS,
      () => {
        if (connected) return;
        reason = `no connection within ${CONNECT_TIMEOUT_MILLISECONDS} ms`;
        clientRequest.destroy();
      },
    );
    clientRequest.on("socket", (socket) => {
      socket.setNoDelay(true);
      const onConnected = () => {
        connected = true;
        connectTimeout.cancel();
      };
      if (socket.connecting) socket.once("connect", onConnected);
      else onConnected();
    });
    const answer = new Promise<Result<EndpointResponse, ExchangeFailure>>(
      (resolve) => {
        clientRequest.on("information", () => interimAnswers += 1);
        clientRequest.on("response", (incoming) => {
          const head = this.#options.decodeHead(
            incoming.statusCode ?? 0,
            incoming.rawHeaders,
          );
          evidence = {
            status: head.status,
            hasRequestId: requestId !== "",
            echoedId: echoedIdOf(head.requestIds, requestId),
            claimsNotRun: head.claimsNotRun,
            signatures: outgoing.needsSignature ? head.signatures : undefined,
            hasForeignEncoding: hasForeignEncoding(head, outgoing),
            connection: isAlone
              ? "own"
              : clientRequest.reusedSocket
              ? "reused"
              : "new",
            interimAnswers,
            milliseconds: Math.round(timer.now() - sentAt),
          };
          const accepted = this.#acceptResponse(incoming, {
            head,
            evidence,
            outgoing,
          });
          if (accepted.isErr()) clientRequest.destroy();
          resolve(accepted);
        });
        clientRequest.on("error", (cause) => {
          connectTimeout.cancel();
          const definition = connected ? EXCHANGE_LOST : EXCHANGE_NOT_SENT;
          const errorValues = { address, reason: reason ?? cause.message };
          resolve(err(failure(definition, errorValues)));
        });
      },
    );
    clientRequest.end(body.length > 0 ? body : undefined);
    return {
      answer,
      get evidence() {
        return evidence;
      },
      abort() {
        connectTimeout.cancel();
        reason = "aborted";
        clientRequest.destroy();
      },
    };
  }

  /** Opens a connection and closes it without a request. */
  acceptsConnections(address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect(portOf(address), hostOf(address));
      const settle = (isAccepted: boolean) => {
        timeout.cancel();
        socket.destroy();
        resolve(isAccepted);
      };
      const timeout = this.#options.timer.after(
        CONNECT_TIMEOUT_MILLISECONDS,
        () => settle(false),
      );
      socket.on("connect", () => settle(true));
      socket.on("error", () => settle(false));
    });
  }

  /**
   * Closes the idle connections to an address whose endpoint is no longer
   * registered. Connections in use stay open: an endpoint completes its running
   * requests after its registration ends, and another endpoint may already use
   * the address.
   */
  closeIdleConnections(address: string): void {
    this.#agents.get(address)?.closeIdle();
  }

  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }

  #agentFor(address: string): KeepAliveAgent {
    let agent = this.#agents.get(address);
    if (agent === undefined) {
      agent = new KeepAliveAgent(this.#options.mostConnections(address));
      this.#agents.set(address, agent);
    }
    return agent;
  }

  #acceptResponse(
    incoming: IncomingMessage,
    { evidence, head, outgoing }: {
      readonly head: DecodedHead;
      readonly evidence: AnswerEvidence;
      readonly outgoing: OutgoingRequest;
    },
  ): Result<EndpointResponse, ExchangeFailure> {
    const verdict = judgeAnswer(evidence);
    if (verdict.kind === "doubtful") {
      const { address } = outgoing;
      const definition = DOUBTS[verdict.reason];
      return err(failure(definition, { ...evidence, address }));
    }
    const framing = framingOf(incoming, outgoing.method);
    const notExecuted = verdict.kind === "not_run";
    return ok(createResponse({ ...head, notExecuted }, { framing, incoming }));
  }
}

/** Errors of answers that prove nothing. */
const DOUBTS = {
  foreign: EXCHANGE_FOREIGN,
  unproven: EXCHANGE_UNPROVEN,
  spoiled: EXCHANGE_SPOILED,
} as const;

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

function createResponse(
  head: EndpointResponse["head"],
  { framing, incoming }: {
    readonly framing: BodyFraming;
    readonly incoming: IncomingMessage;
  },
): EndpointResponse {
  // On a keep-alive connection each response would add listeners to the socket.
  const wasReset = framing === "connection"
    ? detectReset(incoming.socket)
    : () => false;
  return {
    head,
    framing,
    read(onChunk, onEnd) {
      let ended = false;
      const end = (how: "whole" | "cut") => {
        if (ended) return;
        ended = true;
        onEnd(how);
      };
      incoming.on("data", onChunk);
      incoming.on("end", () => {
        end(incoming.complete && !wasReset() ? "whole" : "cut");
      });
      incoming.on("error", () => end("cut"));
      incoming.on("close", () => end("cut"));
    },
    pause: () => void incoming.pause(),
    resume: () => void incoming.resume(),
  };
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(":") + 1));
}
