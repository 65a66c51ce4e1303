import { EndpointLimiter } from "../core/limits/mod.ts";
import type { Slot } from "../core/limits/mod.ts";
import type { EndpointLink, ServiceResponse } from "../core/links/mod.ts";
import type { EmitEvent, Span, Tracer } from "../core/observation/mod.ts";
import { SideOnceTable } from "../core/once/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  EndpointLoad,
  NotRunFrame,
  OnceAnswer,
  OnceQuestion,
} from "../generated/messages.ts";
import { GenerationRun } from "./generation_run.ts";
import type { ExecutionOutcome } from "./generation_run.ts";
import type { SideGuardOverrides } from "./guards.ts";
import { RecentAttempts } from "./recent_attempts.ts";
import { ServiceRun } from "./service_run.ts";

export interface AttemptExecutorOptions {
  readonly endpointId: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly endpoint: EndpointLink;
  readonly tracer: Tracer;
  readonly kind: "engine" | "service";
  readonly mostRunning: number;
  readonly mostWaiting: number;
  readonly mostKeptAnswers: number;
  readonly mostKeptAnswerBytes: number;
  readonly firstTokenSilenceMilliseconds: number;
  readonly tokenSilenceMilliseconds: number;
  readonly guards?: SideGuardOverrides;
  /** Reason why the endpoint accepts no new work; undefined if it does. */
  readonly closedReason: () => NotRunFrame["reason"] | undefined;
  readonly emitEvent: EmitEvent;
}

/**
 * Attempts without a first token that an engine may have in addition to its
 * slots, so that the batch does not run short while a prompt is processed.
 */
const EXTRA_PREFILL_ATTEMPTS = 2;

/** Handle through which an entry controls an attempt that it has sent. */
export interface AttemptHandle {
  cancel(): void;
  pause(): void;
  resume(): void;
}

interface RunningAttempt extends AttemptHandle {
  /**
   * Ends the attempt so that its entry resumes it elsewhere, with its cache if
   * that is worth the transfer.
   */
  migrate(): Promise<void>;
  /** Ends the attempt in the same way at once, without its cache. */
  interrupt(): void;
}

/** An attempt with the state of its execution. */
interface AttemptContext {
  readonly attempt: AttemptRequest;
  readonly emit: (frame: AttemptFrame) => void;
  readonly pending: PendingAttempt;
  /** Timer time after which the answer is useless, milliseconds. */
  readonly deadline: number;
  readonly span: Span;
}

/**
 * Executes the attempts at one endpoint: admits them, runs each at most once,
 * and tracks the actual work in progress.
 */
export class AttemptExecutor {
  readonly #options: AttemptExecutorOptions;
  readonly #limiter: EndpointLimiter;
  readonly #once: SideOnceTable;
  readonly #recent: RecentAttempts;
  readonly #running = new Map<string, RunningAttempt>();
  #slotLimit: number;
  #idleListeners: (() => void)[] = [];

