/** Stand-ins of replicas that behave as the pages say, with planned faults. */
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import type { EventRecord } from "./record.ts";

/** Replicas announce it in whole seconds and close idle connections later. */
const IDLE_SECONDS = 15;

export interface ReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly workMilliseconds: number;
  readonly record: EventRecord;
}

/** What the replica answered to a request, by which answers are checked. */
export interface GivenAnswer {
  readonly seal: string;
  readonly body: string;
}

/** A replica of a plain service. */
export class Replica {
  readonly id: string;
  /** Requests that have run here, by request id. */
  readonly ran = new Map<string, number>();
  readonly given = new Map<string, GivenAnswer>();
  protected readonly options: ReplicaOptions;
  protected sequence = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #port = 0;

  constructor(options: ReplicaOptions) {
    this.id = options.id;
    this.options = options;
    this.#server = createServer(
      { noDelay: true },
      (request, response) => void this.#serve(request, response),
    );
    this.#server.keepAliveTimeout = IDLE_SECONDS * 1_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    for (const socket of this.#sockets) socket.destroy();
    return closed;
  }

  /** Value of the replica's key in the store. */
  registration(): Record<string, unknown> {
    const { service, slots, zone } = this.options;
    this.sequence += 1;
    return {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots,
      state: "ready",
      cold_remaining_ms: 0,
      sequence: this.sequence,
    };
  }

  /** Answers a call that is not a request of a caller; false if it is one. */
  protected answerCall(
    request: IncomingMessage,
    response: ServerResponse,
    _body: string,
  ): boolean {
    if (request.url !== "/healthz") return false;
    response.writeHead(200, { "x-instance-id": this.id }).end();
    return true;
  }

  /** Runs a request of a caller and answers it. */
  protected async run(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    await delay(this.options.workMilliseconds);
    this.sendAnswer(request, response, `${this.id} ran ${body.length} bytes`);
  }

  /** Called before a request is handled on its connection. */
  protected beforeRequest(_socket: Socket): void {}

  protected sendAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const requestId = requestIdOf(request);
    const seal = `${this.id}.${requestId}.${body.length}`;
    this.given.set(requestId, { seal, body });
    response.writeHead(200, {
      "x-request-id": requestId,
      "x-response-seal": seal,
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.beforeRequest(request.socket);
    const body = await readBody(request);
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return void response.writeHead(421, { "x-instance-id": this.id }).end();
    }
    if (this.answerCall(request, response, body)) return;
    const requestId = requestIdOf(request);
    if (requestId === "") {
      return void response.writeHead(400, { "x-not-executed": "1" }).end();
    }
    const { record } = this.options;
    this.ran.set(requestId, 1 + (this.ran.get(requestId) ?? 0));
    record.write("replica_runs", { replica: this.id, requestId });
    await this.run(request, response, body);
  }
}

export function requestIdOf(request: IncomingMessage): string {
  return String(request.headers["x-request-id"] ?? "");
}

async function readBody(request: IncomingMessage): Promise<string> {
  let body = "";
  request.setEncoding("latin1");
  try {
    for await (const chunk of request) body += chunk;
  } catch {
    // The entry has closed the connection.
  }
  return body;
}
