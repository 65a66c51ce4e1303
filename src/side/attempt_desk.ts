import { SideLimiter } from "../core/limits/mod.ts";
import type { Slot } from "../core/limits/mod.ts";
import type { EndpointLink, ServiceResponse } from "../core/links/mod.ts";
import type { Span, Tell, Tracer } from "../core/observation/mod.ts";
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
import { GenerationRun } from "./attempt_run.ts";
import type { AttemptEnd } from "./attempt_run.ts";
import type { SideGuards } from "./guards.ts";
import { RecentAttempts } from "./recent_attempts.ts";
import { ServiceRun } from "./service_run.ts";

export interface AttemptDeskOptions {
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
  readonly guards?: SideGuards;
  /** Why the endpoint takes no new work at present, or nothing. */
  readonly closedBecause: () => NotRunFrame["reason"] | undefined;
  readonly tell: Tell;
}

/**
 * Prompts that an engine may have ahead beyond its places, so that its batch
 * does not run short while a prompt is read; measured in bench/load.ts.
 */
const PROMPTS_AHEAD = 2;

/** An entry's hold on an attempt that it has sent. */
export interface AttemptHandle {
  cancel(): void;
  pause(): void;
  resume(): void;
}

interface RunningAttempt extends AttemptHandle {
  /** Has the attempt resumed elsewhere, with its cache where that pays. */
  move(): Promise<void>;
  /** The same at once, without the cache. */
  cut(): void;
}

/** An attempt on its way through the desk. */
interface Visit {
  readonly attempt: AttemptRequest;
  readonly emit: (frame: AttemptFrame) => void;
  readonly pending: PendingAttempt;
  /** Timer time after which the answer is of no use, milliseconds. */
  readonly deadline: number;
  readonly span: Span;
}

/**
 * Takes attempts for one endpoint: admits them, runs each at most once, and
 * knows the true work in flight.
 */
export class AttemptDesk {
  readonly #options: AttemptDeskOptions;
  readonly #limiter: SideLimiter;
  readonly #once: SideOnceTable;
  readonly #recent: RecentAttempts;
  readonly #running = new Map<string, RunningAttempt>();
  #ceiling: number;
  #idleListeners: (() => void)[] = [];

