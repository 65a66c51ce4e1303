import type { Incarnation, ProcessId } from "../core/identity/mod.ts";
import type {
  EndpointLink,
  EngineObservation,
  EntryLink,
  PeerAddress,
} from "../core/links/mod.ts";
import { SideLimiter } from "../core/limits/mod.ts";
import type { Slot } from "../core/limits/mod.ts";
import { attachments } from "../core/membership/mod.ts";
import type {
  HistoryEventKind,
  Logger,
  Observe,
} from "../core/observation/mod.ts";
import { SILENT_LOGGER } from "../core/observation/mod.ts";
import { SideOnceTable } from "../core/once/mod.ts";
import { OrderExecutor } from "../core/orders/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  EndpointConfiguration,
  NotRunFrame,
  OnceAnswer,
  OnceQuestion,
  SideReport,
  WatchAnswer,
} from "../generated/messages.ts";
import { GenerationRun } from "./attempt_run.ts";
import { RecentAttempts } from "./recent_attempts.ts";
import { ServiceRun } from "./service_run.ts";
import { WatchLoop } from "./watch_loop.ts";

/** Limits of one side; every one of them bounds its memory or its waiting. */
export interface SideLimits {
  readonly mostRunning: number;
  readonly mostWaiting: number;
  readonly mostKeptAnswers: number;
  readonly mostKeptAnswerBytes: number;
  /** Time that a planned stop leaves to running work, seconds. */
  readonly shutdownSeconds: number;
}

export interface SideTimes {
  readonly reportMilliseconds: number;
  readonly longestOrderMilliseconds: number;
  readonly watchMilliseconds: number;
  /** Time that running work has before a role change moves it, milliseconds. */
  readonly drainMilliseconds: number;
  readonly firstTokenSilenceMilliseconds: number;
  readonly tokenSilenceMilliseconds: number;
}

export interface SideOptions {
  readonly name: ProcessId;
  readonly incarnation: Incarnation;
  readonly endpointId: string;
  readonly kind: "engine" | "service";
  readonly timer: TimerService;
  readonly random: Random;
  readonly endpoint: EndpointLink;
  readonly entries: EntryLink;
  readonly entryAddresses: readonly PeerAddress[];
  readonly limits: SideLimits;
  readonly times: SideTimes;
  readonly observe?: Observe;
  readonly logger?: Logger;
}

/** An entry's hold on an attempt that it has sent. */
export interface AttemptHandle {
  cancel(): void;
  pause(): void;
  resume(): void;
}

interface RunningAttempt extends AttemptHandle {
  readonly attempt: AttemptRequest;
  /** Ends the attempt at this endpoint so that the entry resumes it elsewhere. */
  move(): void;
}

/** A side is attached to two entries, so that losing one delays nothing. */
const ATTACHED_ENTRIES = 2;

/**
 * The only door to one endpoint. Every request and every order passes it, so
 * it knows the true work in flight, and what it refuses has not run.
 */
export class SideCore {
  readonly #options: SideOptions;
  readonly #logger: Logger;
  readonly #limiter: SideLimiter;
  readonly #once: SideOnceTable;
  readonly #orders: OrderExecutor;
  readonly #recent: RecentAttempts;
  readonly #watches: WatchLoop[] = [];
  readonly #running = new Map<string, RunningAttempt>();
  readonly #waitingAttempts = new Set<string>();
  #configuration: EndpointConfiguration | undefined;
  #configurationVersion = 0;
  #ordersRead = -1;
  #observation: EngineObservation | undefined;
  #endpointDown = false;
  #leaving = false;
  #changing = false;
  #observing: Subscription | undefined;
  #idleListeners: (() => void)[] = [];