  constructor(options: AttemptExecutorOptions) {
    this.#options = options;
    this.#slotLimit = options.mostRunning;
    this.#limiter = new EndpointLimiter({
      ...options,
      maxBeforeFirstToken: options.kind === "engine"
        ? EXTRA_PREFILL_ATTEMPTS
        : 0,
    });
    this.#once = new SideOnceTable({
      incarnation: options.incarnation,
      mostKeptAnswers: options.mostKeptAnswers,
      mostKeptAnswerBytes: options.mostKeptAnswerBytes,
      onBarred: (key, record) =>
        options.emitEvent("once_barred", { key, record }),
    });
    this.#recent = new RecentAttempts(options.timer);
  }

  /** Number of attempts that the endpoint is working on. */
  get running(): number {
    return this.#running.size;
  }

  /** Sets the slot limit of the endpoint in its current role. */
  setSlotLimit(mostRunning: number): void {
    const slotLimit = Math.min(mostRunning, this.#options.mostRunning);
    // Setting the limit resets what the limiter has learned about the
    // endpoint's speed, so it is only set when it changes.
    if (slotLimit === this.#slotLimit) return;
    this.#slotLimit = slotLimit;
    this.#limiter.setCeiling(slotLimit);
  }

  load(): EndpointLoad {
    return this.#limiter.load();
  }

  /** State of a record of the `once` stream. */
  queryOnceRecord(question: OnceQuestion): OnceAnswer {
    return this.#once.ask(question);
  }

  /** Accepts an attempt; the final frame says how it ended. */
  run(
    attempt: AttemptRequest,
    emit: (frame: AttemptFrame) => void,
  ): AttemptHandle {
    const pending = new PendingAttempt();
    if (this.#isDuplicate(attempt)) return pending;
    const { timer, tracer } = this.#options;
    const span = tracer.start("side.attempt", {
      traceparent: attempt.traceparent,
      facts: { attemptId: attempt.attemptId },
    });
    const deadline = timer.now() + attempt.deadlineMilliseconds;
    timer.run(() => this.#admit({ attempt, emit, pending, deadline, span }));
    return pending;
  }

  #isDuplicate({ attemptId }: AttemptRequest): boolean {
    const isDuplicate = !this.#recent.add(attemptId);
    return this.#options.guards?.isDuplicate?.(attemptId) ?? isDuplicate;
  }

  /** Refuses the attempts that wait for a slot, as none will start any more. */
  refuseWaiting(): void {
    this.#limiter.refuseWaiting();
  }

  /** Ends all running attempts so that their entries resume them elsewhere. */
  async migrateAll(): Promise<void> {
    const running = [...this.#running.values()];
    await Promise.all(running.map((each) => each.migrate()));
  }

  /**
   * Ends all running attempts at once, without their caches, because the
   * process stops.
   */
  interruptAll(): void {
    for (const running of [...this.#running.values()]) running.interrupt();
  }

  /** Resolves when no attempt is running. */
  whenIdle(): Promise<void> {
    if (this.#running.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Resolves when no attempt is running, or after the timeout. */
  whenIdleWithin(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timeout = this.#options.timer.after(milliseconds, resolve);
      this.#options.timer.run(async () => {
        await this.whenIdle();
        timeout.cancel();
        resolve();
      });
    });
  }

  async #admit(context: AttemptContext): Promise<void> {
    const { attempt } = context;
    if (this.#isForOtherRun(attempt)) return this.#failAlreadyRun(context);
    const closedReason = this.#closedReason(attempt);
    if (closedReason !== undefined) return this.#refuse(context, closedReason);
    const pendingSlot = this.#limiter.acquire({
      priority: attempt.priority,
      className: attempt.className,
      deadlineMilliseconds: attempt.deadlineMilliseconds,
      mayPause: attempt.mayPause,
      attemptId: attempt.attemptId,
      promptTokens: attempt.promptTokens,
    });
    this.#preemptForUrgent();
    const slot = await pendingSlot;
    if (slot.isErr()) {
      const reason = this.#closedReason(attempt) ?? slot.error.name;
      return this.#refuse(context, reason);
    }
    const isRefused = this.#start(context, slot.value);
    if (isRefused) slot.value.release();
  }

  /**
   * True if a call without a permit names another incarnation of this side. A
   * duplicate of it may have reached that incarnation, whose state is lost.
   * Running the call here could execute it twice, and answering `not_run` could
   * be false.
   */
  #isForOtherRun({ sideIncarnation }: AttemptRequest): boolean {
    return sideIncarnation !== undefined &&
      sideIncarnation !== this.#options.incarnation;
  }

  #closedReason(attempt: AttemptRequest): NotRunFrame["reason"] | undefined {
    if (attempt.endpoint !== this.#options.endpointId) return "wrong_endpoint";
    return this.#options.closedReason();
  }

  /**
   * Starts the attempt at the endpoint. Returns true if it was refused instead.
   */
  #start(context: AttemptContext, slot: Slot): boolean {
    const { attempt } = context;
    // The state may have changed while the attempt waited for its slot.
    const closedReason = this.#closedReason(attempt);
    const reason = closedReason ??
      (context.pending.cancelled ? "late" : undefined);
    if (reason !== undefined) {
      this.#refuse(context, reason);
      return true;
    }
    if (attempt.once !== undefined) {
      const beginResult = this.#once.begin(attempt.once);
      if (beginResult === "already") this.#failAlreadyRun(context);
      else if (beginResult !== "run") this.#refuse(context, beginResult);
      if (beginResult !== "run") return true;
    }
    this.#options.emitEvent("endpoint_started", attemptFacts(attempt));
    this.#dispatch(context, slot);
    return false;
  }

  #dispatch(context: AttemptContext, slot: Slot): void {
    const { attempt } = context;
    const span = this.#options.tracer.start("endpoint.call", {
      traceparent: context.span.traceparent ?? attempt.traceparent,
    });
    const tracedContext = {
      ...context,
      attempt: withTraceparent(attempt, span),
    };
    let ended = false;
    const done = (end: ExecutionOutcome, answer?: ServiceResponse) => {
      ended = true;
      if (end !== "answered") span.fail(end);
      span.end();
      slot.release();
      this.#onFinished(context, { end, answer });
    };
    const running = attempt.work.kind === "generation"
      ? this.#runGeneration(tracedContext, { slot, done })
      : this.#runService(tracedContext, done);
    if (ended) return;
    this.#running.set(attempt.attemptId, running);
    context.pending.attach(running);
  }

  #runGeneration(
    context: AttemptContext,
    options: { slot: Slot; done: (end: ExecutionOutcome) => void },
  ): RunningAttempt {
    const run = new GenerationRun(context.attempt, {
      ...this.#options,
      emit: context.emit,
      load: () => this.load(),
      deadline: context.deadline,
      onToken: () => options.slot.token(),
      done: options.done,
    });
    return {
      cancel: () => run.stop("cancelled"),
      pause: () => run.pause(),
      resume: () => run.resume(),
      migrate: () => run.migrate(),
      interrupt: () => run.stop("moved"),
    };
  }

  #runService(
    context: AttemptContext,
    done: (end: ExecutionOutcome, answer?: ServiceResponse) => void,
  ): RunningAttempt {
    const run = new ServiceRun(context.attempt, {
      ...this.#options,
      emit: context.emit,
      load: () => this.load(),
      deadline: context.deadline,
      done,
    });
    return {
      cancel: () => run.detach(),
      pause() {},
      resume() {},
      migrate: () => Promise.resolve(run.detach()),
      interrupt: () => run.detach(),
    };
  }

  #onFinished(
    context: AttemptContext,
    result: { end: ExecutionOutcome; answer?: ServiceResponse },
  ): void {
    const { attempt, span } = context;
    const { end, answer } = result;
    this.#running.delete(attempt.attemptId);
    if (attempt.once !== undefined) {
      if (end === "turned_down") this.#once.turnedDown(attempt.once);
      else this.#once.finish(attempt.once, answer);
    }
    span.end();
    this.#emitEndEvent(attempt, end);
    if (this.#running.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  #emitEndEvent(attempt: AttemptRequest, end: ExecutionOutcome): void {
    const facts = attemptFacts(attempt);
    const cause = CANCEL_CAUSES[end];
    if (cause !== undefined) {
      this.#options.emitEvent("endpoint_cancelled", { ...facts, cause });
      return;
    }
    const result = end === "answered" ? "answered" : "failed";
    this.#options.emitEvent("endpoint_finished", { ...facts, result });
  }

  /**
   * Frees a slot when urgent work waits behind bulk work: the bulk attempt goes
   * back to its entry, which resumes it elsewhere or later after the tokens
   * that its caller already has.
   */
  #preemptForUrgent(): void {
    const slot = this.#limiter.nextToPause();
    if (slot?.attemptId === undefined) return;
    this.#running.get(slot.attemptId)?.interrupt();
  }

  /**
   * Refuses the attempt with `not_run` and makes sure that this stays true. A
   * duplicate of the message that is still in transit must not run later, so
   * the permit is barred first. If a duplicate has already run, `not_run` would
   * be false.
   */
  #refuse(context: AttemptContext, reason: NotRunFrame["reason"]): void {
    const { attempt, emit, span } = context;
    if (attempt.once !== undefined && !this.#once.refuse(attempt.once)) {
      return this.#failAlreadyRun(context);
    }
    span.fail(reason);
    span.end();
    this.#options.emitEvent("attempt_refused", {
      ...attemptFacts(attempt),
      reason,
    });
    emit({
      kind: "not_run",
      attemptId: attempt.attemptId,
      reason,
      load: this.load(),
    });
  }

  /** The call may have run before, so the answer cannot be `not_run`. */
  #failAlreadyRun({ attempt, emit, span }: AttemptContext): void {
    span.fail("already_run");
    span.end();
    emit({
      kind: "failed",
      attemptId: attempt.attemptId,
      reason: "already_run",
    });
  }
}

