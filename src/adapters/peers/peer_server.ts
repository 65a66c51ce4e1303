import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Failure } from "../../core/errors/mod.ts";
import { failure } from "../../core/errors/mod.ts";
import type { AttemptFrame, AttemptRequest } from "../../generated/messages.ts";
import {
  validateAttemptRequest,
  validateOnceQuestion,
  validateStatusQuestion,
  validateWatchQuestion,
} from "../../generated/validators.js";
import type { Validator } from "../../generated/validators.js";
import { TurnWriter } from "../turn_writer/mod.ts";
import { CANNOT_LISTEN } from "./errors.ts";
import { ATTEMPT_PATH, CALL_PATH, PEER_METHODS } from "./protocol.ts";

/** What an entry holds of an attempt at a side. */
export interface ServedAttempt {
  cancel(): void;
  pause(): void;
  resume(): void;
}

export type PeerMethods = Readonly<
  Record<string, (parameters: never) => unknown>
>;

export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly methods: PeerMethods;
  /** Sides only: takes an attempt whose frames go to `emit`. */
  readonly runAttempt?: (
    attempt: AttemptRequest,
    emit: (frame: AttemptFrame) => void,
  ) => ServedAttempt;
  readonly mostBodyBytes: number;
  /** Text of the metrics page. */
  readonly metrics?: () => Promise<string>;
}

/** The process can't answer at present, for example because it leaves. */
class NoAnswer extends Error {
  override readonly name = "NoAnswer";

  constructor(method: string) {
    super(`This process has no answer to ${method} at present`);
  }
}

const PARAMETER_CHECKS: Readonly<Record<string, Validator>> = {
  [PEER_METHODS.ask]: validateOnceQuestion,
  [PEER_METHODS.watch]: validateWatchQuestion,
  [PEER_METHODS.status]: validateStatusQuestion,
};
const LAST_FRAME_KINDS: ReadonlySet<AttemptFrame["kind"]> = new Set([
  "end",
  "response",
  "not_run",
  "failed",
]);

/** Listens to the system's other processes. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: http.Server;
  // An error goes to the asking process, which logs it with its reason.
  readonly #calls = new JSONRPCServer({ errorListener: () => {} });

  constructor(options: PeerServerOptions) {
    this.#options = options;
    for (const [name, method] of Object.entries(options.methods)) {
      this.#addMethod(name, method);
    }
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    // A long poll may be quiet for minutes; the asking side has its own limit.
    this.#server.requestTimeout = 0;
  }

  /** Starts to listen; gives the port. */
  listen(): Promise<Result<number, Failure<"cannot_listen">>> {
    const { host, port } = this.#options;
    return new Promise((resolve) => {
      this.#server.once("error", (error) => {
        const address = `${host}:${port}`;
        resolve(
          err(failure(CANNOT_LISTEN, { address, detail: error.message })),
        );
      });
      this.#server.listen(port, host, () => {
        resolve(ok((this.#server.address() as AddressInfo).port));
      });
    });
  }

  /** Takes no new connections and drops those that are open. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #addMethod(name: string, method: (parameters: never) => unknown): void {
    const check = PARAMETER_CHECKS[name];
    this.#calls.addMethod(name, async (given) => {
      // JSON-RPC lets a call without parameters leave them out.
      const parameters = given ?? {};
      if (check !== undefined && !check(parameters)) {
        throw new TypeError(`Parameters of ${name} do not fit the schema`);
      }
      const answer = await method(parameters as never);
      if (answer === undefined) throw new NoAnswer(name);
      return answer;
    });
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.method === "GET" && request.url === "/metrics") {
      response.end(await this.#options.metrics?.() ?? "");
      return;
    }
    const body = await readBody(request, this.#options.mostBodyBytes);
    if (body === undefined) {
      response.writeHead(413).end();
      return;
    }
    if (request.url === CALL_PATH) return this.#serveCall(body, response);
    if (request.url === ATTEMPT_PATH) return this.#serveAttempt(body, response);
    response.writeHead(404).end();
  }

  async #serveCall(body: string, response: http.ServerResponse): Promise<void> {
    const call = parseCall(body);
    if (call === undefined) {
      response.writeHead(400).end();
      return;
    }
    const answer = await this.#calls.receive(call);
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(answer));
  }

  #serveAttempt(body: string, response: http.ServerResponse): void {
    const attempt = parseAttempt(body);
    const runAttempt = this.#options.runAttempt;
    if (attempt === undefined || runAttempt === undefined) {
      response.writeHead(400).end();
      return;
    }
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    const writer = new FrameWriter(response);
    const served = runAttempt(attempt, (frame) => writer.write(frame));
    writer.onFull = () => served.pause();
    response.on("drain", () => served.resume());
    response.on("close", () => {
      if (!writer.ended) served.cancel();
    });
  }
}

/** Writes frames to the entry up to the last one. */
class FrameWriter {
  onFull: (() => void) | undefined;
  readonly #writer: TurnWriter;
  #ended = false;

  constructor(response: http.ServerResponse) {
    this.#writer = new TurnWriter(response, () => this.onFull?.());
  }

  get ended(): boolean {
    return this.#ended;
  }

  write(frame: AttemptFrame): void {
    if (this.#ended) return;
    const line = `${JSON.stringify(frame)}\n`;
    this.#ended = LAST_FRAME_KINDS.has(frame.kind);
    if (this.#ended) this.#writer.end(line);
    else this.#writer.write(line);
  }
}

/**
 * One call, never a batch: the library answers a batch with a promise that
 * nobody holds, so that `[null]` from any process ended this one.
 */
function parseCall(body: string): JSONRPCRequest | undefined {
  try {
    const value: unknown = JSON.parse(body);
    const single = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    return single ? value as JSONRPCRequest : undefined;
  } catch {
    return undefined;
  }
}

function parseAttempt(body: string): AttemptRequest | undefined {
  try {
    const value: unknown = JSON.parse(body);
    return validateAttemptRequest(value) ? value as AttemptRequest : undefined;
  } catch {
    return undefined;
  }
}

/** The whole body, or nothing where it is longer than allowed or cut off. */
function readBody(
  request: http.IncomingMessage,
  mostBytes: number,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const pieces: Buffer[] = [];
    let length = 0;
    request.on("data", (piece: Buffer) => {
      length += piece.length;
      if (length > mostBytes) resolve(undefined);
      else pieces.push(piece);
    });
    request.on("end", () => resolve(Buffer.concat(pieces).toString("utf8")));
    request.on("error", () => resolve(undefined));
    request.on("close", () => resolve(undefined));
  });
}