  constructor(options: SideOptions) {
    this.#options = options;
    this.#logger = options.logger ?? SILENT_LOGGER;
    this.#limiter = new SideLimiter({
      timer: options.timer,
      mostRunning: options.limits.mostRunning,
      mostWaiting: options.limits.mostWaiting,
    });
    this.#once = new SideOnceTable({
      incarnation: options.incarnation,
      mostKeptAnswers: options.limits.mostKeptAnswers,
      mostKeptAnswerBytes: options.limits.mostKeptAnswerBytes,
    });
    this.#recent = new RecentAttempts(options.timer);
    this.#orders = new OrderExecutor({
      endpoint: options.endpoint,
      timer: options.timer,
      checksFencing: () => this.#configuration?.checksFencing ?? false,
      incarnation: options.incarnation,
      longestOrderMilliseconds: options.times.longestOrderMilliseconds,
      drain: () => this.#drainForChange(),
      resume: () => this.#resumeAfterChange(),
      observe: options.observe,
      process: options.name,
    });
  }

  /** Starts watching entries and observing the endpoint. */
  start(): void {
    this.#tell("process_started", {});
    const addresses = attachments(
      this.#options.endpointId,
      this.#options.entryAddresses,
      { count: ATTACHED_ENTRIES },
    );
    for (const entry of addresses) this.#watch(entry);
    if (this.#options.kind === "engine") this.#startObserving();
  }

  /**
   * Graceful shutdown: refuses new work at once, lets running work finish
   * within the limit, and has what is left resumed elsewhere. Calls that may
   * have their effect once only are waited for to the end of the limit.
   */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#tell("side_draining", { endpoint: this.#options.endpointId });
    await this.#idleWithin(this.#options.limits.shutdownSeconds * 1000);
    this.halt();
  }

  /** Ends all timers and running work at once. */
  halt(): void {
    this.#leaving = true;
    for (const watch of this.#watches) watch.stop();
    this.#observing?.cancel();
    this.#orders.stop();
    for (const running of [...this.#running.values()]) running.move();
    this.#tell("process_stopped", {});
  }

  /**
   * Takes an attempt. Frames go to `emit`; the last is one of end, response,
   * not run or failed, unless the entry cancels.
   */
  run(
    attempt: AttemptRequest,
    emit: (frame: AttemptFrame) => void,
  ): AttemptHandle {
    const pending = new PendingAttempt();
    void this.#admit(attempt, { emit, pending });
    return pending;
  }

  /** What became of a record of the `once` stream. */
  ask(question: OnceQuestion): OnceAnswer {
    return this.#once.ask(question);
  }

  report(): SideReport {
    return {
      side: this.#options.name,
      incarnation: this.#options.incarnation,
      endpoint: this.#options.endpointId,
      state: this.#state(),
      role: this.#observation?.role,
      weights: this.#observation?.weights,
      load: this.#limiter.load(),
      configurationVersion: this.#configurationVersion,
      ordersRead: this.#ordersRead,
      orderApplied: this.#orders.applied,
    };
  }

  /** Number of attempts that the endpoint is working on. */
  get running(): number {
    return this.#running.size;
  }

  #state(): SideReport["state"] {
    if (this.#leaving) return "leaving";
    if (this.#endpointDown) return "down";
    if (this.#changing) return "changing";
    if (this.#isDraining()) return "draining";
    return "serving";
  }

  #isDraining(): boolean {
    const state = this.#configuration?.state;
    return state === "draining" || state === "withdrawn";
  }

  async #admit(
    attempt: AttemptRequest,
    io: { emit: (frame: AttemptFrame) => void; pending: PendingAttempt },
  ): Promise<void> {
    if (!this.#recent.add(attempt.attemptId)) return;
    const refuse = (reason: NotRunFrame["reason"]) =>
      this.#refuse(attempt, { reason, emit: io.emit });
    const closed = this.#closedBecause(attempt);
    if (closed !== undefined) return refuse(closed);
    const deadline = this.#options.timer.now() + attempt.deadlineMilliseconds;
    const entered = this.#limiter.enter({
      priority: attempt.priority,
      className: attempt.className,
      deadlineMilliseconds: attempt.deadlineMilliseconds,
    });
    if (entered.isErr()) return refuse(entered.error.reason);
    io.pending.onCancel(() => entered.value.cancel());
    this.#waitingAttempts.add(attempt.attemptId);
    const slot = await entered.value.granted;
    this.#waitingAttempts.delete(attempt.attemptId);
    if (slot.isErr()) return refuse(slot.error.reason);
    this.#start(attempt, { ...io, slot: slot.value, deadline });
  }

  /** Why the endpoint takes no new work, or nothing where it does. */
  #closedBecause(attempt: AttemptRequest): NotRunFrame["reason"] | undefined {
    if (attempt.endpoint !== this.#options.endpointId) return "wrong_endpoint";
    if (this.#leaving) return "draining";
    if (this.#endpointDown) return "endpoint_down";
    if (this.#changing) return "changing_role";
    if (this.#isDraining()) return "draining";
    return undefined;
  }

  #start(
    attempt: AttemptRequest,
    io: {
      emit: (frame: AttemptFrame) => void;
      pending: PendingAttempt;
      slot: Slot;
      deadline: number;
    },
  ): void {
    const giveUp = (reason: NotRunFrame["reason"]) => {
      io.slot.release();
      this.#refuse(attempt, { reason, emit: io.emit });
    };
    // The state may have changed while the attempt waited for its slot.
    const closed = this.#closedBecause(attempt);
    if (closed !== undefined) return giveUp(closed);
    if (io.pending.cancelled) return giveUp("late");
    const permitted = this.#permit(attempt);
    if (permitted !== undefined) return giveUp(permitted);
    this.#tell("endpoint_started", startedFacts(attempt));
    io.emit({ kind: "started", attemptId: attempt.attemptId });
    const running = attempt.work.kind === "generation"
      ? this.#startGeneration(attempt, io)
      : this.#startService(attempt, io);
    if (running.settled) return;
    this.#running.set(attempt.attemptId, running.handle);
    io.pending.attach(running.handle);
  }

  /**
   * A call that may have its effect once only needs a permit that this run
   * of the side has neither used nor barred.
   */
  #permit(attempt: AttemptRequest): NotRunFrame["reason"] | undefined {
    if (attempt.once === undefined) return undefined;
    const begun = this.#once.begin(attempt.once);
    if (begun === "run") return undefined;
    return begun === "already" ? "barred" : begun;
  }

  #startGeneration(
    attempt: AttemptRequest,
    io: {
      emit: (frame: AttemptFrame) => void;
      slot: Slot;
      deadline: number;
    },
  ): { handle: RunningAttempt; settled: boolean } {
    const { timer, endpoint, times } = this.#options;
    let settled = false;
    const run = new GenerationRun(attempt, {
      timer,
      endpoint,
      emit: io.emit,
      load: () => this.#limiter.load(),
      deadline: io.deadline,
      firstTokenSilenceMilliseconds: times.firstTokenSilenceMilliseconds,
      tokenSilenceMilliseconds: times.tokenSilenceMilliseconds,
      onToken: () => io.slot.token(),
      done: (end) => {
        settled = true;
        io.slot.release();
        this.#finished(attempt, end);
      },
    });
    const handle: RunningAttempt = {
      attempt,
      cancel: () => run.stop("cancelled"),
      pause: () => run.pause(),
      resume: () => run.resume(),
      move: () => run.stop("moved"),
    };
    return { handle, settled };
  }

  #startService(
    attempt: AttemptRequest,
    io: { emit: (frame: AttemptFrame) => void; slot: Slot; deadline: number },
  ): { handle: RunningAttempt; settled: boolean } {
    const run = new ServiceRun(attempt, {
      timer: this.#options.timer,
      endpoint: this.#options.endpoint,
      emit: io.emit,
      load: () => this.#limiter.load(),
      deadline: io.deadline,
      done: (end, answer) => {
        if (attempt.once !== undefined) {
          this.#once.finish(attempt.once, answer);
        }
        io.slot.release();
        this.#finished(attempt, end);
      },
    });
    const handle: RunningAttempt = {
      attempt,
      cancel: () => run.abandon(),
      pause: () => {},
      resume: () => {},
      move: () => run.abandon(),
    };
    return { handle, settled: false };
  }

  #finished(attempt: AttemptRequest, end: string): void {
    this.#running.delete(attempt.attemptId);
    const kind = end === "answered"
      ? "endpoint_executed"
      : "endpoint_cancelled";
    this.#tell(kind, { ...startedFacts(attempt), end });
    if (this.#running.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  /**
   * Says "not run", and makes it stay true: a copy of the message that is
   * still on its way must not run later, so the permit is barred first.
   */
  #refuse(
    attempt: AttemptRequest,
    io: { reason: NotRunFrame["reason"]; emit: (frame: AttemptFrame) => void },
  ): void {
    if (attempt.once !== undefined) {
      this.#once.ask({ ...attempt.once, bar: true });
    }
    this.#tell("attempt_refused", {
      ...startedFacts(attempt),
      reason: io.reason,
    });
    io.emit({
      kind: "not_run",
      attemptId: attempt.attemptId,
      reason: io.reason,
      load: this.#limiter.load(),
    });
  }

  #watch(entry: PeerAddress): void {
    const watch = new WatchLoop({
      timer: this.#options.timer,
      random: this.#options.random,
      entries: this.#options.entries,
      entry,
      report: () => this.report(),
      onAnswer: (answer) => this.#onWatchAnswer(answer),
      waitMilliseconds: this.#options.times.watchMilliseconds,
    });
    this.#watches.push(watch);
    watch.start();
  }

  /**
   * Takes what an entry says is in force. An entry that has read less of the
   * log than another answers with older positions; taking them would bring a
   * withdrawn endpoint back into service. Positions only rise here.
   */
  #onWatchAnswer(answer: WatchAnswer): void {
    if (answer.configurationVersion > this.#configurationVersion) {
      this.#configurationVersion = answer.configurationVersion;
      this.#configuration = answer.endpoint ?? WITHDRAWN;
      this.#tell("configuration_in_force", {
        version: answer.configurationVersion,
        state: this.#configuration.state,
      });
      this.#logger.info({
        version: answer.configurationVersion,
        state: this.#configuration.state,
      }, "Configuration is in force");
    }
    this.#ordersRead = Math.max(this.#ordersRead, answer.ordersRead);
    if (answer.order === undefined) return;
    if (this.#configuration?.state === "withdrawn") return;
    this.#orders.take(answer.order);
  }

  async #drainForChange(): Promise<void> {
    this.#changing = true;
    await this.#idleWithin(this.#options.times.drainMilliseconds);
    for (const running of [...this.#running.values()]) running.move();
    await this.#idle();
  }

  #resumeAfterChange(): void {
    this.#changing = false;
    void this.#observe();
  }

  #idle(): Promise<void> {
    if (this.#running.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  #idleWithin(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const limit = this.#options.timer.after(milliseconds, resolve);
      void this.#idle().then(() => {
        limit.cancel();
        resolve();
      });
    });
  }

  #startObserving(): void {
    void this.#observe();
    this.#observing = this.#options.timer.every(
      this.#options.times.reportMilliseconds,
      () => void this.#observe(),
    );
  }

  async #observe(): Promise<void> {
    const observed = await this.#options.endpoint.observe();
    const down = observed.isErr();
    if (down !== this.#endpointDown) {
      this.#logger.warn({ down }, "The endpoint's reachability changed");
    }
    this.#endpointDown = down;
    if (observed.isOk()) this.#observation = observed.value;
  }

  #tell(
    kind: HistoryEventKind,
    facts: Record<string, string | number | boolean>,
  ): void {
    this.#options.observe?.({
      at: this.#options.timer.now(),
      process: this.#options.name,
      kind,
      facts: {
        ...facts,
        endpoint: this.#options.endpointId,
        incarnation: this.#options.incarnation,
      },
    });
  }
}

const WITHDRAWN: EndpointConfiguration = {
  state: "withdrawn",
  checksFencing: false,
};

function startedFacts(
  attempt: AttemptRequest,
): Record<string, string | number | boolean> {
  const facts: Record<string, string | number | boolean> = {
    request: attempt.requestId,
    attempt: attempt.attemptId,
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
  #onCancel: (() => void) | undefined;
  #cancelled = false;

  get cancelled(): boolean {
    return this.#cancelled;
  }

  onCancel(listener: () => void): void {
    this.#onCancel = listener;
  }

  attach(handle: AttemptHandle): void {
    this.#handle = handle;
  }

  cancel(): void {
    this.#cancelled = true;
    if (this.#handle !== undefined) this.#handle.cancel();
    else this.#onCancel?.();
  }

  pause(): void {
    this.#handle?.pause();
  }

  resume(): void {
    this.#handle?.resume();
  }
}
