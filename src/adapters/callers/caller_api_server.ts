import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Failure } from "../../core/errors/mod.ts";
import { failure, stackOf } from "../../core/errors/mod.ts";
import type { RequestId } from "../../core/identity/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type {
  AnswerSink,
  CallerRequest,
  Refusal,
} from "../../core/requests/mod.ts";
import { runStep } from "../../core/time/mod.ts";
import {
  paceConnections,
  readRequestBody,
  stopListening,
} from "../http_server/mod.ts";
import type { Work } from "../../generated/messages.ts";
import {
  EventStreamSink,
  JsonCompletionSink,
  ServiceResponseSink,
} from "./response_sinks.ts";
import { CALLER_LISTEN_FAILED } from "./errors.ts";
import { invalidRequest, sendProblem } from "./problem.ts";
import {
  createServiceWork,
  parseCallerHeaders,
  parseChatCompletion,
} from "./request_parser.ts";
import { sendWhole } from "./whole_response.ts";

/** Handle of a request submitted to the core. */
export interface SubmittedRequest {
  /** Called when the caller closes the connection early. */
  cancel(): void;
  /** Called when the response's write buffer has drained. */
  drained(): void;
}

/** The functions of the entry's core that the API server uses. */
export interface CallerService {
  submit(request: CallerRequest, sink: AnswerSink): SubmittedRequest;
  models(): readonly string[];
  /**
   * Whether a plain service's route is idempotent; undefined: no such route.
   */
  routeIsIdempotent(method: string, path: string): boolean | undefined;
  readonly state: "starting" | "serving" | "draining";
}

/** Options of a `CallerApiServer`. */
export interface CallerApiServerOptions {
  readonly host: string;
  readonly port: number;
  readonly mostBodyBytes: number;
  readonly service: CallerService;
  readonly logger: Logger;
  /** Creates the id of a new request. */
  readonly newRequestId: () => RequestId;
  /** Seconds since the Unix epoch, for the `created` field of responses. */
  readonly wallClockSeconds: () => number;
  readonly metrics: () => Promise<string>;
}

/** Timeout for receiving the request headers and the complete request. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const MAX_HEADER_BYTES = 16 * 1024;
const CHAT_PATH = "/v1/chat/completions";
const BAD_REQUEST_RESPONSE =
  "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/** A request whose response has not ended. */
interface OpenRequest {
  readonly response: http.ServerResponse;
  /** Present once it has been submitted. */
  handle?: SubmittedRequest;
}

/** HTTP API server for callers, behind the platform's load balancer. */
export class CallerApiServer {
  readonly #options: CallerApiServerOptions;
  readonly #server: http.Server;
  /** Open requests of each connection, in the order of their responses. */
  readonly #open = new WeakMap<
    Socket,
    Map<http.IncomingMessage, OpenRequest>
  >();

