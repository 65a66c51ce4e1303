/** Calls to the platform and to endpoints over Node's http. */
import { Agent, type IncomingMessage, request } from "node:http";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import {
  HTTP_CLOSED,
  HTTP_NO_ANSWER,
  HTTP_NOT_SENT,
  HTTP_TOO_LARGE,
} from "./errors.ts";

/** `http_not_sent`: no byte left. The others: the call may have its effect. */
export type HttpFailure = Failure<
  "http_not_sent" | "http_no_answer" | "http_closed" | "http_too_large"
>;

/** A whole answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Names this state of what was asked for, where the service gives it. */
  readonly entityTag?: string;
}

/** What is sent. */
export interface HttpRequestOptions {
  readonly method: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /**
   * How text stands for bytes, both ways; UTF-8 where absent. Bodies that are
   * passed on and never read travel as latin1, which keeps every byte.
   */
  readonly encoding?: "utf8" | "latin1";
  /**
   * True: a connection of its own. On a kept connection that the service
   * closes at the same moment, a request that was never read looks like one
   * whose answer was lost; work that may run once only would then end as
   * "unknown" for no reason.
   */
  readonly ownConnection?: boolean;
}

export interface HttpCallOptions extends HttpRequestOptions {
  readonly timeoutMilliseconds: number;
  readonly mostResponseBytes: number;
}

/** A request that is under way. */
export interface HttpExchange {
  /** Settles when the head of the answer is there. */
  readonly response: Promise<Result<IncomingMessage, HttpFailure>>;
  /** Closes the connection. */
  abort(reason: string): void;
}

export interface HttpClientOptions {
  readonly timer: TimerService;
  /** Most connections at once; further calls wait for one. */
  readonly mostConnections?: number;
}

/** A service at one base URL, with kept connections. */
export class HttpClient {
  readonly #baseUrl: URL;
  readonly #timer: TimerService;
  readonly #agent: Agent;

  constructor(baseUrl: string, options: HttpClientOptions) {
    this.#baseUrl = new URL(baseUrl);
    this.#timer = options.timer;
    this.#agent = new Agent({
      keepAlive: true,
      noDelay: true,
      maxSockets: options.mostConnections ?? Infinity,
    });
  }

  /** Sends a request; the answer's body is the caller's to read. */
  open(path: string, options: HttpRequestOptions): HttpExchange {
    const url = this.#url(path);
    let connected = false;
    let abortReason: string | undefined;
    const outgoing = request(url, {
      method: options.method,
      agent: options.ownConnection ? false : this.#agent,
      headers: buildHeaders(options),
    });
    const response = new Promise<Result<IncomingMessage, HttpFailure>>(
      (resolve) => {
        outgoing.on("socket", (socket) => {
          if (!socket.connecting) connected = true;
          else socket.once("connect", () => connected = true);
        });
        outgoing.on("response", (incoming) => resolve(ok(incoming)));
        outgoing.on("error", (cause) => {
          const definition = connected ? HTTP_NO_ANSWER : HTTP_NOT_SENT;
          const reason = abortReason ?? errorReason(cause);
          resolve(err(failure(definition, { url: url.href, reason })));
        });
      },
    );
    outgoing.end(options.body, options.encoding ?? "utf8");
    return {
      response,
      abort(reason) {
        abortReason = reason;
        outgoing.destroy();
      },
    };
  }

  /** Sends a request and reads the whole answer, within time and size. */
  async call(
    path: string,
    options: HttpCallOptions,
  ): Promise<Result<HttpAnswer, HttpFailure>> {
    const exchange = this.open(path, options);
    const timeout = this.#timer.after(
      options.timeoutMilliseconds,
      () => exchange.abort(`no answer in ${options.timeoutMilliseconds} ms`),
    );
    const response = await exchange.response;
    const result = response.isErr()
      ? err(response.error)
      : await readResponse(response.value, {
        url: this.#url(path).href,
        maxBytes: options.mostResponseBytes,
        encoding: options.encoding ?? "utf8",
      });
    timeout.cancel();
    return result;
  }

  /** Closes kept connections. */
  close(): void {
    this.#agent.destroy();
  }

  #url(path: string): URL {
    const prefix = this.#baseUrl.pathname.replace(/\/$/, "");
    return new URL(prefix + path, this.#baseUrl);
  }
}

function buildHeaders(options: HttpRequestOptions): Record<string, string> {
  const headers: Record<string, string> = { ...options.headers };
  if (options.body !== undefined) {
    headers["content-length"] = String(
      Buffer.byteLength(options.body, options.encoding ?? "utf8"),
    );
  }
  return headers;
}

function errorReason(cause: Error): string {
  const code = (cause as NodeJS.ErrnoException).code;
  return code === undefined ? cause.message : `${code} ${cause.message}`.trim();
}

function readResponse(
  incoming: IncomingMessage,
  options: { url: string; maxBytes: number; encoding: BufferEncoding },
): Promise<Result<HttpAnswer, HttpFailure>> {
  const { url, maxBytes, encoding } = options;
  const chunks: Buffer[] = [];
  let bytesRead = 0;
  return new Promise((resolve) => {
    incoming.on("data", (chunk: Buffer) => {
      bytesRead += chunk.length;
      if (bytesRead > maxBytes) {
        resolve(err(failure(HTTP_TOO_LARGE, { url, limit: maxBytes })));
        incoming.destroy();
        return;
      }
      chunks.push(chunk);
    });
    incoming.on("end", () => {
      resolve(ok({
        status: incoming.statusCode ?? 0,
        contentType: incoming.headers["content-type"] ??
          "application/octet-stream",
        body: Buffer.concat(chunks).toString(encoding),
        headers: incoming.headers,
        entityTag: incoming.headers.etag,
      }));
    });
    const onClosedEarly = () => {
      resolve(err(failure(HTTP_CLOSED, { url })));
    };
    incoming.on("error", onClosedEarly);
    incoming.on("close", onClosedEarly);
  });
}

/** The value of a JSON text; undefined where it is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
