import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { AnswerAssembler } from "../core/attempts/mod.ts";
import type { EndpointId } from "../core/identity/mod.ts";
import type {
  AnswerSink,
  CallerRequest,
  Outcome,
  Refusal,
  RequestProfile,
  UnknownOutcome,
} from "../core/requests/mod.ts";
import type {
  AttemptSummary,
  Placement,
  WaitingRequest,
} from "../core/scheduling/mod.ts";
import type {
  Span,
  SpanAttributes,
  SpanName,
} from "../core/observation/mod.ts";
import type { Subscription } from "../core/time/mod.ts";
import type {
  AttemptRequest,
  CacheHandover,
  OncePermit,
} from "../generated/messages.ts";
import type { WorkClass } from "../generated/rules.ts";
import { Attempt } from "./attempt.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { RunContext } from "./run_context.ts";

export interface RequestRunOptions {
  readonly context: RunContext;
  readonly request: CallerRequest;
  readonly sink: AnswerSink;
  readonly profile: RequestProfile;
  readonly workClass: WorkClass;
  /** Whether an interrupted generation can resume at another engine. */
  readonly resumesStreams: boolean;
  /**
   * Minimum tokens for a resumed generation to transfer its cache; undefined if
   * the pool never does.
   */
  readonly fewestTokensToHandOver?: number;
  /** Serves this kind of request until it has an outcome. */
  readonly serve: (run: RequestRun) => Promise<void>;
  /**
   * Whether an attempt is cancelled when nobody waits for it any more. A
   * non-idempotent call is not: cancelling it would hide its effect instead of
   * undoing it.
   */
  readonly cancelsAttempts: boolean;
  /** Called once, when the final outcome is known. */
  readonly done: (outcome: Outcome) => void;
}

/**
 * Retry-After for failures that are not caused by load: a suspicion or a
 * restart is over in about a second.
 */
const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * One request at an entry, from queueing through attempts and resumption to
 * exactly one final outcome, which is delivered as soon as it is known.
 */
export class RequestRun {
  readonly options: RequestRunOptions;
  readonly assembler: AnswerAssembler;
  #attempt: Attempt | undefined;
  #waiting: WaitingRequest | undefined;
  /** True once any attempt may have had an effect. */
  #mayHaveRun = false;
  /** Cache exported by the last failed attempt. */
  #cache: CacheHandover | undefined;
  readonly #excluded = new Set<EndpointId>();
  readonly #deadlineTimer: Subscription;
  #attempts = 0;
  /**
   * Failure reason of the last attempt, reported as the reason of the retry.
   */
  #lastFailure = "none";
  #settled = false;

