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
import type { Span, SpanFacts, SpanName } from "../core/observation/mod.ts";
import type { Subscription } from "../core/time/mod.ts";
import type {
  AttemptRequest,
  CacheHandover,
  OncePermit,
} from "../generated/messages.ts";
import type { WorkClass } from "../generated/rules.ts";
import { Attempt } from "./attempt.ts";
import type { AttemptEnd } from "./attempt.ts";
import type { RunContext } from "./run_context.ts";

export interface RequestRunOptions {
  readonly context: RunContext;
  readonly request: CallerRequest;
  readonly sink: AnswerSink;
  readonly profile: RequestProfile;
  readonly workClass: WorkClass;
  /** Whether a generation that was cut off can go on at another engine. */
  readonly resumes: boolean;
  /** Tokens from which on a moved answer takes its cache along, if ever. */
  readonly fewestTokensToHandOver?: number;
  /** The way in which this kind of request is served to its outcome. */
  readonly serve: (run: RequestRun) => Promise<void>;
  /**
   * Whether an attempt is cancelled when nobody waits for it any more. A call
   * that may have its effect once only is not: cutting it off would hide the
   * effect, not undo it.
   */
  readonly cancelsAttempts: boolean;
  /** Called once, when the final outcome has been given. */
  readonly done: (outcome: Outcome) => void;
}

/**
 * When a caller should come back after a fault that is no matter of load: a
 * suspicion or a restart is over in about a second.
 */
const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * The life of one request at an entry, up to exactly one final outcome: queue,
 * attempts, resumption, answer. The final outcome is given the moment it is
 * known; nothing holds it back.
 */
export class RequestRun {
  readonly options: RequestRunOptions;
  readonly assembler: AnswerAssembler;
  #attempt: Attempt | undefined;
  #waiting: WaitingRequest | undefined;
  /** True once any attempt may have had its effect. */
  #mayHaveRun = false;
  /** Cache of the attempt that was moved last. */
  #cache: CacheHandover | undefined;
  readonly #excluded = new Set<EndpointId>();
  readonly #deadline: Subscription;
  #attempts = 0;
  /** How the last attempt ended, the reason of the next one. */
  #lastEnd = "none";
  #settled = false;

