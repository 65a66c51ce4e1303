/** HTTP client for the platform's services and for endpoints. */
import { type IncomingMessage, request } from "node:http";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import { detectBrokenEnd, framingOf } from "./body_framing.ts";
import { hedgedCall } from "./hedged_call.ts";
import { limitIdleTime } from "./idle_limit.ts";
import { PacedAgent } from "./paced_agent.ts";
import { trackConnected } from "./track_connected.ts";
import {
  HTTP_CLOSED,
  HTTP_NO_ANSWER,
  HTTP_NOT_SENT,
  HTTP_TOO_LARGE,
} from "./errors.ts";

export { detectBrokenEnd, framingOf, hasNoBody } from "./body_framing.ts";
export { limitIdleTime } from "./idle_limit.ts";
export { openPaced, PacedAgent } from "./paced_agent.ts";
export { trackConnected } from "./track_connected.ts";

/**
 * `http_not_sent`: no byte was sent. With the other failures the call may have
 * taken effect.
 */
export type HttpFailure = Failure<
  "http_not_sent" | "http_no_answer" | "http_closed" | "http_too_large"
>;

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The `ETag` header, if the service sends one. */
  readonly entityTag?: string;
}

/** The request to send. */
export interface HttpRequestOptions {
  readonly method: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /**
   * Encoding of the request and response bodies; UTF-8 by default. Bodies that
   * are forwarded without being parsed use latin1, which preserves every byte.
   */
  readonly encoding?: "utf8" | "latin1";
  /**
   * True: uses a new connection. If the service closes a keep-alive connection
   * while a request is being sent on it, an unread request looks like one with
   * a lost response; non-idempotent work would then end as "unknown" although
   * it did not run.
   */
  readonly useNewConnection?: boolean;
}

/** A request with limits on time and response size. */
export interface HttpCallOptions extends HttpRequestOptions {
  readonly timeoutMilliseconds: number;
  readonly mostResponseBytes: number;
  /**
   * Whether a body that ends with its connection is complete, as its content
   * shows; `isSelfDelimitedJson` by default. The connection may have ended
   * before the body.
   */
  readonly isSelfDelimited?: (body: string) => boolean;
  /** Closes the connection of the call when it is aborted. */
  readonly signal?: AbortSignal;
}

/** An idempotent request that is sent again if there is no response. */
export interface HttpHedgedCallOptions extends HttpCallOptions {
  /** Time without a response after which the request is sent again. */
  readonly hedgeMilliseconds: number;
}

/** A request in progress. */
export interface HttpExchange {
  /** Settles when the response headers arrive or the request fails. */
  readonly response: Promise<Result<IncomingMessage, HttpFailure>>;
  /** Closes the connection. */
  abort(reason: string): void;
}

/** Options of an `HttpClient`. */
export interface HttpClientOptions {
  readonly timer: TimerService;
  /** Maximum number of connections; further calls wait for a free one. */
  readonly mostConnections?: number;
}

/** The first sending of a hedged request and one more. */
const MAX_SENDS = 2;

/** Client of the service at one base URL, with keep-alive connections. */
export class HttpClient {
  readonly #baseUrl: URL;
  readonly #timer: TimerService;
  readonly #agent: PacedAgent;

  constructor(baseUrl: string, options: HttpClientOptions) {
    this.#baseUrl = new URL(baseUrl);
    this.#timer = options.timer;
    this.#agent = limitIdleTime(
      new PacedAgent({
        keepAlive: true,
        noDelay: true,
        maxSockets: options.mostConnections ?? Infinity,
      }),
    );
  }

  /** Sends a request; the calling code reads the response body. */
  open(path: string, options: HttpRequestOptions): HttpExchange {
    const url = this.#url(path);
    let abortReason: string | undefined;
    const outgoing = request(url, {
      method: options.method,
      agent: options.useNewConnection ? new PacedAgent() : this.#agent,
      headers: buildHeaders(options),
    });
    // Node drops headers beyond a number without an error; their size is bounded.
    outgoing.maxHeadersCount = 0;
    const wasConnected = trackConnected(outgoing);
    const response = new Promise<Result<IncomingMessage, HttpFailure>>(
      (resolve) => {
        outgoing.on("response", (incoming) => resolve(ok(incoming)));
        outgoing.on("error", (cause) => {
          const definition = wasConnected() ? HTTP_NO_ANSWER : HTTP_NOT_SENT;
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

  /** Sends a request and reads the response, limited in time and size. */
  async call(
    path: string,
    options: HttpCallOptions,
  ): Promise<Result<HttpResponse, HttpFailure>> {
    const exchange = this.open(path, options);
    const timeout = this.#timer.after(
      options.timeoutMilliseconds,
      () =>
        exchange.abort(`no response within ${options.timeoutMilliseconds} ms`),
    );
    const { signal } = options;
    const onAbort = () => exchange.abort("the call was aborted");
    if (signal?.aborted) onAbort();
    else signal?.addEventListener("abort", onAbort);
    const response = await exchange.response;
    const result = response.isErr()
      ? err(response.error)
      : await readResponse(response.value, {
        url: this.#url(path).href,
        maxBytes: options.mostResponseBytes,
        encoding: options.encoding ?? "utf8",
        method: options.method,
        isSelfDelimited: options.isSelfDelimited ?? isSelfDelimitedJson,
      });
    timeout.cancel();
    signal?.removeEventListener("abort", onAbort);
    return result;
  }

  /**
   * Sends a request and, if there is no response, once more on a new
   * connection. If the new one is answered, the idle connections are closed:
   * the same fault may have silenced them.
   */
  async callHedged(
    path: string,
    options: HttpHedgedCallOptions,
  ): Promise<Result<HttpResponse, HttpFailure>> {
    const { hedgeMilliseconds, timeoutMilliseconds } = options;
    return await hedgedCall(async ({ index, signal }) => {
      const isHedge = index > 0;
      const result = await this.call(path, {
        ...options,
        signal,
        useNewConnection: isHedge,
        timeoutMilliseconds: timeoutMilliseconds - index * hedgeMilliseconds,
      });
      if (isHedge && result.isOk()) this.#closeIdleConnections();
      return result;
    }, {
      timer: this.#timer,
      delayMilliseconds: hedgeMilliseconds,
      maxSends: MAX_SENDS,
    });
  }

  #closeIdleConnections(): void {
    for (const sockets of Object.values(this.#agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Closes the keep-alive connections, including those in use. */
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
  options: {
    readonly url: string;
    readonly maxBytes: number;
    readonly encoding: BufferEncoding;
    readonly method: string;
    readonly isSelfDelimited: (body: string) => boolean;
  },
): Promise<Result<HttpResponse, HttpFailure>> {
  const { encoding, maxBytes, method, isSelfDelimited, url } = options;
  const endsWithConnection = framingOf(incoming, method) === "connection";
  const isBroken = endsWithConnection
    ? detectBrokenEnd(incoming.socket)
    : () => false;
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
      const body = Buffer.concat(chunks).toString(encoding);
      const isTruncated = isBroken() ||
        (endsWithConnection && !isSelfDelimited(body));
      if (isTruncated) return onClosedEarly();
      resolve(ok({
        status: incoming.statusCode ?? 0,
        contentType: incoming.headers["content-type"] ??
          "application/octet-stream",
        body,
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

/**
 * True for a JSON object or list, which does not parse if it is truncated, and
 * for an empty body. The start of a number is a number.
 */
export function isSelfDelimitedJson(body: string): boolean {
  return body === "" || /^\s*[[{]/.test(body) && parseJson(body) !== undefined;
}

/** Parses JSON; returns undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
