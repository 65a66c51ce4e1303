/** HTTP client of the endpoint that a side serves. */
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import type {
  CacheReference,
  EndpointFailure,
  EndpointLink,
  EngineObservation,
  GenerationCall,
  ServiceResponse,
} from "../../core/links/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { EngineTarget } from "../../generated/log_records.ts";
import type {
  AttemptRequest,
  CacheHandover,
  GenerationWork,
  ServiceWork,
} from "../../generated/messages.ts";
import type { EngineStatus } from "../../generated/platform.ts";
import { validateEngineStatus } from "../../generated/validators.js";
import { HttpClient, type HttpFailure, parseJson } from "../http_client/mod.ts";
import {
  ENDPOINT_CLOSED,
  ENDPOINT_ERROR,
  ENDPOINT_GARBAGE,
  ENDPOINT_REFUSED,
  ENDPOINT_UNREACHABLE,
  ORDER_FENCED,
} from "./errors.ts";
import { type GenerationEnd, GenerationReader } from "./generation.ts";

const DEFAULT_MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** A healthy engine responds to status queries and orders immediately. */
const DEFAULT_CONTROL_TIMEOUT_MILLISECONDS = 2_000;
const MAX_CONTROL_RESPONSE_BYTES = 256 * 1024;
/** Bounds of the statuses of final responses; callers can't use others. */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Options of an `HttpEndpointLink`. */
export interface HttpEndpointLinkOptions {
  readonly timer: TimerService;
  /** Maximum size of a response, buffered or streamed, in bytes. */
  readonly mostResponseBytes?: number;
  readonly controlTimeoutMilliseconds?: number;
}

/** One model engine or plain service at a URL. */
export class HttpEndpointLink implements EndpointLink {
  readonly #url: string;
  readonly #client: HttpClient;
  readonly #timer: TimerService;
  readonly #mostResponseBytes: number;
  readonly #controlTimeoutMilliseconds: number;

