import { err, ok, type Result } from "neverthrow";
import { type Failure, failure } from "../../src/core/errors/mod.ts";
import type {
  EndpointFailure,
  EngineObservation,
  GenerationCall,
  ServiceResponse,
} from "../../src/core/links/mod.ts";
import type {
  HistoryEvent,
  HistoryEventKind,
} from "../../src/core/observation/mod.ts";
import type { Subscription, TimerService } from "../../src/core/time/mod.ts";
import type { EngineTarget } from "../../src/generated/log_records.ts";
import type { AttemptRequest } from "../../src/generated/messages.ts";
import {
  ENDPOINT_CLOSED,
  ENDPOINT_UNREACHABLE,
  ORDER_FENCED,
} from "./failures.ts";

export interface EndpointOptions {
  readonly id: string;
  readonly timer: TimerService;
  readonly observe: (event: HistoryEvent) => void;
}

export interface EngineOptions extends EndpointOptions {
  readonly checksFencing: boolean;
}

interface Generation {
  readonly end: (result: Result<"stop", EndpointFailure>) => void;
  step: Subscription;
}

const MILLISECONDS_TO_FIRST_TOKEN = 60;
const MILLISECONDS_BETWEEN_TOKENS = 30;
const CHANGE_MILLISECONDS = 1_000;
const CRASH_MILLISECONDS = 3_000;
const CALL_MILLISECONDS = 150;

/** What the matrix needs of an endpoint besides its work. */
export interface FakeEndpoint {
  readonly id: string;
  readonly kind: "engine" | "service";
  crash(): void;
  /** The side's connections have closed: generations end with them. */
  sideGone(): void;
}

/** The tokens that an engine gives to a request; no two requests share any. */
export function tokenOf(requestId: string, index: number): string {
  return `${requestId}:${index} `;
}

/** A model engine that tells what happens to it. */
export class FakeEngine implements FakeEndpoint {
  readonly kind = "engine";
  readonly #options: EngineOptions;
  readonly #generations = new Set<Generation>();
  #role: EngineObservation["role"] = "mixed";
  #weights = "";
  #models: readonly string[] = [];
  #change: Subscription | undefined;
  #fence = -1;
  #down = false;

  constructor(options: EngineOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    let paused = false;
    let settle!: Generation["end"];
    const finished = new Promise<Result<"stop", EndpointFailure>>(
      (resolve) => settle = resolve,
    );
    if (this.#down || this.#change !== undefined) {
      settle(err(failure(ENDPOINT_CLOSED, {})));
      return { finished, cancel() {}, pause() {}, resume() {} };
    }
    this.#tell("endpoint_executed", factsOf(attempt));
    const { work, requestId } = attempt;
    const total = work.kind === "generation" ? work.mostOutputTokens : 0;
    let index = attempt.deliveredTokens?.length ?? 0;
    const { timer } = this.#options;
    const step = () => {
      if (!paused && index < total) onToken(tokenOf(requestId, index++));
      if (index >= total) return this.#end(generation, ok("stop"));
      generation.step = timer.after(MILLISECONDS_BETWEEN_TOKENS, step);
    };
    const generation: Generation = {
      end: settle,
      step: timer.after(MILLISECONDS_TO_FIRST_TOKEN, step),
    };
    this.#generations.add(generation);
    return {
      finished,
      cancel: () => this.#end(generation, err(failure(ENDPOINT_CLOSED, {}))),
      pause: () => paused = true,
      resume: () => paused = false,
    };
  }

