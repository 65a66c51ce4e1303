import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { ForwardedRequest } from "../../core/forwarding/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { CallerSink, Refusal } from "../../entry/forwarding/links.ts";
import { CallerResponse } from "./caller_response.ts";

/** Longest head that is read at all, bytes; the configuration's is smaller. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Bodies that all open requests may hold together, bytes. A burst of the largest
 * bodies would exceed a small VM's memory.
 */
const MAX_BUFFERED_BODY_BYTES = 48 * 1024 * 1024;
/**
 * How long idle connections stay open after a stop was requested. The balancer
 * takes up to two health checks to notice, and requests must not cross the close.
 */
const IDLE_CLOSE_DELAY_MILLISECONDS = 2_500;

/** When a caller that was refused by a stopping entry should come back. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 50;
/**
 * How long a connection stays open behind an answer that began before the stop and
 * so did not announce it: the caller may send its next request on it.
 */
const KEEP_ALIVE_AFTER_STOP_MILLISECONDS = 50;

/** How often the loop is seen to turn. */
const LOOP_SAMPLE_INTERVAL_MILLISECONDS = 50;
/**
 * Delay of the event loop from which on a request may have waited unread as long.
 * Whether its caller has left shows only in the next turn of the loop.
 */
const LOOP_DELAY_THRESHOLD_MILLISECONDS = 100;

/**
 * The answer to requests on a connection that was busy when the balancer had had
 * its time: a long answer that begins now would be cut when the process ends.
 */
const STOPPING_REFUSAL: Refusal = {
  status: 503,
  reason: "stopping",
  retryAfterMilliseconds: STOPPING_RETRY_AFTER_MILLISECONDS,
};

/** Limits on what callers may send; they follow the configuration. */
export interface CallerServerLimits {
  readonly mostHeaderBytes: number;
  readonly mostBodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** What the server needs of a request's head. */
export type DecodeRequest = (incoming: {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}) => ForwardedRequest;

export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly timer: TimerService;
  readonly limits: () => CallerServerLimits;
  readonly decode: DecodeRequest;
  readonly handle: (request: ForwardedRequest, sink: CallerSink) => void;
  /** Bytes came that are no request; the connection is closed. */
  readonly onProtocolError: (reason: string) => void;
}