  constructor(url: string, options: HttpEndpointLinkOptions) {
    this.#url = url;
    this.#timer = options.timer;
    this.#client = new HttpClient(url, { timer: options.timer });
    this.#mostResponseBytes = options.mostResponseBytes ??
      DEFAULT_MAX_RESPONSE_BYTES;
    this.#controlTimeoutMilliseconds = options.controlTimeoutMilliseconds ??
      DEFAULT_CONTROL_TIMEOUT_MILLISECONDS;
  }

  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    const { cache } = attempt;
    if (cache === undefined) return this.#generate(attempt, onToken);
    return deferGeneration(
      this.#importCache(cache),
      () => this.#generate(attempt, onToken),
    );
  }

  async exportCache(
    attempt: AttemptRequest,
    tokens: readonly string[],
  ): Promise<Result<CacheReference, EndpointFailure>> {
    const work = attempt.work as GenerationWork;
    const response = await this.#sendControl(
      "POST",
      "/kv/export",
      JSON.stringify({
        model: work.model,
        messages: work.messages,
        resume_tokens: tokens,
      }),
    );
    if (response.isErr()) return err(response.error);
    const value = parseJson(response.value.body);
    if (response.value.status === 200 && isRecord(value)) return ok(value);
    const reason = `status ${response.value.status} to a cache export`;
    return err(failure(ENDPOINT_ERROR, { url: this.#url, reason }));
  }

  /** The result is ignored: an engine recomputes what it cannot import. */
  async #importCache(cache: CacheHandover): Promise<void> {
    await this.#sendControl(
      "POST",
      "/kv/import",
      JSON.stringify(cache.reference),
    );
  }

  #generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    const exchange = this.#client.open("/v1/chat/completions", {
      method: "POST",
      headers: buildHeaders(attempt, "application/json"),
      body: JSON.stringify(buildCompletionBody(attempt)),
      // Nothing in an answer shows which request it belongs to, so it must not
      // share a connection with a late answer to another one.
      useNewConnection: true,
    });
    let paused = false;
    let cancelled = false;
    const incoming = exchange.response.then((response) => {
      if (response.isOk() && paused) response.value.pause();
      return response;
    });
    const finished = incoming.then((response): Promise<GenerationEnd> => {
      if (response.isErr()) {
        return Promise.resolve(err(this.#toEndpointFailure(response.error)));
      }
      const rejection = this.#responseFailure(
        response.value.statusCode ?? 0,
        response.value.headers["content-type"],
      );
      if (rejection !== undefined) {
        response.value.resume();
        exchange.abort("refused");
        return Promise.resolve(err(rejection));
      }
      const reader = new GenerationReader(response.value, {
        url: this.#url,
        maxBytes: this.#mostResponseBytes,
        onToken: (text) => {
          if (!cancelled) onToken(text);
        },
      });
      // Adding a data listener switches the stream to flowing mode.
      if (paused) response.value.pause();
      return reader.finished;
    });
    const setPaused = (value: boolean) => {
      paused = value;
      this.#timer.run(async () => {
        const response = await incoming;
        if (response.isErr()) return;
        if (paused) response.value.pause();
        else response.value.resume();
      });
    };
    return {
      finished,
      cancel() {
        cancelled = true;
        exchange.abort("cancelled");
      },
      pause: () => setPaused(true),
      resume: () => setPaused(false),
    };
  }

  async call(
    attempt: AttemptRequest,
  ): Promise<Result<ServiceResponse, EndpointFailure>> {
    const work = attempt.work as ServiceWork;
    const response = await this.#client.call(work.path, {
      // A plain service may answer anything, and end it with its connection.
      isSelfDelimited: () => true,
      method: work.method,
      headers: buildHeaders(attempt, work.contentType),
      body: work.body === "" ? undefined : work.body,
      useNewConnection: true,
      encoding: "latin1",
      timeoutMilliseconds: attempt.deadlineMilliseconds,
      mostResponseBytes: this.#mostResponseBytes,
    });
    if (response.isErr()) return err(this.#toEndpointFailure(response.error));
    const { status } = response.value;
    if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
      const reason = `status ${status}`;
      return err(failure(ENDPOINT_GARBAGE, { url: this.#url, reason }));
    }
    return ok(response.value);
  }

  async observe(): Promise<Result<EngineObservation, EndpointFailure>> {
    const response = await this.#sendControl("GET", "/status");
    if (response.isErr()) return err(response.error);
    const value = parseJson(response.value.body);
    if (response.value.status !== 200 || !validateEngineStatus(value)) {
      const reason = `status ${response.value.status} without a usable report`;
      return err(failure(ENDPOINT_GARBAGE, { url: this.#url, reason }));
    }
    const status = value as EngineStatus;
    return ok({
      role: status.role,
      models: status.models,
      weights: status.weights,
      changing: status.changing,
      running: status.running,
      waiting: status.waiting,
      ageMilliseconds: status.age_milliseconds,
    });
  }

  async order(
    target: EngineTarget,
    fencing: number,
  ): Promise<Result<void, EndpointFailure | Failure<"order_fenced">>> {
    const response = await this.#sendControl(
      "POST",
      "/orders",
      JSON.stringify({ target, fencing }),
    );
    if (response.isErr()) return err(response.error);
    const { status } = response.value;
    if (status === 409) {
      return err(failure(ORDER_FENCED, { url: this.#url, fencing }));
    }
    if (status >= 200 && status < 300) return ok(undefined);
    const definition = status < 500 ? ENDPOINT_REFUSED : ENDPOINT_ERROR;
    return err(
      failure(definition, { url: this.#url, reason: `status ${status}` }),
    );
  }

  /** Closes the keep-alive connections, including those in use. */
  close(): void {
    this.#client.close();
  }

  async #sendControl(method: string, path: string, body?: string) {
    const response = await this.#client.call(path, {
      method,
      headers: body === undefined
        ? undefined
        : { "content-type": "application/json" },
      body,
      timeoutMilliseconds: this.#controlTimeoutMilliseconds,
      mostResponseBytes: MAX_CONTROL_RESPONSE_BYTES,
    });
    return response.mapErr((error) => this.#toEndpointFailure(error));
  }

  #toEndpointFailure(error: HttpFailure): EndpointFailure {
    const errorValues = { url: this.#url, reason: error.message };
    switch (error.name) {
      case "http_not_sent":
        return failure(ENDPOINT_REFUSED, errorValues);
      case "http_too_large":
        return failure(ENDPOINT_GARBAGE, errorValues);
      case "http_closed":
        return failure(ENDPOINT_CLOSED, errorValues);
      default:
        return failure(ENDPOINT_UNREACHABLE, errorValues);
    }
  }

  /** The failure that the response headers indicate, if any. */
  #responseFailure(
    status: number,
    contentType: string | undefined,
  ): EndpointFailure | undefined {
    const errorValues = { url: this.#url, reason: `status ${status}` };
    if (status === 503 || (status >= 400 && status < 500)) {
      return failure(ENDPOINT_REFUSED, errorValues);
    }
    if (status !== 200) return failure(ENDPOINT_ERROR, errorValues);
    if (!contentType?.startsWith("text/event-stream")) {
      const reason = `content type "${contentType ?? ""}"`;
      return failure(ENDPOINT_GARBAGE, { url: this.#url, reason });
    }
    return undefined;
  }
}

/** Adds the engine's extensions to the fields of the chat completion API. */
function buildCompletionBody(attempt: AttemptRequest): Record<string, unknown> {
  const work = attempt.work as GenerationWork;
  return {
    model: work.model,
    messages: work.messages,
    max_tokens: work.mostOutputTokens,
    stream: true,
    priority: attempt.priority,
    resume_tokens: attempt.deliveredTokens ?? [],
  };
}

function buildHeaders(
  attempt: AttemptRequest,
  contentType: string | undefined,
): Record<string, string> {
  const headers: Record<string, string> = {};
  if (contentType !== undefined) headers["content-type"] = contentType;
  headers["x-request-id"] = attempt.attemptId;
  if (attempt.once !== undefined) {
    headers["idempotency-key"] = attempt.once.key;
  }
  if (attempt.traceparent !== undefined) {
    headers["traceparent"] = attempt.traceparent;
  }
  return headers;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}

/** Creates a generation that starts once `ready` settles. */
function deferGeneration(
  ready: Promise<void>,
  start: () => GenerationCall,
): GenerationCall {
  let call: GenerationCall | undefined;
  let cancelled = false;
  let paused = false;
  const finished = ready.then(() => {
    call = start();
    if (paused) call.pause();
    if (cancelled) call.cancel();
    return call.finished;
  });
  return {
    finished,
    cancel() {
      cancelled = true;
      call?.cancel();
    },
    pause() {
      paused = true;
      call?.pause();
    },
    resume() {
      paused = false;
      call?.resume();
    },
  };
}
