import { request as openRequest } from "node:http";
import type { DecodedHead } from "../../core/forwarding/mod.ts";
import { type TimerService, withTimeout } from "../../core/time/mod.ts";
import type { EndpointResponse } from "../../entry/forwarding/network_interfaces.ts";
import {
  discardBody,
  readEntireBody,
} from "../../entry/forwarding/read_body.ts";
import { PacedAgent } from "../http_client/mod.ts";
import {
  type DecodeHead,
  EndpointExchange,
  isAlone,
  type OutgoingRequest,
} from "./endpoint_exchange.ts";
import { QuestionConnection } from "./endpoint_connection.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";

/** Largest head of a response, bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/** Options of `EndpointHttpClient`. */
export interface EndpointHttpClientOptions {
  readonly timer: TimerService;
  /** Maximum number of connections to the endpoint at the address. */
  readonly mostConnections: (address: string) => number;
  readonly decodeHead: DecodeHead;
}

/** Bounds on the answer to a call of the entry itself. */
export interface CallBounds {
  readonly maxBytes: number;
  readonly timeoutMilliseconds: number;
}

/** A call of the entry itself. */
export type OutgoingCall = Omit<OutgoingRequest, "requestId" | "body">;

const CALL_WITHOUT_BODY = { requestId: "", body: Buffer.alloc(0) } as const;

export interface AskOptions {
  readonly connection: QuestionConnection;
  readonly timeoutMilliseconds: number;
}

/** The whole answer to a call of the entry itself. */
export interface CallAnswer {
  readonly head: EndpointResponse["head"];
  readonly body: Buffer;
}

/** HTTP client for endpoints with keep-alive connections. */
export class EndpointHttpClient {
  readonly #options: EndpointHttpClientOptions;
  readonly #agents = new Map<string, KeepAliveAgent>();

  constructor(options: EndpointHttpClientOptions) {
    this.#options = options;
  }

  send(outgoing: OutgoingRequest): EndpointExchange {
    const agent = isAlone(outgoing)
      ? new PacedAgent()
      : this.#agentFor(outgoing.address);
    return this.#open(outgoing, agent);
  }

  #open(outgoing: OutgoingRequest, agent: PacedAgent): EndpointExchange {
    const { address } = outgoing;
    const clientRequest = openRequest({
      host: hostOf(address),
      port: portOf(address),
      method: outgoing.method,
      path: outgoing.target,
      headers: [...outgoing.headers] as never,
      setHost: false,
      maxHeaderSize: MAX_HEAD_BYTES,
      agent,
    });
    // Node drops headers beyond a number without an error; their size is bounded.
    clientRequest.maxHeadersCount = 0;
    return new EndpointExchange(clientRequest, { ...this.#options, outgoing });
  }

  /**
   * Sends a call of the entry itself, and reads its answer within the bounds;
   * undefined if there was none.
   */
  async call(
    outgoing: OutgoingCall,
    { maxBytes, timeoutMilliseconds }: CallBounds,
  ): Promise<CallAnswer | undefined> {
    const exchange = this.send({ ...outgoing, ...CALL_WITHOUT_BODY });
    const timeout = this.#options.timer.after(
      timeoutMilliseconds,
      () => exchange.abort(),
    );
    const response = await exchange.answer;
    const body = response.isOk()
      ? await readEntireBody(response.value, maxBytes)
      : undefined;
    timeout.cancel();
    if (response.isErr() || body === undefined) return undefined;
    return { head: response.value.head, body };
  }

  /**
   * Sends a call on the connection, which carries one at a time, and returns
   * the head of the answer, whatever that says of the call; undefined if there
   * was none in time.
   */
  async ask(
    outgoing: OutgoingCall,
    { connection, timeoutMilliseconds }: AskOptions,
  ): Promise<DecodedHead | undefined> {
    const { timer } = this.#options;
    const exchange = this.#open(
      { ...outgoing, ...CALL_WITHOUT_BODY, isQuestion: true },
      connection.agent,
    );
    const response = await withTimeout(exchange.answer, {
      timer,
      milliseconds: timeoutMilliseconds,
    });
    // Node reports no end of a call that waits behind another answer.
    if (response === undefined) exchange.abort();
    else if (response.isOk()) discardBody(response.value, timer);
    return exchange.receivedHead;
  }

  /** Opens a connection for a later call. */
  connect(address: string): QuestionConnection {
    return new QuestionConnection(
      { host: hostOf(address), port: portOf(address) },
      this.#options.timer,
    );
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
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(":") + 1));
}