  constructor(options: AttemptDeskOptions) {
    this.#options = options;
    this.#ceiling = options.mostRunning;
    this.#limiter = new SideLimiter({
      ...options,
      mostBeforeFirstToken: options.kind === "engine" ? PROMPTS_AHEAD : 0,
    });
    this.#once = new SideOnceTable({
      incarnation: options.incarnation,
      mostKeptAnswers: options.mostKeptAnswers,
      mostKeptAnswerBytes: options.mostKeptAnswerBytes,
      onBarred: (key, record) => options.tell("once_barred", { key, record }),
    });
    this.#recent = new RecentAttempts(options.timer);
  }

  /** Number of attempts that the endpoint is working on. */
  get running(): number {
    return this.#running.size;
  }

  /** Places that the endpoint has in its present role. */
  useCeiling(mostRunning: number): void {
    const ceiling = Math.min(mostRunning, this.#options.mostRunning);
    // What was learned of the endpoint's pace holds while its places do.
    if (ceiling === this.#ceiling) return;
    this.#ceiling = ceiling;
    this.#limiter.useCeiling(ceiling);
  }

  load(): EndpointLoad {
    return this.#limiter.load();
  }

  /** What became of a record of the `once` stream. */
  ask(question: OnceQuestion): OnceAnswer {
    return this.#once.ask(question);
  }

  /** Takes an attempt; the last frame says how it ended. */
  run(
    attempt: AttemptRequest,
    emit: (frame: AttemptFrame) => void,
  ): AttemptHandle {
    const pending = new PendingAttempt();
    if (this.#isRepeat(attempt)) return pending;
    const { timer, tracer } = this.#options;
    void this.#admit({
      attempt,
      emit,
      pending,
      deadline: timer.now() + attempt.deadlineMilliseconds,
      span: tracer.start("side.attempt", {
        traceparent: attempt.traceparent,
        facts: { attemptId: attempt.attemptId },
      }),
    });
    return pending;
  }

  #isRepeat({ attemptId }: AttemptRequest): boolean {
    const isRepeat = !this.#recent.add(attemptId);
    return this.#options.guards?.isRepeat?.(attemptId) ?? isRepeat;
  }

  /** Has everything that still runs resumed elsewhere. */
  async moveAll(): Promise<void> {
    const running = [...this.#running.values()];
    await Promise.all(running.map((each) => each.move()));
  }

  /** The same at once, as the process ends. */
  cutAll(): void {
    for (const running of [...this.#running.values()]) running.cut();
  }

  /** Settles when nothing runs any more. */
  idle(): Promise<void> {
    if (this.#running.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Settles when nothing runs any more, or after the time. */
  idleWithin(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const limit = this.#options.timer.after(milliseconds, resolve);
      void this.idle().then(() => {
        limit.cancel();
        resolve();
      });
    });
  }

  async #admit(visit: Visit): Promise<void> {
    const { attempt } = visit;
    if (this.#isForEarlierRun(attempt)) return this.#sayAlreadyRun(visit);
    const closed = this.#closedBecause(attempt);
    if (closed !== undefined) return this.#refuse(visit, closed);
    const entering = this.#limiter.enter({
      priority: attempt.priority,
      className: attempt.className,
      deadlineMilliseconds: attempt.deadlineMilliseconds,
      mayPause: attempt.mayPause,
      attemptId: attempt.attemptId,
      promptTokens: attempt.promptTokens,
    });
    this.#yieldToUrgent();
    const slot = await entering;
    if (slot.isErr()) return this.#refuse(visit, slot.error.name);
    const refused = this.#start(visit, slot.value);
    if (refused) slot.value.release();
  }

  /**
   * A call without a permit that names another run of this side: a copy of it
   * may have reached that run, which has kept no memory of it. Run here it
   * could book a permit twice, and "not run" could be a lie.
   */
  #isForEarlierRun({ sideIncarnation }: AttemptRequest): boolean {
    return sideIncarnation !== undefined &&
      sideIncarnation !== this.#options.incarnation;
  }

  #closedBecause(attempt: AttemptRequest): NotRunFrame["reason"] | undefined {
    if (attempt.endpoint !== this.#options.endpointId) return "wrong_endpoint";
    return this.#options.closedBecause();
  }

  /** Hands the work over; true where it was refused instead. */
  #start(visit: Visit, slot: Slot): boolean {
    const { attempt } = visit;
    // The state may have changed while the attempt waited for its slot.
    const closed = this.#closedBecause(attempt);
    const reason = closed ?? (visit.pending.cancelled ? "late" : undefined);
    if (reason !== undefined) {
      this.#refuse(visit, reason);
      return true;
    }
    if (attempt.once !== undefined) {
      const begun = this.#once.begin(attempt.once);
      if (begun === "already") this.#sayAlreadyRun(visit);
      else if (begun !== "run") this.#refuse(visit, begun);
      if (begun !== "run") return true;
    }
    this.#options.tell("endpoint_started", attemptFacts(attempt));
    this.#handOver(visit, slot);
    return false;
  }

  #handOver(visit: Visit, slot: Slot): void {
    const { attempt } = visit;
    const span = this.#options.tracer.start("endpoint.call", {
      traceparent: visit.span.traceparent ?? attempt.traceparent,
    });
    const traced = { ...visit, attempt: withParent(attempt, span) };
    let ended = false;
    const done = (end: AttemptEnd, answer?: ServiceResponse) => {
      ended = true;
      if (end !== "answered") span.fail(end);
      span.end();
      slot.release();
      this.#finished(visit, { end, answer });
    };
    const running = attempt.work.kind === "generation"
      ? this.#runGeneration(traced, { slot, done })
      : this.#runService(traced, done);
    if (ended) return;
    this.#running.set(attempt.attemptId, running);
    visit.pending.attach(running);
  }

  #runGeneration(
    visit: Visit,
    given: { slot: Slot; done: (end: AttemptEnd) => void },
  ): RunningAttempt {
    const run = new GenerationRun(visit.attempt, {
      ...this.#options,
      emit: visit.emit,
      load: () => this.load(),
      deadline: visit.deadline,
      onToken: () => given.slot.token(),
      done: given.done,
    });
    return {
      cancel: () => run.stop("cancelled"),
      pause: () => run.pause(),
      resume: () => run.resume(),
      move: () => run.move(),
      cut: () => run.stop("moved"),
    };
  }

  #runService(
    visit: Visit,
    done: (end: AttemptEnd, answer?: ServiceResponse) => void,
  ): RunningAttempt {
    const run = new ServiceRun(visit.attempt, {
      ...this.#options,
      emit: visit.emit,
      load: () => this.load(),
      deadline: visit.deadline,
      done,
    });
    return {
      cancel: () => run.abandon(),
      pause() {},
      resume() {},
      move: () => Promise.resolve(run.abandon()),
      cut: () => run.abandon(),
    };
  }

  #finished(
    visit: Visit,
    result: { end: AttemptEnd; answer?: ServiceResponse },
  ): void {
    const { attempt, span } = visit;
    const { end, answer } = result;
    this.#running.delete(attempt.attemptId);
    if (attempt.once !== undefined) {
      if (end === "turned_down") this.#once.turnedDown(attempt.once);
      else this.#once.finish(attempt.once, answer);
    }
    span.end();
    this.#tellEnd(attempt, end);
    if (this.#running.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  #tellEnd(attempt: AttemptRequest, end: AttemptEnd): void {
    const facts = attemptFacts(attempt);
    const cause = CANCEL_CAUSES[end];
    if (cause !== undefined) {
      this.#options.tell("endpoint_cancelled", { ...facts, cause });
      return;
    }
    const result = end === "answered" ? "answered" : "failed";
    this.#options.tell("endpoint_finished", { ...facts, result });
  }

  /**
   * Urgent work waits behind bulk that fills the batch: the bulk attempt goes
   * back to its entry, which resumes it elsewhere or later from the tokens
   * that its caller already has.
   */
  #yieldToUrgent(): void {
    const slot = this.#limiter.toPause();
    if (slot?.attemptId === undefined) return;
    this.#running.get(slot.attemptId)?.cut();
  }

  /**
   * Says "not run", and makes it stay true: a copy of the message that is
   * still on its way must not run later, so the permit is barred first. Where
   * another copy has run already, "not run" would be a lie.
   */
  #refuse(visit: Visit, reason: NotRunFrame["reason"]): void {
    const { attempt, emit, span } = visit;
    if (attempt.once !== undefined && !this.#once.refuse(attempt.once)) {
      return this.#sayAlreadyRun(visit);
    }
    span.fail(reason);
    span.end();
    this.#options.tell("attempt_refused", { ...attemptFacts(attempt), reason });
    emit({
      kind: "not_run",
      attemptId: attempt.attemptId,
      reason,
      load: this.load(),
    });
  }

  /** The record was used before, so nothing here can say "not run". */
  #sayAlreadyRun({ attempt, emit, span }: Visit): void {
    span.fail("already_run");
    span.end();
    emit({
      kind: "failed",
      attemptId: attempt.attemptId,
      reason: "already_run",
    });
  }
}

/** Ends that the side itself brings about, and why. */
const CANCEL_CAUSES: Partial<Record<AttemptEnd, string>> = {
  cancelled: "caller",
  deadline: "deadline",
  moved: "planned",
};

function withParent(attempt: AttemptRequest, span: Span): AttemptRequest {
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

/** Stands for an attempt before and after it gets its slot. */
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
