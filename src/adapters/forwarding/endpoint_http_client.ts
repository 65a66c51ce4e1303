import { request as openRequest } from "node:http";
import type { TimerService } from "../../core/time/mod.ts";
import type { EndpointResponse } from "../../entry/forwarding/network_interfaces.ts";
import { readEntireBody } from "../../entry/forwarding/read_body.ts";
import { PacedAgent } from "../http_client/mod.ts";
import {
  type DecodeHead,
  EndpointExchange,
  isAlone,
  type OutgoingRequest,
} from "./endpoint_exchange.ts";
import { SilentConnection } from "./endpoint_connection.ts";
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
    const { address } = outgoing;
    const clientRequest = openRequest({
      host: hostOf(address),
      port: portOf(address),
      method: outgoing.method,
      path: outgoing.target,
      headers: [...outgoing.headers] as never,
      setHost: false,
      maxHeaderSize: MAX_HEAD_BYTES,
      agent: isAlone(outgoing) ? new PacedAgent() : this.#agentFor(address),
    });
    return new EndpointExchange(clientRequest, { ...this.#options, outgoing });
  }

  /**
   * Sends a call of the entry itself, and reads its answer within the bounds;
   * undefined if there was none.
   */
  async call(
    outgoing: Omit<OutgoingRequest, "requestId" | "body">,
    { maxBytes, timeoutMilliseconds }: CallBounds,
  ): Promise<CallAnswer | undefined> {
    const exchange = this.send({
      ...outgoing,
      requestId: "",
      body: Buffer.alloc(0),
    });
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

  /** Opens a connection and closes it without a request. */
  async acceptsConnections(address: string): Promise<boolean> {
    const connection = this.connect(address);
    await connection.opened;
    const isAccepted = connection.state === "open";
    connection.close();
    return isAccepted;
  }

  /** Opens a connection that carries no request. */
  connect(address: string): SilentConnection {
    return new SilentConnection(
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
