import type { AvailabilityZoneId, EndpointId } from "../core/identity/mod.ts";
import type { EmitEvent, Tracer } from "../core/observation/mod.ts";
import type {
  AnswerSink,
  CallerRequest,
  Refusal,
} from "../core/requests/mod.ts";
import { classify, CompiledRules } from "../core/rules/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type { Rules, WorkClass } from "../generated/rules.ts";
import type { Catalog } from "./catalog.ts";
import { profileRequest } from "./request_profile.ts";
import type { ProfiledRequest } from "./request_profile.ts";
import { serveIdempotent } from "./idempotent_run.ts";
import { RequestRun } from "./request_run.ts";
import type { RunContext } from "./run_context.ts";
import { serveKeyed, serveUnkeyed } from "./non_idempotent_run.ts";

/** Inventory and rules in force, by which requests are served. */
export interface ActiveConfiguration {
  readonly version: number;
  readonly catalog: Catalog;
  readonly rules: Rules;
  readonly compiled: CompiledRules;
}

export function compileConfiguration(
  catalog: Catalog,
  rules: Rules,
  { version }: { readonly version: number },
): ActiveConfiguration {
  return { version, catalog, rules, compiled: new CompiledRules(rules) };
}

/** Handle through which the caller's connection controls its request. */
export interface RequestHandle {
  /** The caller has disconnected. */
  cancel(): void;
  /** The caller accepts tokens again after a sink returned false. */
  drained(): void;
}

export interface RequestIntakeOptions {
  readonly timer: TimerService;
  readonly availabilityZone: AvailabilityZoneId;
  readonly hash: (text: string) => string;
  readonly mostOpenRequests: number;
  readonly context: RunContext;
  readonly tracer: Tracer;
  readonly activeConfiguration: () => ActiveConfiguration | undefined;
  readonly emitEvent: EmitEvent;
}

const NO_OP_HANDLE: RequestHandle = { cancel() {}, drained() {} };
/** Retry-After for callers while the entry is starting or draining. */
const UNAVAILABLE_RETRY_MILLISECONDS = 1_000;
/** Retry-After for callers while the entry is at its request limit. */
const FULL_RETRY_MILLISECONDS = 2_000;

/** Admits callers' requests and tracks the open ones. */
export class RequestIntake {
  readonly #options: RequestIntakeOptions;
  readonly #openRuns = new Set<RequestRun>();
  #isClosed = false;
  #idleListeners: (() => void)[] = [];

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
  }

  /** Number of unfinished requests. */
  get openCount(): number {
    return this.#openRuns.size;
  }

  /** Refuses all further requests. */
  close(): void {
    this.#isClosed = true;
  }

  submit(request: CallerRequest, sink: AnswerSink): RequestHandle {
    this.#options.emitEvent("request_received", requestFacts(request));
    const activeConfiguration = this.#options.activeConfiguration();
    const refusal = this.#admissionRefusal(activeConfiguration);
    if (refusal !== undefined) return this.#refuse(request, { sink, refusal });
    return this.#serve(request, {
      sink,
      activeConfiguration: activeConfiguration as ActiveConfiguration,
    });
  }

  /** The side of this endpoint is suspected; attempts at it count as lost. */
  onSuspected(endpoint: EndpointId): void {
    for (const run of [...this.#openRuns]) run.onSuspected(endpoint);
  }

  /** Resolves when no request is open, or after the timeout. */
  whenIdleWithin(milliseconds: number): Promise<void> {
    if (this.#openRuns.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timeout = this.#options.timer.after(milliseconds, resolve);
      this.#idleListeners.push(() => {
        timeout.cancel();
        resolve();
      });
    });
  }

  /** Refuses the requests that wait and could no longer end before the stop. */
  abortLate(detail: string): void {
    for (const run of [...this.#openRuns]) {
      if (run.isWaiting && !run.mayBeSent) run.abort(detail);
    }
  }

  /** Ends every open request with a refusal or an unknown outcome. */
  abortAll(detail: string): void {
    for (const run of [...this.#openRuns]) run.abort(detail);
  }

  #serve(
    request: CallerRequest,
    options: { sink: AnswerSink; activeConfiguration: ActiveConfiguration },
  ): RequestHandle {
    const { activeConfiguration, sink } = options;
    const { timer, availabilityZone, hash } = this.#options;
    const workClass = classify(
      request,
      activeConfiguration.rules,
      activeConfiguration,
    );
    const profiled = profileRequest(request, {
      catalog: activeConfiguration.catalog,
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
    options: ProfiledRequest & { sink: AnswerSink; workClass: WorkClass },
  ): RequestRun {
    const span = this.#options.tracer.start("entry.receive", {
      traceparent: request.traceparent,
      facts: { requestId: request.requestId, class: options.workClass.name },
    });
    const run: RequestRun = new RequestRun({
      ...options,
      context: this.#options.context,
      request: {
        ...request,
        traceparent: span.traceparent ?? request.traceparent,
      },
      ...this.#servingMode(request),
      done: (outcome) => {
        if (outcome.kind !== "answered") span.fail(outcome.detail);
        span.end();
        this.#onDone(run);
      },
    });
    this.#openRuns.add(run);
    run.start();
    return run;
  }

  #admissionRefusal(
    activeConfiguration: ActiveConfiguration | undefined,
  ): Refusal | undefined {
    if (this.#isClosed) {
      return unavailableRefusal("draining", "This entry is shutting down");
    }
    if (activeConfiguration === undefined) {
      return unavailableRefusal(
        "not_configured",
        "No configuration is in force yet",
      );
    }
    if (this.#openRuns.size < this.#options.mostOpenRequests) return undefined;
    return {
      kind: "not_run",
      reason: "overloaded_entry",
      detail: "The entry has reached its limit of open requests",
      retryAfterMilliseconds: FULL_RETRY_MILLISECONDS,
    };
  }

  #refuse(
    request: CallerRequest,
    options: { sink: AnswerSink; refusal: Refusal },
  ): RequestHandle {
    this.#options.emitEvent("request_finished", {
      requestId: request.requestId,
      outcome: "not_run",
      reason: options.refusal.reason,
    });
    options.sink.finish(options.refusal);
    return NO_OP_HANDLE;
  }

  /**
   * How the request is served. Work that is not idempotent is never cancelled
   * at the endpoint.
   */
  #servingMode(request: CallerRequest) {
    const { work } = request;
    if (work.kind === "generation" || work.idempotent) {
      return { serve: serveIdempotent, cancelsAttempts: true };
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
    this.#openRuns.delete(run);
    if (this.#openRuns.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }
}

function unavailableRefusal(
  reason: Refusal["reason"],
  detail: string,
): Refusal {
  return {
    kind: "not_run",
    reason,
    detail,
    retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
  };
}

function requestFacts(
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
