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
  readonly settle: (result: Result<"stop", EndpointFailure>) => void;
  nextStep: Subscription;
}

const FIRST_TOKEN_MILLISECONDS = 60;
const TOKEN_INTERVAL_MILLISECONDS = 30;
const TARGET_CHANGE_MILLISECONDS = 1_000;
const CRASH_RECOVERY_MILLISECONDS = 3_000;
const CALL_DURATION_MILLISECONDS = 150;

/** Controls of an endpoint that inject faults. */
export interface FakeEndpoint {
  readonly id: string;
  readonly kind: "engine" | "service";
  crash(): void;
  /** Closes the connections of a side that exited, which ends generations. */
  onSideExit(): void;
}

/** Returns an engine's token for a request; tokens differ between requests. */
export function tokenText(requestId: string, index: number): string {
  return `${requestId}:${index} `;
}

/** A model engine that records its events. */
export class FakeModelEngine implements FakeEndpoint {
  readonly kind = "engine";
  readonly #options: EngineOptions;
  readonly #generations = new Set<Generation>();
  #role: EngineObservation["role"] = "mixed";
  #weights = "";
  #models: readonly string[] = [];
  #change: Subscription | undefined;
  #maxFencing = -1;
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
    let settle!: Generation["settle"];
    const finished = new Promise<Result<"stop", EndpointFailure>>(
      (resolve) => settle = resolve,
    );
    if (this.#down || this.#change !== undefined) {
      settle(err(failure(ENDPOINT_CLOSED, {})));
      return { finished, cancel() {}, pause() {}, resume() {} };
    }
    this.#recordEvent("endpoint_executed", attemptFacts(attempt));
    const { work, requestId } = attempt;
    const total = work.kind === "generation" ? work.mostOutputTokens : 0;
    let index = attempt.deliveredTokens?.length ?? 0;
    const { timer } = this.#options;
    const step = () => {
      if (!paused && index < total) onToken(tokenText(requestId, index++));
      if (index >= total) return this.#endGeneration(generation, ok("stop"));
      generation.nextStep = timer.after(TOKEN_INTERVAL_MILLISECONDS, step);
    };
    const generation: Generation = {
      settle,
      nextStep: timer.after(FIRST_TOKEN_MILLISECONDS, step),
    };
    this.#generations.add(generation);
    return {
      finished,
      cancel: () =>
        this.#endGeneration(generation, err(failure(ENDPOINT_CLOSED, {}))),
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

  /** Changes the target; this aborts the engine's running generations. */
  order(
    target: EngineTarget,
    fencing: number,
  ): Result<void, EndpointFailure | Failure<"order_fenced">> {
    if (this.#down) return err(failure(ENDPOINT_UNREACHABLE, {}));
    const { timer, checksFencing, id } = this.#options;
    const facts = { endpoint: id, order: fencing, target: targetText(target) };
    if (checksFencing && fencing < this.#maxFencing) {
      this.#recordEvent("order_refused", facts);
      return err(failure(ORDER_FENCED, {}));
    }
    this.#maxFencing = Math.max(this.#maxFencing, fencing);
    this.#recordEvent("order_received", facts);
    this.#abortGenerations();
    this.#change?.cancel();
    this.#change = timer.after(TARGET_CHANGE_MILLISECONDS, () => {
      this.#change = undefined;
      this.#role = target.role;
      this.#weights = target.weights ?? this.#weights;
      this.#models = target.models ?? this.#models;
      this.#recordEvent("order_done", facts);
    });
    return ok(undefined);
  }

  crash(): void {
    this.#recordEvent("process_killed", {});
    this.#abortGenerations();
    this.#change?.cancel();
    this.#change = undefined;
    this.#down = true;
    this.#options.timer.after(CRASH_RECOVERY_MILLISECONDS, () => {
      this.#down = false;
      this.#weights = "";
      this.#models = [];
    });
  }

  onSideExit(): void {
    this.#abortGenerations();
  }

  #abortGenerations(): void {
    for (const generation of [...this.#generations]) {
      this.#endGeneration(generation, err(failure(ENDPOINT_CLOSED, {})));
    }
  }

  #endGeneration(
    generation: Generation,
    result: Result<"stop", EndpointFailure>,
  ): void {
    if (!this.#generations.delete(generation)) return;
    generation.nextStep.cancel();
    generation.settle(result);
  }

  #recordEvent(kind: HistoryEventKind, facts: HistoryEvent["facts"]): void {
    const { timer, id, observe } = this.#options;
    observe({ at: timer.now(), process: id, kind, facts });
  }
}

/** A plain service whose calls take effect when they arrive. */
export class FakeService implements FakeEndpoint {
  readonly kind = "service";
  readonly #options: EndpointOptions;
  readonly #openCalls = new Set<() => void>();
  #callCount = 0;
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
    const facts = attemptFacts(attempt);
    const event = { at: timer.now(), process: id, facts };
    observe({ ...event, kind: "endpoint_executed" });
    this.#callCount += 1;
    const body = facts.idempotent
      ? `echo ${attempt.requestId}`
      : `${id} case ${this.#callCount}`;
    return new Promise((resolve) => {
      const close = () => {
        this.#openCalls.delete(close);
        answer.cancel();
        resolve(err(failure(ENDPOINT_CLOSED, {})));
      };
      const answer = timer.after(CALL_DURATION_MILLISECONDS, () => {
        this.#openCalls.delete(close);
        resolve(ok({ status: 200, contentType: "text/plain", body }));
      });
      this.#openCalls.add(close);
    });
  }

  crash(): void {
    this.#downUntil = this.#options.timer.now() + CRASH_RECOVERY_MILLISECONDS;
    for (const close of [...this.#openCalls]) close();
  }

  onSideExit(): void {}
}

function attemptFacts(
  attempt: AttemptRequest,
): Record<string, string | boolean> {
  const facts: Record<string, string | boolean> = {
    requestId: attempt.requestId,
    attemptId: attempt.attemptId,
    endpoint: attempt.endpoint,
    idempotent: attempt.work.kind === "generation" || attempt.work.idempotent,
  };
  if (attempt.once !== undefined) facts.key = attempt.once.key;
  return facts;
}

/** Returns a target as JSON with its keys in a fixed order. */
export function targetText({ role, models, weights }: EngineTarget): string {
  return JSON.stringify({ role, models, weights });
}
