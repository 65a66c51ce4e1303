import type { AvailabilityZoneId, EndpointId } from "../core/identity/mod.ts";
import type { Tell, Tracer } from "../core/observation/mod.ts";
import type {
  AnswerSink,
  CallerRequest,
  Refusal,
} from "../core/requests/mod.ts";
import { classify, CompiledRules } from "../core/rules/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type { Rules, WorkClass } from "../generated/rules.ts";
import type { Catalog } from "./catalog.ts";
import { profileOf } from "./profile.ts";
import type { ProfiledRequest } from "./profile.ts";
import { serveRepeatable } from "./repeatable_run.ts";
import { RequestRun } from "./request_run.ts";
import type { RunContext } from "./run_context.ts";
import { serveKeyed, serveUnkeyed } from "./single_run.ts";

/** Inventory and rules that requests are served by. */
export interface InForce {
  readonly version: number;
  readonly catalog: Catalog;
  readonly rules: Rules;
  readonly compiled: CompiledRules;
}

export function inForceOf(
  catalog: Catalog,
  rules: Rules,
  { version }: { readonly version: number },
): InForce {
  return { version, catalog, rules, compiled: new CompiledRules(rules) };
}

/** A caller's hold on its request. */
export interface RequestHandle {
  /** The caller has hung up. */
  cancel(): void;
  /** The caller takes tokens again after a sink said no. */
  drained(): void;
}

export interface IntakeOptions {
  readonly timer: TimerService;
  readonly availabilityZone: AvailabilityZoneId;
  readonly hash: (text: string) => string;
  readonly mostOpenRequests: number;
  readonly context: RunContext;
  readonly tracer: Tracer;
  readonly inForce: () => InForce | undefined;
  readonly tell: Tell;
}

const NOTHING: RequestHandle = { cancel() {}, drained() {} };
/** When a caller may come back to an entry that starts or leaves. */
const CLOSED_RETRY_MILLISECONDS = 1_000;
/** When a caller turned away at a full entry may come back. */
const FULL_RETRY_MILLISECONDS = 2_000;

/** Takes callers' requests in and keeps those that are open. */
export class Intake {
  readonly #options: IntakeOptions;
  readonly #open = new Set<RequestRun>();
  #closed = false;
  #idleListeners: (() => void)[] = [];

  constructor(options: IntakeOptions) {
    this.#options = options;
  }

  /** Requests that are not finished yet. */
  get open(): number {
    return this.#open.size;
  }

  /** Takes no further requests. */
  close(): void {
    this.#closed = true;
  }

  submit(request: CallerRequest, sink: AnswerSink): RequestHandle {
    this.#options.tell("request_received", receivedFacts(request));
    const inForce = this.#options.inForce();
    const refusal = this.#closedBecause(inForce);
    if (refusal !== undefined) return this.#refuse(request, { sink, refusal });
    return this.#serve(request, { sink, inForce: inForce as InForce });
  }

  /** This entry can't hear an endpoint's side any more. */
  suspect(endpoint: EndpointId): void {
    for (const run of [...this.#open]) run.suspect(endpoint);
  }

  /** Settles when no request is open, or after the time. */
  idleWithin(milliseconds: number): Promise<void> {
    if (this.#open.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const limit = this.#options.timer.after(milliseconds, resolve);
      this.#idleListeners.push(() => {
        limit.cancel();
        resolve();
      });
    });
  }

  /** Tells every open request the truth and ends it. */
  giveUp(detail: string): void {
    for (const run of [...this.#open]) run.giveUp(detail);
  }

  #serve(
    request: CallerRequest,
    given: { sink: AnswerSink; inForce: InForce },
  ): RequestHandle {
    const { inForce, sink } = given;
    const { timer, availabilityZone, hash } = this.#options;
    const workClass = classify(request, inForce.rules, inForce);
    const profiled = profileOf(request, {
      catalog: inForce.catalog,
      workClass,
      now: timer.now(),
      availabilityZone,
      hash,
    });
    if (profiled.isErr()) {
      return this.#refuse(request, { sink, refusal: profiled.error });
    }
    return this.#start(request, { ...profiled.value, sink, workClass });
  }

  #start(
    request: CallerRequest,
    given: ProfiledRequest & { sink: AnswerSink; workClass: WorkClass },
  ): RequestRun {
    const span = this.#options.tracer.start("entry.receive", {
      traceparent: request.traceparent,
      facts: { requestId: request.requestId, class: given.workClass.name },
    });
    const run: RequestRun = new RequestRun({
      ...given,
      context: this.#options.context,
      request: {
        ...request,
        traceparent: span.traceparent ?? request.traceparent,
      },
      ...this.#serving(request),
      done: (outcome) => {
        if (outcome.kind !== "answered") span.fail(outcome.detail);
        span.end();
        this.#onDone(run);
      },
    });
    this.#open.add(run);
    run.start();
    return run;
  }

  #closedBecause(inForce: InForce | undefined): Refusal | undefined {
    if (this.#closed) {
      return closed("draining", "This entry is shutting down");
    }
    if (inForce === undefined) {
      return closed("not_configured", "No configuration is in force yet");
    }
    if (this.#open.size < this.#options.mostOpenRequests) return undefined;
    return {
      kind: "not_run",
      reason: "overloaded_entry",
      detail: "The entry has no room left",
      retryAfterMilliseconds: FULL_RETRY_MILLISECONDS,
    };
  }

  #refuse(
    request: CallerRequest,
    refused: { sink: AnswerSink; refusal: Refusal },
  ): RequestHandle {
    this.#options.tell("request_finished", {
      requestId: request.requestId,
      outcome: "not_run",
      reason: refused.refusal.reason,
    });
    refused.sink.finish(refused.refusal);
    return NOTHING;
  }

  /** How a kind of work is served; what may run once only is not cancelled. */
  #serving(request: CallerRequest) {
    const { work } = request;
    if (work.kind === "generation" || work.idempotent) {
      return { serve: serveRepeatable, cancelsAttempts: true };
    }
    if (request.idempotencyKey === undefined) {
      return { serve: serveUnkeyed, cancelsAttempts: false };
    }
    const text = `${work.method} ${work.path}\n${work.body}`;
    const fingerprint = this.#options.hash(text);
    return {
      serve: (run: RequestRun) => serveKeyed(run, { fingerprint }),
      cancelsAttempts: false,
    };
  }

  #onDone(run: RequestRun): void {
    this.#open.delete(run);
    if (this.#open.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }
}

function closed(reason: Refusal["reason"], detail: string): Refusal {
  return {
    kind: "not_run",
    reason,
    detail,
    retryAfterMilliseconds: CLOSED_RETRY_MILLISECONDS,
  };
}

function receivedFacts(
  request: CallerRequest,
): Record<string, string | number | boolean> {
  const { work, idempotencyKey } = request;
  return {
    requestId: request.requestId,
    idempotent: work.kind === "generation" || work.idempotent,
    workspace: request.workspace,
    ...(idempotencyKey && { key: idempotencyKey }),
  };
}