  constructor(options: RequestRunOptions) {
    this.options = options;
    this.assembler = new AnswerAssembler({
      onToken: (text, index) => this.#deliverToken(text, index),
    });
    const timeLeft = options.profile.deadline - options.context.timer.now();
    this.#deadlineTimer = options.context.timer.after(
      timeLeft,
      () => this.#onDeadline(),
    );
  }

  /** Starts serving the request. */
  start(): void {
    this.options.context.timer.run(() => this.options.serve(this));
  }

  /** The caller has disconnected. */
  cancel(): void {
    if (this.#settled) return;
    this.#waiting?.cancel();
    this.#cancelAttempt();
    this.finish(unknownOutcome("The caller has disconnected"));
  }

  /** Ends the request because the entry shuts down. */
  abort(detail: string): void {
    this.#terminate({
      kind: "not_run",
      reason: "draining",
      detail,
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    });
  }

  /** True while the request waits for a slot of an endpoint. */
  get isWaiting(): boolean {
    return this.#waiting !== undefined;
  }

  /**
   * False if a stopping entry would end the request before its answer, and it
   * can be refused as not run instead. An interrupted stream is resumed all the
   * same.
   */
  get mayBeSent(): boolean {
    const { context, profile } = this.options;
    return this.#mayHaveRun || context.plannedStop.maySend({
      route: profile.className,
      step: "run",
      boundMilliseconds: profile.deadline - context.timer.now(),
    });
  }

  /** The caller reads again; resumes the stream. */
  drained(): void {
    this.#attempt?.resume();
  }

  /**
   * The side of this endpoint is suspected; an attempt at it counts as lost.
   */
  onSuspected(endpoint: EndpointId): void {
    if (this.#attempt?.endpoint === endpoint) this.#attempt.markLost();
  }

  /** True once the final outcome is known. */
  get settled(): boolean {
    return this.#settled;
  }

  get attemptsLeft(): boolean {
    return this.#attempts < this.options.context.mostAttempts;
  }

  /**
   * Waits for a slot. If the request has settled meanwhile, the slot is
   * released unused.
   */
  async place(
    submitted: Result<WaitingRequest, Refusal>,
  ): Promise<Result<Placement, Refusal>> {
    if (submitted.isErr()) return err(submitted.error);
    this.#waiting = submitted.value;
    const queueSpan = this.#startSpan("entry.queue");
    const placed = await submitted.value.placed;
    queueSpan.end();
    this.#waiting = undefined;
    if (placed.isErr()) return placed;
    if (this.#settled) {
      placed.value.release(UNUSED_SLOT_SUMMARY);
      return err(noEndpoint("the request has already ended"));
    }
    if (!this.mayBeSent) {
      placed.value.release(UNUSED_SLOT_SUMMARY);
      return err(STOPPING_REFUSAL);
    }
    this.options.context.emitEvent("request_placed", {
      requestId: this.options.request.requestId,
      endpoint: placed.value.endpoint,
      className: this.options.profile.className,
    });
    return placed;
  }

  /** The profile updated with the results of the attempts so far. */
  currentProfile(): RequestProfile {
    return {
      ...this.options.profile,
      deliveredTokens: this.assembler.deliveredTokens.length,
      excluded: this.#excluded,
    };
  }

  /** Sends one attempt and waits until it has ended. */
  async runAttempt(
    placement: Placement,
    permit?: OncePermit,
  ): Promise<AttemptOutcome> {
    const resumed = this.assembler.deliveredTokens.length > 0;
    const span = this.#startSpan(resumed ? "entry.resume" : "entry.dispatch", {
      endpoint: placement.endpoint,
    });
    const request = this.#attemptRequest(placement.endpoint, {
      permit,
      traceparent: span.traceparent ?? this.options.request.traceparent,
    });
    this.#emitSentEvent(request);
    this.#attempt = new Attempt({
      context: this.options.context,
      request,
      placement,
      assembler: this.assembler,
    });
    const { plannedStop } = this.options.context;
    const time = plannedStop.routeTimes.start(
      this.options.profile.className,
      "run",
    );
    const end = await this.#attempt.ended;
    this.#attempt = undefined;
    if (end.kind === "complete") time.end();
    else time.cancel();
    if (end.kind !== "complete") {
      this.#lastFailure = end.reason;
      this.#excluded.add(placement.endpoint);
      span.fail(end.reason);
    }
    span.end();
    if (end.kind === "failed") {
      this.#mayHaveRun = true;
      this.#cache = end.cache;
    }
    return end;
  }

  /** Finishes the request with the complete answer. */
  finishAnswered(): void {
    const complete = this.assembler.complete;
    if (complete === undefined) return;
    if (complete.kind === "generation") {
      const { tokens, reason } = complete.frame;
      this.finish({ kind: "answered", tokens, reason });
    } else {
      const { status, contentType = "text/plain", body } = complete.frame;
      this.deliverResponse({ status, contentType, body });
    }
  }

  deliverResponse(
    answer: { status: number; contentType: string; body: string },
  ): void {
    if (this.#settled) return;
    this.options.context.emitEvent("response_delivered", {
      requestId: this.options.request.requestId,
      status: answer.status,
      body: answer.body,
    });
    this.options.sink.response(answer);
    this.finish({ kind: "answered", tokens: 0, reason: "response" });
  }

  /**
   * Finishes with the refusal, or with an unknown outcome if an attempt may
   * have run.
   */
  finishRefused(refusal: Refusal): void {
    if (!this.#mayHaveRun) return this.finish(refusal);
    this.finish({
      ...unknownOutcome(`The answer could not be completed: ${refusal.detail}`),
      retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    });
  }

  finish(outcome: Outcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#deadlineTimer.cancel();
    const { request, context, profile, sink, done } = this.options;
    context.emitEvent("request_finished", {
      requestId: request.requestId,
      className: profile.className,
      onTime: context.timer.now() <= profile.deadline,
      outcome: outcome.kind,
      reason: outcome.kind === "unknown" ? outcome.detail : outcome.reason,
      tokens: this.assembler.deliveredTokens.length,
      ...(request.idempotencyKey && { key: request.idempotencyKey }),
    });
    sink.finish(outcome);
    done(outcome);
  }

  #onDeadline(): void {
    this.#terminate({
      kind: "not_run",
      reason: "late",
      detail: "The deadline has passed",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    });
  }

  #terminate(refusal: Refusal): void {
    if (this.#settled) return;
    this.#waiting?.cancel();
    if (this.#attempt !== undefined || this.#isKeyOwned()) {
      this.#mayHaveRun = true;
    }
    this.#cancelAttempt();
    this.finishRefused(refusal);
  }

  /**
   * True if a record exists for the request's key. A repeated call may have
   * sent nothing itself while the first call with its key may have run. If it
   * ended as `not_run`, the caller would send the call with a new key, and it
   * would take effect twice.
   */
  #isKeyOwned(): boolean {
    const { context, request } = this.options;
    const { idempotencyKey, workspace } = request;
    if (idempotencyKey === undefined) return false;
    return context.onceCoordinator.isOwned(idempotencyKey, workspace);
  }

  #cancelAttempt(): void {
    if (this.options.cancelsAttempts) this.#attempt?.cancel();
  }

  #deliverToken(text: string, index: number): void {
    if (this.#settled) return;
    const { context, request, sink } = this.options;
    context.emitEvent("token_delivered", {
      requestId: request.requestId,
      index,
      text,
    });
    if (!sink.token(text)) this.#attempt?.pause();
  }

  #attemptRequest(
    endpoint: EndpointId,
    extra: { permit: OncePermit | undefined; traceparent: string | undefined },
  ): AttemptRequest {
    const { request, workClass, profile, context } = this.options;
    this.#attempts += 1;
    const attempt: AttemptRequest = {
      attemptId: `${request.requestId}.${this.#attempts}`,
      requestId: request.requestId,
      endpoint,
      className: workClass.name,
      priority: workClass.priority,
      deadlineMilliseconds: profile.deadline - context.timer.now(),
      work: request.work,
      promptTokens: profile.promptTokens,
      mayPause: workClass.mayPause ?? false,
    };
    const delivered = this.assembler.deliveredTokens;
    if (delivered.length > 0) attempt.deliveredTokens = [...delivered];
    if (this.#cache !== undefined) attempt.cache = this.#cache;
    const { fewestTokensToHandOver } = this.options;
    if (fewestTokensToHandOver !== undefined) {
      attempt.fewestTokensToHandOver = fewestTokensToHandOver;
    }
    if (extra.permit !== undefined) attempt.once = extra.permit;
    else if (!profile.idempotent) {
      const report = context.directory.reportOf(endpoint);
      if (report) attempt.sideIncarnation = report.incarnation;
    }
    if (extra.traceparent !== undefined) {
      attempt.traceparent = extra.traceparent;
    }
    return attempt;
  }

  #startSpan(name: SpanName, facts: SpanAttributes = {}): Span {
    const { context, request } = this.options;
    return context.tracer.start(name, {
      traceparent: request.traceparent,
      facts: { requestId: request.requestId, ...facts },
    });
  }

  #emitSentEvent(attempt: AttemptRequest): void {
    const { context } = this.options;
    const facts: Record<string, string | number | boolean> = {
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      endpoint: attempt.endpoint,
    };
    if (attempt.once !== undefined) {
      facts.record = attempt.once.record;
      facts.key = attempt.once.key;
    }
    if (this.#attempts > 1) {
      context.emitEvent("retry", { ...facts, reason: this.#lastFailure });
    }
    context.emitEvent("attempt_sent", facts);
  }
}

/** Refusal of a request that would be sent too late in a planned stop. */
const STOPPING_REFUSAL: Refusal = {
  kind: "not_run",
  reason: "draining",
  detail: "The entry is shutting down",
  retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
};

/** Attempt summary for releasing an unused slot. */
export const UNUSED_SLOT_SUMMARY: AttemptSummary = {
  result: "cancelled",
  tokens: 0,
  totalMilliseconds: 0,
};

/** Refusal for a request that no endpoint accepted; `detail` is the reason. */
export function noEndpoint(detail: string): Refusal {
  return {
    kind: "not_run",
    reason: "no_endpoint",
    detail: `No endpoint accepted the request: ${detail}`,
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  };
}

export function unknownOutcome(detail: string): UnknownOutcome {
  return {
    kind: "unknown",
    detail,
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  };
}