/** Takes callers' requests whole and hands them on. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  #bufferedBodyBytes = 0;
  #openRequests = 0;
  #isStopping = false;
  /** True once the balancer has had its time: nothing more is handed on. */
  #isClosing = false;
  #idleCloseTimer: Subscription | undefined;
  #onDrained: (() => void) | undefined;
  /** Connections that have brought a request before. */
  readonly #usedConnections = new WeakSet<Socket>();
  #lastSampleAt = 0;
  #lastSampledDelay = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = createServer({
      keepAlive: true,
      noDelay: true,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      requireHostHeader: true,
    }, (incoming, outgoing) => this.#receive(incoming, outgoing));
    this.#server.on("clientError", (cause, socket) => {
      options.onProtocolError(cause.message);
      if (!socket.writable) return socket.destroy();
      socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
    });
  }

  get open(): number {
    return this.#openRequests;
  }

  listen(): Promise<void> {
    const { host, port } = this.#options;
    this.applyLimits();
    this.#sampleLoopDelay();
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 1_024 }, () => resolve());
    });
  }

  /** Takes over limits that the configuration has changed. */
  applyLimits(): void {
    if (this.#isStopping) return;
    const { headerMilliseconds, idleMilliseconds } = this.#options.limits();
    this.#server.headersTimeout = headerMilliseconds;
    this.#server.keepAliveTimeout = idleMilliseconds;
  }

  /**
   * Answers what is open and closes each connection behind its answer. Settles
   * when nothing is open any more.
   */
  stop(): Promise<void> {
    this.#isStopping = true;
    this.#server.keepAliveTimeout = KEEP_ALIVE_AFTER_STOP_MILLISECONDS;
    return new Promise((resolve) => {
      this.#idleCloseTimer = this.#options.timer.after(
        IDLE_CLOSE_DELAY_MILLISECONDS,
        () => {
          this.#isClosing = true;
          this.#server.close();
          this.#server.closeIdleConnections();
          this.#onDrained = resolve;
          if (this.#openRequests === 0) resolve();
        },
      );
    });
  }

  close(): void {
    this.#idleCloseTimer?.cancel();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(incoming: IncomingMessage, outgoing: ServerResponse): void {
    this.#openRequests += 1;
    const chunks: Buffer[] = [];
    let bodyBytes = 0;
    let refused = false;
    const sink = new CallerResponse(outgoing, () => this.#isStopping);
    outgoing.on("close", () => this.#onResponseClosed(bodyBytes));
    if (headerBytes(incoming) > this.#options.limits().mostHeaderBytes) {
      refused = true;
      sink.refuse({ status: 431, reason: "header_too_large" });
    }
    incoming.on("data", (chunk: Buffer) => {
      bodyBytes += chunk.length;
      this.#bufferedBodyBytes += chunk.length;
      if (refused) return;
      const refusal = this.#bodyRefusal(bodyBytes);
      if (refusal === undefined) return void chunks.push(chunk);
      refused = true;
      chunks.length = 0;
      sink.refuse(refusal);
    });
    incoming.on("error", () => {});
    incoming.on("end", () => {
      if (refused || sink.gone) return;
      if (this.#isClosing) return sink.refuse(STOPPING_REFUSAL);
      const request = this.#options.decode({
        method: incoming.method ?? "GET",
        target: incoming.url ?? "/",
        headers: incoming.rawHeaders,
        body: Buffer.concat(chunks),
      });
      this.#dispatch(request, { incoming, sink });
    });
  }

  #sampleLoopDelay(): void {
    const { timer } = this.#options;
    this.#lastSampleAt = timer.now();
    timer.every(LOOP_SAMPLE_INTERVAL_MILLISECONDS, () => {
      this.#lastSampledDelay = this.#currentDelay;
      this.#lastSampleAt = timer.now();
    });
  }

  get #currentDelay(): number {
    const elapsed = this.#options.timer.now() - this.#lastSampleAt;
    return Math.max(0, elapsed - LOOP_SAMPLE_INTERVAL_MILLISECONDS);
  }

  /**
   * How late the loop is; a request may have waited as long. Timers run before
   * what came meanwhile is read, so the delay of the last tick counts too.
   */
  get loopDelay(): number {
    return Math.max(this.#currentDelay, this.#lastSampledDelay);
  }

  /**
   * Hands a request on, but from a late loop and on a new connection only after
   * a further turn: by then a caller that has left meanwhile is seen to have
   * gone. What it waited unread in a late loop is taken off its time.
   *
   * Load on new connections: an entry that has just been started, to which all
   * callers of its zone connect. Node takes up one connection a turn, however
   * short the turns are; connections waited for 3.6 s, and 9 to 38 requests of
   * a day were sent on for callers that had left. A further turn takes 0.1 ms
   * where nothing waits.
   */
  #dispatch(
    request: ForwardedRequest,
    context: { readonly incoming: IncomingMessage; readonly sink: CallerSink },
  ): void {
    const { incoming, sink } = context;
    const loopDelay = this.loopDelay;
    const isFirst = !this.#usedConnections.has(incoming.socket);
    this.#usedConnections.add(incoming.socket);
    const isLate = loopDelay >= LOOP_DELAY_THRESHOLD_MILLISECONDS;
    if (!isLate && !isFirst) return this.#options.handle(request, sink);
    // The first callback still belongs to this turn of the loop.
    setImmediate(() =>
      setImmediate(() => {
        const { socket } = incoming;
        if (sink.gone || socket.destroyed || socket.readableEnded) return;
        const { deadlineMilliseconds } = request;
        this.#options.handle({
          ...request,
          ...(isLate && deadlineMilliseconds !== undefined && {
            deadlineMilliseconds: Math.max(0, deadlineMilliseconds - loopDelay),
          }),
        }, sink);
      })
    );
  }

  #bodyRefusal(bodyBytes: number): Refusal | undefined {
    if (bodyBytes > this.#options.limits().mostBodyBytes) {
      return { status: 413, reason: "body_too_large" };
    }
    if (this.#bufferedBodyBytes <= MAX_BUFFERED_BODY_BYTES) return undefined;
    return { status: 503, reason: "memory", retryAfterMilliseconds: 500 };
  }

  #onResponseClosed(bodyBytes: number): void {
    this.#openRequests -= 1;
    this.#bufferedBodyBytes -= bodyBytes;
    if (this.#openRequests === 0) this.#onDrained?.();
  }
}

/** Size of the request's line and headers as they came, about. */
function headerBytes(incoming: IncomingMessage): number {
  const { method, rawHeaders, url } = incoming;
  return rawHeaders.reduce(
    // Each name or value has two bytes behind it.
    (sum, text) => sum + text.length + 2,
    (method ?? "").length + (url ?? "").length,
  );
}