  constructor(options: CallerApiServerOptions) {
    this.#options = options;
    this.#server = http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    }, (request, response) => {
      runStep(() => this.#onRequest(request, response), (cause) => {
        const { logger } = this.#options;
        logger.error(
          { problem: stackOf(cause) },
          "The handling of a caller's request has thrown",
        );
        response.destroy();
      });
    });
    // Node drops headers beyond a number without an error; their size is bounded.
    this.#server.maxHeadersCount = 0;
    paceConnections(this.#server);
    this.#server.on("connection", (socket) => this.#onConnection(socket));
    this.#server.on("clientError", (error, socket) => {
      this.#onClientError(error, socket as Socket);
    });
  }

  /** Starts listening; returns the port. */
  listen(): Promise<Result<number, Failure<"caller_listen_failed">>> {
    const { host, port } = this.#options;
    return new Promise((resolve) => {
      this.#server.once("error", (error) => {
        resolve(err(failure(CALLER_LISTEN_FAILED, {
          address: `${host}:${port}`,
          detail: error.message,
        })));
      });
      this.#server.listen(port, host, () => {
        resolve(ok((this.#server.address() as AddressInfo).port));
      });
    });
  }

  /**
   * Accepts what already waits and no more connections, and closes idle ones;
   * open requests continue.
   */
  stopListening(): void {
    stopListening(this.#server);
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #onConnection(socket: Socket): void {
    const open = new Map<http.IncomingMessage, OpenRequest>();
    this.#open.set(socket, open);
    socket.once("close", () => {
      // Responses that wait for earlier ones don't close with the connection.
      for (const request of open.keys()) this.#onClosed(request);
    });
  }

  #onRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#open.get(request.socket)?.set(request, { response });
    response.on("close", () => this.#onClosed(request));
    return this.#serve(request, response);
  }

  #onClosed(request: http.IncomingMessage): void {
    const open = this.#open.get(request.socket);
    const closed = open?.get(request);
    open?.delete(request);
    if (closed?.response.writableFinished === false) closed.handle?.cancel();
  }

  /**
   * Handles bytes that Node's parser rejects, for example conflicting length
   * headers. The connection is closed after the 400 response, which prevents
   * request smuggling. Responses to requests before them are completed instead:
   * their caller would read the 400 as one of them.
   */
  #onClientError(error: Error, socket: Socket): void {
    const fields = { error: error.message, from: socket.remoteAddress };
    const { logger } = this.#options;
    if (isDisconnect(error)) logger.debug(fields, "Caller disconnected");
    else {
      logger.warn(
        fields,
        "Caller sent an invalid HTTP request",
      );
    }
    if (!socket.writable) return void socket.destroy();
    const pending = [...this.#open.get(socket) ?? []]
      .filter(([request]) => request.complete).at(-1);
    if (pending === undefined) return void socket.end(BAD_REQUEST_RESPONSE);
    const [, { response }] = pending;
    response.on("close", () => socket.destroySoon());
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? "/").split("?")[0];
    const builtIn = BUILT_IN_HANDLERS[path];
    if (request.method === "GET" && builtIn !== undefined) {
      await builtIn(this.#options, response);
      return;
    }
    const body = await readRequestBody(request, this.#options.mostBodyBytes);
    if (body.isErr()) {
      const refusal = invalidRequest(body.error);
      this.#refuse(response, { refusal, request });
      return;
    }
    if (request.method === "POST" && path === CHAT_PATH) {
      this.#serveChat(request, { response, body: body.value });
    } else {
      this.#serveRoute(request, { response, body: body.value });
    }
  }

  #serveChat(
    request: http.IncomingMessage,
    context: { response: http.ServerResponse; body: Buffer },
  ): void {
    const chat = parseChatCompletion(context.body);
    if (chat.isErr()) {
      const { response } = context;
      this.#refuse(response, { refusal: chat.error, request });
      return;
    }
    const requestId = this.#options.newRequestId();
    const metadata = {
      id: requestId,
      created: this.#options.wallClockSeconds(),
      model: chat.value.work.model,
    };
    const sink = chat.value.stream
      ? new EventStreamSink(context.response, metadata)
      : new JsonCompletionSink(context.response, metadata);
    this.#submit(request, {
      requestId,
      work: chat.value.work,
      workspace: chat.value.user,
      sink,
      response: context.response,
    });
  }

  #serveRoute(
    request: http.IncomingMessage,
    context: { response: http.ServerResponse; body: Buffer },
  ): void {
    const { service } = this.#options;
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const idempotent = service.routeIsIdempotent(method, path);
    if (idempotent === undefined) {
      const refusal: Refusal = service.state === "starting"
        ? {
          kind: "not_run",
          reason: "not_configured",
          detail: "The entry has no configuration yet",
          retryAfterMilliseconds: 1000,
        }
        : {
          kind: "not_run",
          reason: "unknown_route",
          detail: `No service takes ${method} ${path.split("?")[0]}`,
        };
      this.#refuse(context.response, { refusal, request });
      return;
    }
    this.#submit(request, {
      requestId: this.#options.newRequestId(),
      work: createServiceWork(request, { body: context.body, idempotent }),
      workspace: undefined,
      sink: new ServiceResponseSink(context.response),
      response: context.response,
    });
  }

  #submit(
    request: http.IncomingMessage,
    submission: {
      requestId: RequestId;
      work: Work;
      workspace: string | undefined;
      sink: AnswerSink;
      response: http.ServerResponse;
    },
  ): void {
    const caller = parseCallerHeaders(request, {
      workspace: submission.workspace,
    });
    if (caller.isErr()) {
      this.#refuse(submission.response, { refusal: caller.error, request });
      return;
    }
    submission.response.setHeader("x-request-id", submission.requestId);
    const handle = this.#options.service.submit({
      ...caller.value,
      requestId: identifier(submission.requestId),
      work: submission.work,
    }, submission.sink);
    submission.response.on("drain", () => handle.drained());
    const openRequest = this.#open.get(request.socket)?.get(request);
    if (openRequest === undefined) handle.cancel();
    else openRequest.handle = handle;
  }

  #refuse(
    response: http.ServerResponse,
    context: { refusal: Refusal; request: http.IncomingMessage },
  ): void {
    this.#options.logger.info(
      {
        reason: context.refusal.reason,
        detail: context.refusal.detail,
        from: context.request.socket.remoteAddress,
      },
      "Request refused",
    );
    // The rest of a refused body is not read, so the connection must be closed.
    if (!context.request.complete) response.setHeader("connection", "close");
    sendProblem(response, context.refusal);
  }
}

/**
 * Whether the caller closed the connection; no fault for operators to act on.
 */
function isDisconnect(error: Error): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code === "ECONNRESET" || code === "EPIPE";
}

type BuiltInHandler = (
  options: CallerApiServerOptions,
  response: http.ServerResponse,
) => void | Promise<void>;

const BUILT_IN_HANDLERS: Readonly<Record<string, BuiltInHandler>> = {
  "/health": ({ service }, response) => {
    const status = service.state === "draining" ? 503 : 200;
    sendJson(response, { status, body: { state: service.state } });
  },
  "/ready": ({ service }, response) => {
    const status = service.state === "serving" ? 200 : 503;
    sendJson(response, { status, body: { state: service.state } });
  },
  "/metrics": async ({ metrics }, response) => {
    const headers = { "content-type": "text/plain; version=0.0.4" };
    sendWhole(response, { status: 200, headers, body: await metrics() });
  },
  "/v1/models": ({ service }, response) => {
    const data = service.models().map((id) => ({ id, object: "model" }));
    sendJson(response, { status: 200, body: { object: "list", data } });
  },
};

function sendJson(
  response: http.ServerResponse,
  reply: { status: number; body: unknown },
): void {
  const headers = { "content-type": "application/json" };
  const body = JSON.stringify(reply.body);
  sendWhole(response, { status: reply.status, headers, body });
}
