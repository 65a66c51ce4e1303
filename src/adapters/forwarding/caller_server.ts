import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  type ForwardedRequest,
  LoopDelay,
  type PlannedStop,
  SmallPieceBudget,
} from "../../core/forwarding/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type {
  CallerSink,
  ForwardingRefusal,
} from "../../entry/forwarding/network_interfaces.ts";
import { paceConnections, stopListening } from "../http_server/mod.ts";
import { PieceJoiner } from "../paced_reads/mod.ts";
import { CallerResponse } from "./caller_response.ts";
import { HeldBodies } from "./held_bodies.ts";

/** Upper bound of the header size; the configured limit is smaller. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Limit for the bodies of all open requests together. A burst of the largest
 * bodies would exceed the memory of a small VM.
 */
const MAX_BUFFERED_BODY_BYTES = 48 * 1024 * 1024;
/**
 * How long a stopping entry that accepts no more connections waits for the
 * first request on those that it has just accepted.
 */
const FIRST_REQUEST_MILLISECONDS = 250;

/** Longest time in which answers are written at the end of a stop. */
const LAST_ANSWERS_MILLISECONDS = 50;

/** `Retry-After` of requests that a stopping entry refuses. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 50;
/**
 * How long a connection stays open after a response that started before the
 * stop. Its headers did not announce the close, so the caller may send its next
 * request on the connection.
 */
const KEEP_ALIVE_AFTER_STOP_MILLISECONDS = 50;

/** Interval at which the event-loop delay is sampled. */
const LOOP_SAMPLE_INTERVAL_MILLISECONDS = 50;
/**
 * Event-loop delay above which a request may have waited unread. Whether its
 * caller has disconnected is known only in the next iteration of the event
 * loop.
 */
const LOOP_DELAY_THRESHOLD_MILLISECONDS = 100;
/**
 * Event-loop delay that is reported: it uses up a good part of what callers
 * wait, and nothing else shows that the process did not run meanwhile.
 */
const REPORTED_DELAY_MILLISECONDS = 500;

/**
 * Refuses requests on a connection that was still in use when the load
 * balancer's grace period ended. A long response that starts now would be
 * truncated when the process exits.
 */
const STOPPING_REFUSAL: ForwardingRefusal = {
  status: 503,
  reason: "stopping",
  retryAfterMilliseconds: STOPPING_RETRY_AFTER_MILLISECONDS,
};

/** Methods of requests that have no body unless their headers announce one. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "DELETE",
  "OPTIONS",
]);

const BAD_REQUEST_RESPONSE =
  "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/** A request whose response has not ended. */
interface OpenRequest {
  readonly incoming: IncomingMessage;
  readonly sink: CallerResponse;
  /** Size of the body as far as it has been read. */
  bodyBytes: number;
  /** Present while the whole request waits for those before it. */
  start?: () => void;
}

/** Limits for requests of callers, taken from the current configuration. */
export interface CallerServerLimits {
  readonly mostHeaderBytes: number;
  readonly mostBodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** Converts an HTTP request to a request of the forwarding path. */
export type DecodeRequest = (incoming: {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}) => ForwardedRequest;

/** Options of a `CallerServer`. */
export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly timer: TimerService;
  /** Decides how long a stopping server takes connections. */
  readonly plannedStop: PlannedStop;
  readonly limits: () => CallerServerLimits;
  readonly decode: DecodeRequest;
  readonly handle: (request: ForwardedRequest, sink: CallerSink) => void;
  /**
   * Called for bytes that are not a valid request; the connection is closed.
   */
  readonly onProtocolError: (reason: string) => void;
  /** Called once for each long delay of the event loop, after its end. */
  readonly onLoopDelay?: (milliseconds: number) => void;
}