  observe(): Result<EngineObservation, EndpointFailure> {
    if (this.#down) return err(failure(ENDPOINT_UNREACHABLE, {}));
    return ok({
      role: this.#role,
      models: this.#models,
      weights: this.#weights,
      changing: this.#change !== undefined,
      running: this.#generations.size,
      waiting: 0,
      ageMilliseconds: 0,
    });
  }

  /** A change cuts off what the engine is working on: that is the hazard. */
  order(
    target: EngineTarget,
    fencing: number,
  ): Result<void, EndpointFailure | Failure<"order_fenced">> {
    if (this.#down) return err(failure(ENDPOINT_UNREACHABLE, {}));
    const { timer, checksFencing, id } = this.#options;
    const facts = { endpoint: id, order: fencing, target: textOf(target) };
    if (checksFencing && fencing < this.#fence) {
      this.#tell("order_refused", facts);
      return err(failure(ORDER_FENCED, {}));
    }
    this.#fence = Math.max(this.#fence, fencing);
    this.#tell("order_received", facts);
    this.#cutOff();
    this.#change?.cancel();
    this.#change = timer.after(CHANGE_MILLISECONDS, () => {
      this.#change = undefined;
      this.#role = target.role;
      this.#weights = target.weights ?? this.#weights;
      this.#models = target.models ?? this.#models;
      this.#tell("order_done", facts);
    });
    return ok(undefined);
  }

  crash(): void {
    this.#tell("process_killed", {});
    this.#cutOff();
    this.#change?.cancel();
    this.#change = undefined;
    this.#down = true;
    this.#options.timer.after(CRASH_MILLISECONDS, () => {
      this.#down = false;
      this.#weights = "";
      this.#models = [];
    });
  }

  sideGone(): void {
    this.#cutOff();
  }

  #cutOff(): void {
    for (const generation of [...this.#generations]) {
      this.#end(generation, err(failure(ENDPOINT_CLOSED, {})));
    }
  }

  #end(
    generation: Generation,
    result: Result<"stop", EndpointFailure>,
  ): void {
    if (!this.#generations.delete(generation)) return;
    generation.step.cancel();
    generation.end(result);
  }

  #tell(kind: HistoryEventKind, facts: HistoryEvent["facts"]): void {
    const { timer, id, observe } = this.#options;
    observe({ at: timer.now(), process: id, kind, facts });
  }
}

/** A plain service whose calls take effect as they arrive. */
export class FakeService implements FakeEndpoint {
  readonly kind = "service";
  readonly #options: EndpointOptions;
  readonly #open = new Set<() => void>();
  #calls = 0;
  #downUntil = 0;

  constructor(options: EndpointOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  call(
    attempt: AttemptRequest,
  ): Promise<Result<ServiceResponse, EndpointFailure>> {
    const { timer, id, observe } = this.#options;
    if (timer.now() < this.#downUntil) {
      return Promise.resolve(err(failure(ENDPOINT_CLOSED, {})));
    }
    const facts = factsOf(attempt);
    const event = { at: timer.now(), process: id, facts };
    observe({ ...event, kind: "endpoint_executed" });
    this.#calls += 1;
    const body = facts.idempotent
      ? `echo ${attempt.requestId}`
      : `${id} case ${this.#calls}`;
    return new Promise((resolve) => {
      const close = () => {
        this.#open.delete(close);
        answer.cancel();
        resolve(err(failure(ENDPOINT_CLOSED, {})));
      };
      const answer = timer.after(CALL_MILLISECONDS, () => {
        this.#open.delete(close);
        resolve(ok({ status: 200, contentType: "text/plain", body }));
      });
      this.#open.add(close);
    });
  }

  crash(): void {
    this.#downUntil = this.#options.timer.now() + CRASH_MILLISECONDS;
    for (const close of [...this.#open]) close();
  }

  sideGone(): void {}
}

function factsOf(attempt: AttemptRequest): Record<string, string | boolean> {
  const facts: Record<string, string | boolean> = {
    requestId: attempt.requestId,
    attemptId: attempt.attemptId,
    endpoint: attempt.endpoint,
    idempotent: attempt.work.kind === "generation" || attempt.work.idempotent,
  };
  if (attempt.once !== undefined) facts.key = attempt.once.key;
  return facts;
}

/** A target as JSON with its keys in a fixed order. */
export function textOf({ role, models, weights }: EngineTarget): string {
  return JSON.stringify({ role, models, weights });
}
