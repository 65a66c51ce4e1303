import type { Result } from "neverthrow";
import type {
  AttemptOptions,
  PromptWork,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { BodyEnd, EndpointAnswer, ExchangeFailure } from "./links.ts";
import type { ForwardingParts } from "./parts.ts";

/** Another replica has the endpoint's address, or its role has changed. */
const MISDIRECTED_STATUS = 421;

/** Bytes of a request's head, about. */
export const HEAD_BYTES = 700;

export interface AttemptPlan {
  readonly endpoint: RegisteredEndpoint;
  readonly options: Omit<AttemptOptions, "endpoint">;
  readonly work: PromptWork;
}

/**
 * One send of a request to one endpoint. It keeps the books: what is open at
 * the endpoint, and how the endpoint has treated it, each exactly once.
 */
export class Attempt {
  readonly endpoint: RegisteredEndpoint;
  readonly answer: Promise<Result<EndpointAnswer, ExchangeFailure>>;
  readonly #parts: ForwardingParts;
  readonly #context: ForwardContext;
  readonly #plan: AttemptPlan;
  readonly #sentAt: number;
  /** Crashes under the request that were known when it was sent. */
  readonly #knownCrashes: number;
  readonly #abort: () => void;
  readonly #endWork: () => void;
  #closed = false;

  constructor(context: ForwardContext, plan: AttemptPlan) {
    const { parts, request } = context;
    const { endpoint } = plan;
    this.#parts = parts;
    this.#context = context;
    this.#plan = plan;
    this.#sentAt = parts.timer.now();
    this.#knownCrashes = context.knownCrashes;
    this.endpoint = endpoint;
    const ticket = parts.load.started(endpoint.id, plan.work);
    this.#endWork = () => ticket.end();
    parts.outcomes.started(endpoint.id);
    parts.link.sent(request.body.length + HEAD_BYTES);
    const exchange = parts.door.send(request, {
      ...plan.options,
      endpoint: endpoint.id,
      workspace: context.workspace?.id,
      address: endpoint.address,
    });
    this.#abort = () => exchange.abort();
    this.answer = exchange.answer.then((answer) => {
      this.#noteHead(answer);
      return answer;
    });
  }

  /** The answer's body has ended. */
  ended(end: BodyEnd, status: number): void {
    if (this.#closed) return;
    const { outcomes } = this.#parts;
    if (end === "cut") this.#noteLoss();
    else if (status < 500) this.#noteCompletion();
    if (this.#tellsOfEndpoint) {
      if (end === "whole" && status < 500) outcomes.succeeded(this.endpoint.id);
      else outcomes.failed(this.endpoint.id);
    }
    this.#close();
  }

  /** The caller or the system has given it up; the endpoint ends its work. */
  abort(): void {
    if (this.#closed) return;
    if (this.#tellsOfEndpoint) this.#parts.outcomes.untold(this.endpoint.id);
    this.#close();
    this.#abort();
  }

  /**
   * False once the endpoint has started again under its id: the connections to
   * its former run break then, and the new one would be passed over for it.
   */
  get #tellsOfEndpoint(): boolean {
    return this.#parts.registry.isSameRun(this.endpoint);
  }

  #noteHead(answer: Result<EndpointAnswer, ExchangeFailure>): void {
    if (this.#closed) return;
    this.#noteCrashSigns(answer);
    if (answer.isOk() && answer.value.head.leaving) this.#noteLeaving();
    if (this.#tellsOfEndpoint) this.#tellHead(answer);
    if (answer.isErr() || answer.value.head.notRun) this.#close();
  }

  #noteCrashSigns(answer: Result<EndpointAnswer, ExchangeFailure>): void {
    const { crashes } = this.#parts;
    if (answer.isOk()) return crashes.answered(this.endpoint, this.#sentAt);
    const { name } = answer.error;
    if (name === "exchange_lost") this.#noteLoss();
    if (name === "exchange_not_sent") crashes.refusedConnection(this.endpoint);
  }

  /** The endpoint has broken the connection off with the request on it. */
  #noteLoss(): void {
    const { crashes, timer } = this.#parts;
    const { digest } = this.#context;
    crashes.lost(this.endpoint, { digest, knownBefore: this.#knownCrashes });
    this.#context.tell("endpoint_lost", {
      digest,
      crashes: crashes.crashesUnder(digest),
      endpoint: this.endpoint.id,
      startedAt: this.endpoint.startedAt,
      step: this.#plan.options.prefillOnly ? "prefill" : "run",
      milliseconds: Math.round(timer.now() - this.#sentAt),
    });
  }

  /** A reading alone runs nothing, so that it clears nobody. */
  #noteCompletion(): void {
    const { crashes } = this.#parts;
    if (crashes.size === 0 || this.#plan.options.prefillOnly) return;
    crashes.completed(this.#context.digest);
  }

  #tellHead(answer: Result<EndpointAnswer, ExchangeFailure>): void {
    const { outcomes } = this.#parts;
    const { id } = this.endpoint;
    if (answer.isErr()) {
      if (answer.error.name !== "exchange_not_sent") return outcomes.failed(id);
      return outcomes.refusedConnection(id);
    }
    outcomes.heard(id);
    const { notRun, retryAfterMilliseconds, status } = answer.value.head;
    if (retryAfterMilliseconds !== undefined) {
      return this.#noteOverload(retryAfterMilliseconds);
    }
    if (!notRun) return;
    if (status === MISDIRECTED_STATUS) outcomes.misdirected(id);
    else outcomes.rejected(id);
  }

  #noteLeaving(): void {
    if (!this.#parts.saidLeaving(this.endpoint)) return;
    this.#context.tell("endpoint_leaving", { endpoint: this.endpoint.id });
  }

  #noteOverload(milliseconds: number): void {
    this.#parts.outcomes.overloaded(this.endpoint.id, milliseconds);
    this.#context.tell("endpoint_overloaded", {
      endpoint: this.endpoint.id,
      retryAfterMilliseconds: milliseconds,
    });
  }

  #close(): void {
    this.#closed = true;
    if (this.#tellsOfEndpoint) this.#parts.outcomes.ended(this.endpoint.id);
    this.#endWork();
  }
}
