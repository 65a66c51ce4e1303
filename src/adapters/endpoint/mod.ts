/** The endpoint that a side stands beside, over HTTP. */
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

const DEFAULT_MOST_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Status and orders are answered at once by a healthy engine. */
const DEFAULT_CONTROL_TIMEOUT_MILLISECONDS = 2_000;
const MOST_CONTROL_BYTES = 256 * 1024;

export interface HttpEndpointLinkOptions {
  readonly timer: TimerService;
  /** Largest answer, whole or streamed, in bytes. */
  readonly mostResponseBytes?: number;
  readonly controlTimeoutMilliseconds?: number;
}

/** One model engine or plain service at a URL. */
export class HttpEndpointLink implements EndpointLink {
  readonly #url: string;
  readonly #client: HttpClient;
  readonly #mostResponseBytes: number;
  readonly #controlTimeoutMilliseconds: number;

  constructor(url: string, options: HttpEndpointLinkOptions) {
    this.#url = url;
    this.#client = new HttpClient(url, { timer: options.timer });
    this.#mostResponseBytes = options.mostResponseBytes ??
      DEFAULT_MOST_RESPONSE_BYTES;
    this.#controlTimeoutMilliseconds = options.controlTimeoutMilliseconds ??
      DEFAULT_CONTROL_TIMEOUT_MILLISECONDS;
  }

  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    const { cache } = attempt;
    if (cache === undefined) return this.#generate(attempt, onToken);
    return startLater(
      this.#importCache(cache),
      () => this.#generate(attempt, onToken),
    );
  }

  async exportCache(
    attempt: AttemptRequest,
    tokens: readonly string[],
  ): Promise<Result<CacheReference, EndpointFailure>> {
    const work = attempt.work as GenerationWork;
    const answer = await this.#control(
      "POST",
      "/kv/export",
      JSON.stringify({
        model: work.model,
        messages: work.messages,
        resume_tokens: tokens,
      }),
    );
    if (answer.isErr()) return err(answer.error);
    const value = parseJson(answer.value.body);
    if (answer.value.status === 200 && isRecord(value)) return ok(value);
    const reason = `status ${answer.value.status} to a cache export`;
    return err(failure(ENDPOINT_ERROR, { url: this.#url, reason }));
  }

  /** What can't be taken in is made anew by the engine itself. */
  async #importCache(cache: CacheHandover): Promise<void> {
    await this.#control("POST", "/kv/import", JSON.stringify(cache.reference));
  }

  #generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    const exchange = this.#client.open("/v1/chat/completions", {
      method: "POST",
      headers: headersFor(attempt, "application/json"),
      body: JSON.stringify(completionBody(attempt)),
    });
    let paused = false;
    let cancelled = false;
    const incoming = exchange.response.then((response) => {
      if (response.isOk() && paused) response.value.pause();
      return response;
    });
    const finished = incoming.then((response): Promise<GenerationEnd> => {
      if (response.isErr()) {
        return Promise.resolve(err(this.#failureOf(response.error)));
      }
      const refused = this.#refusal(
        response.value.statusCode ?? 0,
        response.value.headers["content-type"],
      );
      if (refused !== undefined) {
        response.value.resume();
        exchange.abort("refused");
        return Promise.resolve(err(refused));
      }
      const reader = new GenerationReader(response.value, {
        url: this.#url,
        mostBytes: this.#mostResponseBytes,
        onToken: (text) => {
          if (!cancelled) onToken(text);
        },
      });
      // Adding a listener for data sets a stream flowing.
      if (paused) response.value.pause();
      return reader.finished;
    });
    const setPaused = (wanted: boolean) => {
      paused = wanted;
      void incoming.then((response) => {
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
    const answer = await this.#client.call(work.path, {
      method: work.method,
      headers: headersFor(attempt, work.contentType),
      body: work.body === "" ? undefined : work.body,
      ownConnection: !work.idempotent,
      encoding: "latin1",
      timeoutMilliseconds: attempt.deadlineMilliseconds,
      mostResponseBytes: this.#mostResponseBytes,
    });
    return answer.mapErr((error) => this.#failureOf(error));
  }

  async observe(): Promise<Result<EngineObservation, EndpointFailure>> {
    const answer = await this.#control("GET", "/status");
    if (answer.isErr()) return err(answer.error);
    const value = parseJson(answer.value.body);
    if (answer.value.status !== 200 || !validateEngineStatus(value)) {
      const reason = `status ${answer.value.status} without a usable report`;
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
    const answer = await this.#control(
      "POST",
      "/orders",
      JSON.stringify({ target, fencing }),
    );
    if (answer.isErr()) return err(answer.error);
    const { status } = answer.value;
    if (status === 409) {
      return err(failure(ORDER_FENCED, { url: this.#url, fencing }));
    }
    if (status >= 200 && status < 300) return ok(undefined);
    const definition = status < 500 ? ENDPOINT_REFUSED : ENDPOINT_ERROR;
    return err(
      failure(definition, { url: this.#url, reason: `status ${status}` }),
    );
  }

  /** Closes kept connections. */
  close(): void {
    this.#client.close();
  }

  async #control(method: string, path: string, body?: string) {
    const answer = await this.#client.call(path, {
      method,
      headers: body === undefined
        ? undefined
        : { "content-type": "application/json" },
      body,
      timeoutMilliseconds: this.#controlTimeoutMilliseconds,
      mostResponseBytes: MOST_CONTROL_BYTES,
    });
    return answer.mapErr((error) => this.#failureOf(error));
  }

  #failureOf(error: HttpFailure): EndpointFailure {
    const facts = { url: this.#url, reason: error.message };
    switch (error.name) {
      case "http_not_sent":
        return failure(ENDPOINT_REFUSED, facts);
      case "http_too_large":
        return failure(ENDPOINT_GARBAGE, facts);
      case "http_closed":
        return failure(ENDPOINT_CLOSED, facts);
      default:
        return failure(ENDPOINT_UNREACHABLE, facts);
    }
  }

  /** Why the head of an answer means that no tokens will come. */
  #refusal(
    status: number,
    contentType: string | undefined,
  ): EndpointFailure | undefined {
    const facts = { url: this.#url, reason: `status ${status}` };
    if (status === 503 || (status >= 400 && status < 500)) {
      return failure(ENDPOINT_REFUSED, facts);
    }
    if (status !== 200) return failure(ENDPOINT_ERROR, facts);
    if (!contentType?.startsWith("text/event-stream")) {
      const reason = `content type "${contentType ?? ""}"`;
      return failure(ENDPOINT_GARBAGE, { url: this.#url, reason });
    }
    return undefined;
  }
}

/** The engine's extensions stand beside the fields that callers know. */
function completionBody(attempt: AttemptRequest): Record<string, unknown> {
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

function headersFor(
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

/** A generation that begins once something else is done. */
function startLater(
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
