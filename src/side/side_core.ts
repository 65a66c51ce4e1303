import type {
  AvailabilityZoneId,
  Incarnation,
  ProcessId,
} from "../core/identity/mod.ts";
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
import type { AttemptEnd } from "./attempt_run.ts";
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
  readonly availabilityZone: AvailabilityZoneId;
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

/**
 * The only door to one endpoint. Every request and every order passes it, so
 * it knows the true work in flight, and what it refuses has not run.
 */
export class SideCore {
  readonly #options: SideOptions;
  readonly #logger: Logger;
  readonly #limiter: SideLimiter;
  readonly #once: SideOnceTable;
  #orders: OrderExecutor | undefined;
  readonly #recent: RecentAttempts;
  readonly #watches: WatchLoop[] = [];
  readonly #running = new Map<string, RunningAttempt>();
  #configuration: EndpointConfiguration | undefined;
  #configurationVersion = 0;
  #ordersRead = -1;
  #orderTaken = -1;
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
      onBarred: (key, record) => this.#tell("once_barred", { key, record }),
    });
    this.#recent = new RecentAttempts(options.timer);
  }

  /** Starts watching entries and observing the endpoint. */
  start(): void {
    this.#tell("process_started", { role: "side" });
    for (const entry of this.#attachedEntries()) this.#watch(entry);
    if (this.#options.kind === "engine") this.#startObserving();
  }

  /**
   * Graceful shutdown: refuses new work at once, lets running work finish
   * within the limit, and has what is left resumed elsewhere. Calls that may
   * have their effect once only are waited for to the end of the limit.
   */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#tell("side_draining", { cause: "stop" });
    await this.#idleWithin(this.#options.limits.shutdownSeconds * 1000);
    this.halt();
  }

  /** Ends all timers and running work at once. */
  halt(): void {
    this.#leaving = true;
    for (const watch of this.#watches) watch.stop();
    this.#observing?.cancel();
    this.#orders?.stop();
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
      orderTaken: this.#orderTaken,
      orderApplied: this.#orders?.applied ?? -1,
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
    if (slot.isErr()) return refuse(slot.error.name);
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
      this.#refuse(attempt, { reason, emit: io.emit });
      io.slot.release();
    };
    // The state may have changed while the attempt waited for its slot.
    const closed = this.#closedBecause(attempt);
    if (closed !== undefined) return giveUp(closed);
    if (io.pending.cancelled) return giveUp("late");
    if (attempt.once !== undefined) {
      const begun = this.#once.begin(attempt.once);
      if (begun === "already") {
        io.slot.release();
        return emitAlreadyRun(attempt, io.emit);
      }
      if (begun !== "run") return giveUp(begun);
    }
    this.#tell("endpoint_started", attemptFacts(attempt));
    io.emit({ kind: "started", attemptId: attempt.attemptId });
    const running = attempt.work.kind === "generation"
      ? this.#startGeneration(attempt, io)
      : this.#startService(attempt, io);
    if (running.settled) return;
    this.#running.set(attempt.attemptId, running.handle);
    io.pending.attach(running.handle);
  }

  /**
   * Urgent work waits behind bulk that fills the batch: the bulk attempt goes
   * back to its entry, which resumes it elsewhere or later from the tokens
   * that its caller already has.
   */
  #yieldToUrgent(): void {
    const slot = this.#limiter.toPause();
    if (slot?.attemptId === undefined) return;
    this.#running.get(slot.attemptId)?.move();
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

  #finished(attempt: AttemptRequest, end: AttemptEnd): void {
    this.#running.delete(attempt.attemptId);
    const cause = CANCEL_CAUSES[end];
    if (cause === undefined) {
      const result = end === "answered" ? "answered" : "failed";
      this.#tell("endpoint_finished", { ...attemptFacts(attempt), result });
    } else {
      this.#tell("endpoint_cancelled", { ...attemptFacts(attempt), cause });
    }
    if (this.#running.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  /**
   * Says "not run", and makes it stay true: a copy of the message that is
   * still on its way must not run later, so the permit is barred first. Where
   * another copy has run already, "not run" would be a lie.
   */
  #refuse(
    attempt: AttemptRequest,
    io: { reason: NotRunFrame["reason"]; emit: (frame: AttemptFrame) => void },
  ): void {
    if (attempt.once !== undefined && !this.#once.refuse(attempt.once)) {
      return emitAlreadyRun(attempt, io.emit);
    }
    this.#tell("attempt_refused", {
      ...attemptFacts(attempt),
      reason: io.reason,
    });
    io.emit({
      kind: "not_run",
      attemptId: attempt.attemptId,
      reason: io.reason,
      load: this.#limiter.load(),
    });
  }

  #attachedEntries(): PeerAddress[] {
    const { endpointId, entryAddresses, availabilityZone } = this.#options;
    const entries = entryAddresses.map((id) => ({ id, availabilityZone }));
    return attachments(entries, { side: endpointId, availabilityZone })
      .map((entry) => entry.id);
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
    if (answer.order.offset <= this.#orderTaken) return;
    this.#orderTaken = answer.order.offset;
    if (this.#configuration?.state === "withdrawn") return;
    this.#orders ??= this.#makeOrderExecutor();
    this.#orders.take(answer.order);
  }

  /**
   * Made with the first order and not before: only then it is known whether
   * the engine checks fencing numbers.
   */
  #makeOrderExecutor(): OrderExecutor {
    const { endpoint, timer, incarnation, times, observe, name } =
      this.#options;
    return new OrderExecutor({
      endpoint,
      timer,
      checksFencing: this.#configuration?.checksFencing ?? false,
      incarnation,
      longestOrderMilliseconds: times.longestOrderMilliseconds,
      drain: () => this.#drainForChange(),
      resume: () => this.#resumeAfterChange(),
      observe,
      process: name,
    });
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

/** Ends that the side itself brings about, and why. */
const CANCEL_CAUSES: Partial<Record<AttemptEnd, string>> = {
  cancelled: "caller",
  deadline: "deadline",
  moved: "planned",
};

const WITHDRAWN: EndpointConfiguration = {
  state: "withdrawn",
  checksFencing: false,
};

/** The record was used before, so nothing here can say "not run". */
function emitAlreadyRun(
  attempt: AttemptRequest,
  emit: (frame: AttemptFrame) => void,
): void {
  emit({
    kind: "failed",
    attemptId: attempt.attemptId,
    reason: "already_run",
  });
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
