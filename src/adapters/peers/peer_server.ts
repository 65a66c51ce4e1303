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
import { runStep } from "../../core/time/mod.ts";
import { CoalescingWriter } from "../coalescing_writer/mod.ts";
import { paceConnections, readRequestBody } from "../http_server/mod.ts";
import { CANNOT_LISTEN } from "./errors.ts";
import { ATTEMPT_PATH, PEER_METHODS, RPC_PATH } from "./protocol.ts";

/** Handle of an attempt that runs at this side. */
export interface RunningAttempt {
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** JSON-RPC methods by name. */
export type PeerMethods = Readonly<
  Record<string, (parameters: never) => unknown>
>;

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly methods: PeerMethods;
  /** Sides only: runs an attempt and passes its frames to `emit`. */
  readonly runAttempt?: (
    attempt: AttemptRequest,
    emit: (frame: AttemptFrame) => void,
  ) => RunningAttempt;
  readonly mostBodyBytes: number;
  /** Called with what the handling of a request has thrown. */
  readonly onFault: (cause: unknown) => void;
  /** Renders the metrics in the Prometheus text format. */
  readonly metrics?: () => Promise<string>;
}

/** The method has no result at present, for example while the process stops. */
class NoResultError extends Error {
  override readonly name = "NoResultError";

  constructor(method: string) {
    super(`This process has no answer to ${method} at present`);
  }
}

const PARAMETER_VALIDATORS: Readonly<Record<string, Validator>> = {
  [PEER_METHODS.ask]: validateOnceQuestion,
  [PEER_METHODS.watch]: validateWatchQuestion,
  [PEER_METHODS.status]: validateStatusQuestion,
};
const FINAL_FRAME_KINDS: ReadonlySet<AttemptFrame["kind"]> = new Set([
  "end",
  "response",
  "not_run",
  "failed",
]);

/** HTTP server for the system's other processes. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: http.Server;
  // The error is sent to the calling process, which logs it with its reason.
  readonly #rpcServer = new JSONRPCServer({ errorListener: () => {} });

  constructor(options: PeerServerOptions) {
    this.#options = options;
    for (const [name, method] of Object.entries(options.methods)) {
      this.#addMethod(name, method);
    }
    this.#server = http.createServer((request, response) => {
      runStep(() => this.#handleRequest(request, response), (cause) => {
        options.onFault(cause);
        response.destroy();
      });
    });
    paceConnections(this.#server);
    // A long poll may take minutes; the client has its own timeout.
    this.#server.requestTimeout = 0;
  }

  /** Starts listening; returns the port. */
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

  /** Closes the server and all its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #addMethod(name: string, method: (parameters: never) => unknown): void {
    const validate = PARAMETER_VALIDATORS[name];
    this.#rpcServer.addMethod(name, async (rawParameters) => {
      // JSON-RPC allows a call without `params`.
      const parameters = rawParameters ?? {};
      if (validate !== undefined && !validate(parameters)) {
        throw new TypeError(`Parameters of ${name} do not fit the schema`);
      }
      const result = await method(parameters as never);
      if (result === undefined) throw new NoResultError(name);
      return result;
    });
  }

  async #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.method === "GET" && request.url === "/metrics") {
      response.end(await this.#options.metrics?.() ?? "");
      return;
    }
    const read = await readRequestBody(request, this.#options.mostBodyBytes);
    if (read.isErr()) {
      // The rest of the body is not read.
      response.writeHead(413, { connection: "close" }).end();
      return;
    }
    const body = read.value.toString("utf8");
    if (request.url === RPC_PATH) return this.#handleCall(body, response);
    if (request.url === ATTEMPT_PATH) return this.#runAttempt(body, response);
    response.writeHead(404).end();
  }

  async #handleCall(
    body: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const call = parseCall(body);
    if (call === undefined) {
      response.writeHead(400).end();
      return;
    }
    const rpcResponse = await this.#rpcServer.receive(call);
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(rpcResponse));
  }

  #runAttempt(body: string, response: http.ServerResponse): void {
    const attempt = parseAttempt(body);
    const runAttempt = this.#options.runAttempt;
    if (attempt === undefined || runAttempt === undefined) {
      response.writeHead(400).end();
      return;
    }
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    const writer = new FrameWriter(response);
    const runningAttempt = runAttempt(attempt, (frame) => writer.write(frame));
    writer.onBackpressure = () => runningAttempt.pause();
    response.on("drain", () => runningAttempt.resume());
    response.on("close", () => {
      if (!writer.ended) runningAttempt.cancel();
    });
  }
}

/** Writes the frames of an attempt; ignores frames after the final one. */
class FrameWriter {
  onBackpressure: (() => void) | undefined;
  readonly #writer: CoalescingWriter;
  #isEnded = false;

  constructor(response: http.ServerResponse) {
    this.#writer = new CoalescingWriter(
      response,
      () => this.onBackpressure?.(),
    );
  }

  get ended(): boolean {
    return this.#isEnded;
  }

  write(frame: AttemptFrame): void {
    if (this.#isEnded) return;
    const line = `${JSON.stringify(frame)}\n`;
    this.#isEnded = FINAL_FRAME_KINDS.has(frame.kind);
    if (this.#isEnded) this.#writer.end(line);
    else this.#writer.write(line);
  }
}

/**
 * Accepts a single call, never a batch. For a batch the library creates a
 * promise whose rejection is not handled, so `[null]` from any process would
 * terminate this one.
 */
function parseCall(body: string): JSONRPCRequest | undefined {
  try {
    const value: unknown = JSON.parse(body);
    const isObject = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    return isObject ? value as JSONRPCRequest : undefined;
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