/**
 * HTTP server that buffers callers' requests and passes them on when complete.
 * The requests of a connection are passed on one after the other: if a response
 * is broken off, the answers to requests behind it would be lost.
 */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #heldBodies = new HeldBodies();
  #bufferedBodyBytes = 0;
  readonly #openRequests = new Set<OpenRequest>();
  /** Open requests of each connection, in the order of their responses. */
  readonly #pipelines = new Map<Socket, OpenRequest[]>();
  #isStopping = false;
  #isClosed = false;
  #onDrained: (() => void) | undefined;
  /** Connections that have not carried a whole request yet. */
  readonly #newConnections = new Set<Socket>();
  #lastSampleAt: number;
  #lastSampledDelay = 0;
  /** True while input is read that may have come before the last sample. */
  #readsEarlierInput = false;
  readonly #loopDelay = new LoopDelay();

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#lastSampleAt = options.timer.now();
    this.#server = createServer({
      keepAlive: true,
      noDelay: true,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      requireHostHeader: true,
    }, (incoming, outgoing) => this.#receive(incoming, outgoing));
    // Node drops headers beyond a number without an error; their size is bounded.
    this.#server.maxHeadersCount = 0;
    paceConnections(this.#server);
    this.#server.on("connection", (socket) => this.#onConnection(socket));
    this.#server.on("clientError", (cause, socket) => {
      options.onProtocolError(cause.message);
      this.#onInvalidBytes(socket as Socket);
    });
  }

  /** Number of open requests. */
  get openRequests(): number {
    return this.#openRequests.size;
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

  /** Applies the timeouts of a new configuration to the server. */
  applyLimits(): void {
    if (this.#isStopping) return;
    const { headerMilliseconds, idleMilliseconds } = this.#options.limits();
    this.#server.headersTimeout = headerMilliseconds;
    this.#server.keepAliveTimeout = idleMilliseconds;
  }

  /**
   * Completes open requests and closes each connection after its response.
   * Settles when no request is open and no new connection may bring one.
   */
  async stop(): Promise<void> {
    this.#options.plannedStop.request();
    this.#isStopping = true;
    this.#server.keepAliveTimeout = KEEP_ALIVE_AFTER_STOP_MILLISECONDS;
    await this.#options.plannedStop.listeningEnd();
    if (this.#isClosed) return;
    await new Promise<void>((resolve) => this.#endListening(resolve));
  }

  /** Stops listening, and waits for what the last connections bring. */
  #endListening(onDrained: () => void): void {
    stopListening(this.#server, () => {
      this.#onDrained = onDrained;
      this.#resolveIfDrained();
      this.#options.timer.after(FIRST_REQUEST_MILLISECONDS, () => {
        this.#newConnections.clear();
        this.#resolveIfDrained();
      });
    });
  }

  #onConnection(socket: Socket): void {
    const pipeline: OpenRequest[] = [];
    this.#newConnections.add(socket);
    this.#pipelines.set(socket, pipeline);
    socket.once("close", () => {
      this.#newConnections.delete(socket);
      this.#pipelines.delete(socket);
      // Responses that wait for earlier ones don't close with the connection.
      for (const each of pipeline) this.#onResponseClosed(each);
      this.#resolveIfDrained();
    });
  }

  #resolveIfDrained(): void {
    const isDrained = this.#openRequests.size === 0 &&
      this.#newConnections.size === 0;
    if (isDrained) this.#onDrained?.();
  }

  /**
   * Refuses requests that have not reached a handler or are still being read.
   * Resolves once the callers of all requests have their answers, or after a
   * short time.
   */
  endOpenRequests(): Promise<void> {
    for (const openRequest of this.#openRequests) {
      openRequest.start = undefined;
      const { sink } = openRequest;
      if (!sink.hasBegun) sink.refuse(STOPPING_REFUSAL);
    }
    return new Promise((resolve) => {
      this.#onDrained = resolve;
      this.#newConnections.clear();
      this.#resolveIfDrained();
      this.#options.timer.after(LAST_ANSWERS_MILLISECONDS, resolve);
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#server.close();
    for (const { sink } of this.#openRequests) sink.breakOff();
    this.#server.closeAllConnections();
  }

  /**
   * Answers bytes that are not a request. Responses to requests before them on
   * the connection are completed first: the caller would read the answer to
   * the invalid bytes as a part of their bodies.
   */
  #onInvalidBytes(socket: Socket): void {
    if (!socket.writable) return void socket.destroy();
    const pending = [...this.#openRequests].filter(({ incoming }) =>
      incoming.socket === socket && incoming.complete
    );
    const last = pending.at(-1);
    if (last === undefined) return void socket.end(BAD_REQUEST_RESPONSE);
    last.sink.onClosed(() => socket.destroySoon());
  }

  #receive(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const chunks: Buffer[] = [];
    let refused = false;
    const sink = new CallerResponse(outgoing, {
      isStopping: () => this.#isStopping,
      heldBodies: this.#heldBodies,
    });
    const openRequest: OpenRequest = { incoming, sink, bodyBytes: 0 };
    this.#openRequests.add(openRequest);
    this.#pipelines.get(incoming.socket)?.push(openRequest);
    outgoing.on("close", () => {
      this.#onResponseClosed(openRequest);
      this.#startNext(incoming.socket);
    });
    if (headerBytes(incoming) > this.#options.limits().mostHeaderBytes) {
      refused = true;
      sink.refuse({ status: 431, reason: "header_too_large" });
    } else if (hasUnknownLength(incoming)) {
      refused = true;
      sink.refuse({ status: 411, reason: "length_required" });
    }
    const budget = new SmallPieceBudget(this.#options.timer.now());
    let isEnded = false;
    const joiner = new PieceJoiner((bytes) => void chunks.push(bytes));
    incoming.on("data", (chunk: Buffer) => {
      if (isEnded) return;
      if (this.#openRequests.has(openRequest)) {
        openRequest.bodyBytes += chunk.length;
        this.#bufferedBodyBytes += chunk.length;
      }
      const exceeded = budget.spend(
        chunk.length,
        () => this.#options.timer.now(),
      );
      if (exceeded !== undefined) {
        isEnded = refused = true;
        chunks.length = 0;
        return this.#endBody(openRequest, exceeded);
      }
      if (refused) return;
      const refusal = this.#bodyRefusal(openRequest.bodyBytes);
      if (refusal === undefined) return joiner.push(chunk);
      refused = true;
      chunks.length = 0;
      sink.refuse(refusal);
    });
    incoming.on("error", () => {});
    incoming.on("end", () => {
      if (refused || sink.isDisconnected) return;
      joiner.flush();
      const readAt = this.#options.timer.now();
      openRequest.start = () => {
        if (!this.#options.plannedStop.takesRequests) {
          return sink.refuse(STOPPING_REFUSAL);
        }
        const waitedMilliseconds = this.#options.timer.now() - readAt;
        const body = Buffer.concat(chunks);
        this.#decode(incoming, { sink, body, waitedMilliseconds });
      };
      this.#startNext(incoming.socket);
    });
  }

  /** Passes on the first open request of a connection if it waits. */
  #startNext(socket: Socket): void {
    const next = this.#pipelines.get(socket)?.at(0);
    // A connection that ends behind the last response carries no further one.
    if (next?.start === undefined || !socket.writable) return;
    const { start } = next;
    next.start = undefined;
    start();
  }

  /** Refuses a body of too many pieces, and reads no more of it. */
  #endBody({ incoming, sink }: OpenRequest, exceeded: string): void {
    this.#options.onProtocolError(`a request body has ${exceeded}`);
    sink.refuse({ status: 413, reason: "too_many_pieces" });
    incoming.socket.destroy();
  }

  /** Decodes a request and passes it on; a throw ends this request only. */
  #decode(
    incoming: IncomingMessage,
    { body, sink, waitedMilliseconds }: {
      readonly sink: CallerSink;
      readonly body: Buffer;
      readonly waitedMilliseconds: number;
    },
  ): void {
    try {
      const request = this.#options.decode({
        method: incoming.method ?? "GET",
        target: incoming.url ?? "/",
        headers: incoming.rawHeaders,
        body,
      });
      this.#dispatch(request, { incoming, sink, waitedMilliseconds });
    } catch (cause) {
      this.#options.onProtocolError(`a request has thrown: ${cause}`);
      sink.refuse({ status: 502, reason: "internal_error" });
    }
  }

  #sampleLoopDelay(): void {
    const { timer } = this.#options;
    this.#lastSampleAt = timer.now();
    timer.every(LOOP_SAMPLE_INTERVAL_MILLISECONDS, () => {
      this.#lastSampledDelay = this.#currentDelay;
      this.#loopDelay.record(this.#lastSampledDelay);
      if (this.#lastSampledDelay >= REPORTED_DELAY_MILLISECONDS) {
        this.#options.onLoopDelay?.(this.#lastSampledDelay);
      }
      this.#lastSampleAt = timer.now();
      this.#readsEarlierInput = true;
      // Runs once the input that was pending has been read.
      setImmediate(() => this.#readsEarlierInput = false);
    });
  }

  get #currentDelay(): number {
    const elapsed = this.#options.timer.now() - this.#lastSampleAt;
    return Math.max(0, elapsed - LOOP_SAMPLE_INTERVAL_MILLISECONDS);
  }

  /**
   * Event-loop delay; a request may have waited this long. Timers run before
   * pending input is read, so the delay of the last sample counts too.
   */
  get loopDelayMilliseconds(): number {
    return Math.max(this.#currentDelay, this.#lastSampledDelay);
  }

  /** Event-loop delay that has lasted for several samples. */
  get lastingLoopDelayMilliseconds(): number {
    return this.#loopDelay.lastingMilliseconds(this.#currentDelay);
  }

  /**
   * Passes a request to the handler. If the event loop is late or the
   * connection is new, it waits for one more event-loop iteration, in which a
   * caller that has disconnected is detected. The request names the time that
   * it may have spent unread, and that of the iteration.
   *
   * New connections matter when an entry has just started and all callers of
   * its zone connect to it. Node accepts one connection per event-loop
   * iteration, so connections waited for up to 3.6 s, and 9 to 38 requests a
   * day were forwarded for callers that had disconnected. The extra iteration
   * takes 0.1 ms when the event loop is idle.
   */
  #dispatch(
    request: ForwardedRequest,
    context: {
      readonly incoming: IncomingMessage;
      readonly sink: CallerSink;
      /** Time for which it waited for the requests before it. */
      readonly waitedMilliseconds: number;
    },
  ): void {
    const { incoming, sink, waitedMilliseconds } = context;
    const readAt = this.#options.timer.now();
    const loopDelayMilliseconds = this.loopDelayMilliseconds;
    const isFirst = this.#newConnections.delete(incoming.socket);
    const unreadMilliseconds = this.#unreadMilliseconds(isFirst);
    const isLate = loopDelayMilliseconds >= LOOP_DELAY_THRESHOLD_MILLISECONDS;
    if (!isLate && !isFirst) {
      return this.#options.handle(
        waitedMilliseconds > 0
          ? { ...request, unreadMilliseconds: waitedMilliseconds }
          : request,
        sink,
      );
    }
    // The first callback still runs in the current event-loop iteration.
    setImmediate(() =>
      setImmediate(() => {
        const { socket } = incoming;
        if (
          sink.isDisconnected || socket.destroyed || socket.readableEnded
        ) return;
        const sinceRead = this.#options.timer.now() - readAt;
        const before = Math.max(
          waitedMilliseconds,
          isLate ? unreadMilliseconds : 0,
        );
        this.#options.handle({
          ...request,
          unreadMilliseconds: sinceRead + before,
        }, sink);
      })
    );
  }

  /** Longest time for which the request that has been read may have waited. */
  #unreadMilliseconds(isFirst: boolean): number {
    if (this.#readsEarlierInput) {
      // It may have come before the last sample and waits for all that is read
      // before it in the same turn.
      const sinceSample = this.#options.timer.now() - this.#lastSampleAt;
      return this.#lastSampledDelay + sinceSample;
    }
    // The first request of a connection may have waited to be accepted.
    return isFirst ? this.loopDelayMilliseconds : this.#currentDelay;
  }

  #bodyRefusal(bodyBytes: number): ForwardingRefusal | undefined {
    if (bodyBytes > this.#options.limits().mostBodyBytes) {
      return { status: 413, reason: "body_too_large" };
    }
    if (this.#bufferedBodyBytes <= MAX_BUFFERED_BODY_BYTES) return undefined;
    return { status: 503, reason: "memory", retryAfterMilliseconds: 500 };
  }

  #onResponseClosed(openRequest: OpenRequest): void {
    if (!this.#openRequests.delete(openRequest)) return;
    const pipeline = this.#pipelines.get(openRequest.incoming.socket);
    pipeline?.splice(pipeline.indexOf(openRequest), 1);
    this.#bufferedBodyBytes -= openRequest.bodyBytes;
    this.#resolveIfDrained();
  }
}

/**
 * True if only the end of the connection could show where the body ends, as in
 * requests of HTTP/1.0 without a length. Node takes their bodies for empty.
 */
function hasUnknownLength(
  { headers, httpVersion, method }: IncomingMessage,
): boolean {
  return httpVersion === "1.0" && !METHODS_WITHOUT_BODY.has(method ?? "") &&
    headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/** Approximate size of the request line and headers as received. */
function headerBytes(incoming: IncomingMessage): number {
  const { method, rawHeaders, url } = incoming;
  return rawHeaders.reduce(
    // Each name or value is followed by two bytes.
    (sum, text) => sum + text.length + 2,
    (method ?? "").length + (url ?? "").length,
  );
}