/** Causes of the outcomes that the side itself brings about. */
const CANCEL_CAUSES: Partial<Record<ExecutionOutcome, string>> = {
  cancelled: "caller",
  deadline: "deadline",
  moved: "planned",
};

function withTraceparent(attempt: AttemptRequest, span: Span): AttemptRequest {
  const { traceparent } = span;
  return traceparent === undefined ? attempt : { ...attempt, traceparent };
}

function attemptFacts(
  attempt: AttemptRequest,
): Record<string, string | number | boolean> {
  const facts: Record<string, string | number | boolean> = {
    requestId: attempt.requestId,
    attemptId: attempt.attemptId,
    idempotent: attempt.work.kind === "generation" || attempt.work.idempotent,
  };
  if (attempt.once !== undefined) {
    facts.key = attempt.once.key;
    facts.record = attempt.once.record;
  }
  return facts;
}

/** Handle of an attempt before and after it gets its slot. */
class PendingAttempt implements AttemptHandle {
  #handle: AttemptHandle | undefined;
  #cancelled = false;

  get cancelled(): boolean {
    return this.#cancelled;
  }

  attach(handle: AttemptHandle): void {
    this.#handle = handle;
  }

  cancel(): void {
    this.#cancelled = true;
    this.#handle?.cancel();
  }

  pause(): void {
    this.#handle?.pause();
  }

  resume(): void {
    this.#handle?.resume();
  }
}