  constructor(options: RequestRunOptions) {
    this.options = options;
    this.assembler = new AnswerAssembler({
      onToken: (text, index) => this.#deliver(text, index),
    });
    const timeLeft = options.profile.deadline - options.context.timer.now();
    this.#deadline = options.context.timer.after(
      timeLeft,
      () => this.#onDeadline(),
    );
  }

  /** Serves the request to its outcome. */
  start(): void {
    void this.options.serve(this);
  }

  /** The caller has hung up: nobody is left to answer. */
  cancel(): void {
    if (this.#settled) return;
    this.#waiting?.cancel();
    this.#abandonAttempt();
    this.finish(unknownOutcome("The caller has hung up"));
  }

  /** The entry is leaving and can't wait for the answer any longer. */
  giveUp(detail: string): void {
    this.#endWaiting({
      kind: "not_run",
      reason: "draining",
      detail,
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    });
  }

  /** The caller reads again. */
  drained(): void {
    this.#attempt?.resume();
  }

  /** This entry can't hear the endpoint's side any more. */
  suspect(endpoint: EndpointId): void {
    if (this.#attempt?.endpoint === endpoint) this.#attempt.giveUp();
  }

  /** True once the final outcome has been given. */
  get settled(): boolean {
    return this.#settled;
  }

  get attemptsLeft(): boolean {
    return this.#attempts < this.options.context.mostAttempts;
  }

  /**
   * Waits for a slot. The slot that a settled request gets goes back unused.
   */
  async place(
    submitted: Result<WaitingRequest, Refusal>,
  ): Promise<Result<Placement, Refusal>> {
    if (submitted.isErr()) return err(submitted.error);
    this.#waiting = submitted.value;
    const queued = this.#startSpan("entry.queue");
    const placed = await submitted.value.placed;
    queued.end();
    this.#waiting = undefined;
    if (placed.isErr()) return placed;
    if (this.#settled) {
      placed.value.release(UNUSED_SLOT);
      return err(notPlaced("nobody waits any more"));
    }
    this.options.context.tell("request_placed", {
      requestId: this.options.request.requestId,
      endpoint: placed.value.endpoint,
      className: this.options.profile.className,
    });
    return placed;
  }

  /** The profile as it stands after the attempts so far. */
  profileNow(): RequestProfile {
    return {
      ...this.options.profile,
      deliveredTokens: this.assembler.deliveredTokens.length,
      excluded: this.#excluded,
    };
  }

  /** Sends one attempt and waits for its end. */
  async runAttempt(
    placement: Placement,
    permit?: OncePermit,
  ): Promise<AttemptEnd> {
    const resumed = this.assembler.deliveredTokens.length > 0;
    const span = this.#startSpan(resumed ? "entry.resume" : "entry.dispatch", {
      endpoint: placement.endpoint,
    });
    const request = this.#attemptRequest(placement.endpoint, {
      permit,
      traceparent: span.traceparent ?? this.options.request.traceparent,
    });
    this.#tellSent(request);
    this.#attempt = new Attempt({
      context: this.options.context,
      request,
      placement,
      assembler: this.assembler,
    });
    const end = await this.#attempt.ended;
    this.#attempt = undefined;
    if (end.kind !== "complete") {
      this.#lastEnd = end.reason;
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

  /** Gives the whole answer's end to the caller. */
  finishAnswered(): void {
    const complete = this.assembler.complete;
    if (complete === undefined) return;
    if (complete.kind === "generation") {
      const { tokens, reason } = complete.frame;
      this.finish({ kind: "answered", tokens, reason });
    } else {
      const { status, contentType = "text/plain", body } = complete.frame;
      this.giveResponse({ status, contentType, body });
    }
  }

  giveResponse(
    answer: { status: number; contentType: string; body: string },
  ): void {
    if (this.#settled) return;
    this.options.context.tell("response_delivered", {
      requestId: this.options.request.requestId,
      status: answer.status,
      body: answer.body,
    });
    this.options.sink.response(answer);
    this.finish({ kind: "answered", tokens: 0, reason: "response" });
  }

  /** A refusal is only true while no attempt can have run. */
  finishWithout(refusal: Refusal): void {
    if (!this.#mayHaveRun) return this.finish(refusal);
    this.finish({
      ...unknownOutcome(`The answer could not be completed: ${refusal.detail}`),
      retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    });
  }

  finish(outcome: Outcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#deadline.cancel();
    const { request, context, profile, sink, done } = this.options;
    context.tell("request_finished", {
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
    this.#endWaiting({
      kind: "not_run",
      reason: "late",
      detail: "The deadline has passed",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    });
  }

  #endWaiting(refusal: Refusal): void {
    if (this.#settled) return;
    this.#waiting?.cancel();
    if (this.#attempt !== undefined || this.#isKeyOwned()) {
      this.#mayHaveRun = true;
    }
    this.#abandonAttempt();
    this.finishWithout(refusal);
  }

  /**
   * A repeat has sent nothing itself while the first call with its key may
   * have run. Told "not run", the caller would send the call with a new key,
   * and it would take effect twice.
   */
  #isKeyOwned(): boolean {
    const { context, request } = this.options;
    const { idempotencyKey, workspace } = request;
    if (idempotencyKey === undefined) return false;
    return context.once.isOwned(idempotencyKey, workspace);
  }

  #abandonAttempt(): void {
    if (this.options.cancelsAttempts) this.#attempt?.cancel();
  }

  #deliver(text: string, index: number): void {
    if (this.#settled) return;
    const { context, request, sink } = this.options;
    context.tell("token_delivered", {
      requestId: request.requestId,
      index,
      text,
    });
    if (!sink.token(text)) this.#attempt?.pause();
  }

  #attemptRequest(
    endpoint: EndpointId,
    given: { permit: OncePermit | undefined; traceparent: string | undefined },
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
    if (given.permit !== undefined) attempt.once = given.permit;
    else if (!profile.idempotent) {
      const report = context.directory.reportOf(endpoint);
      if (report) attempt.sideIncarnation = report.incarnation;
    }
    if (given.traceparent !== undefined) {
      attempt.traceparent = given.traceparent;
    }
    return attempt;
  }

  #startSpan(name: SpanName, facts: SpanFacts = {}): Span {
    const { context, request } = this.options;
    return context.tracer.start(name, {
      traceparent: request.traceparent,
      facts: { requestId: request.requestId, ...facts },
    });
  }

  #tellSent(attempt: AttemptRequest): void {
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
      context.tell("retry", { ...facts, reason: this.#lastEnd });
    }
    context.tell("attempt_sent", facts);
  }
}

/** How a slot that was not used goes back. */
export const UNUSED_SLOT: AttemptSummary = {
  result: "cancelled",
  tokens: 0,
  totalMilliseconds: 0,
};

/** No endpoint has taken the request, for the reason that `detail` gives. */
export function notPlaced(detail: string): Refusal {
  return {
    kind: "not_run",
    reason: "no_endpoint",
    detail: `No endpoint took the request: ${detail}`,
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
