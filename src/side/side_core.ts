import type {
  AvailabilityZoneId,
  Incarnation,
  ProcessId,
} from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type {
  EndpointLink,
  EngineObservation,
  EntryLink,
  PeerAddress,
} from "../core/links/mod.ts";
import { hashToUnit, selectAttachedEntries } from "../core/membership/mod.ts";
import type {
  EmitEvent,
  Logger,
  Observe,
  Tracer,
} from "../core/observation/mod.ts";
import {
  createEmitEvent,
  NOOP_LOGGER,
  NOOP_TRACER,
} from "../core/observation/mod.ts";
import { loadStartDelay, OrderExecutor } from "../core/orders/mod.ts";
import type { Random } from "../core/random/mod.ts";
import { roleSlots } from "../core/roles/mod.ts";
import { sleep } from "../core/time/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  EndpointConfiguration,
  NotRunFrame,
  OnceAnswer,
  OnceQuestion,
  SideReport,
  StandingOrder,
  WatchAnswer,
} from "../generated/messages.ts";
import { AttemptExecutor } from "./attempt_executor.ts";
import type { AttemptHandle } from "./attempt_executor.ts";
import { InitialAnswers } from "./initial_answers.ts";
import type { SideGuardOverrides } from "./guards.ts";
import { WatchLoop } from "./watch_loop.ts";

/** Limits of one side; each of them bounds memory or waiting time. */
export interface SideLimits {
  readonly mostRunning: number;
  readonly mostWaiting: number;
  readonly mostKeptAnswers: number;
  readonly mostKeptAnswerBytes: number;
  /** Time that running work gets to finish on a graceful shutdown, seconds. */
  readonly shutdownSeconds: number;
}

export interface SideTimes {
  readonly reportMilliseconds: number;
  readonly longestOrderMilliseconds: number;
  readonly watchMilliseconds: number;
  /**
   * Time that running work gets to finish before a role change migrates it,
   * milliseconds.
   */
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
  /**
   * Entries to attach to initially; later ones come from the entries' answers.
   */
  readonly entryAddresses: readonly PeerAddress[];
  readonly limits: SideLimits;
  readonly times: SideTimes;
  readonly observe?: Observe;
  readonly logger?: Logger;
  readonly tracer?: Tracer;
  readonly guards?: SideGuardOverrides;
}

/**
 * Maximum engines of a pool that load weights together where no planner limits
 * them.
 */
const MAX_CONCURRENT_LOADS = 2;
/** Expected duration of a weight load, for spreading the loads. */
const EXPECTED_LOAD_MILLISECONDS = 30_000;

/**
 * A side is attached to two entries, so that the loss of one delays nothing.
 */
const ATTACHED_ENTRY_COUNT = 2;

/**
 * Core of a side. Every request and every order for one endpoint passes through
 * it, so it knows the actual work in progress, and what it refuses has not run.
 */
export class SideCore {
  readonly #options: SideOptions;
  readonly #logger: Logger;
  readonly #emitEvent: EmitEvent;
  readonly #executor: AttemptExecutor;
  readonly #watchLoops: readonly WatchLoop[];
  readonly #initialAnswers: InitialAnswers;
  #orderExecutor: OrderExecutor | undefined;
  #configuration: EndpointConfiguration | undefined;
  #configurationVersion = 0;
  #ordersRead = -1;
  #latestOrderOffset = -1;
  #latestOrder: StandingOrder | undefined;
  /**
   * Offset of the order that was in force when this side started; -1 if none.
   */
  #initialOrderOffset = -1;
  #hasReceivedAnswer = false;
  #advertisedEntries: readonly PeerAddress[] = [];
  #observation: EngineObservation | undefined;
  #endpointDown = false;
  #leaving = false;
  #applyingOrder = false;
  #observationTimer: Subscription | undefined;

  constructor(options: SideOptions) {
    this.#options = options;
    this.#logger = options.logger ?? NOOP_LOGGER;
    this.#emitEvent = createEmitEvent({
      observe: options.observe,
      timer: options.timer,
      process: options.name,
      commonFields: {
        endpoint: options.endpointId,
        incarnation: options.incarnation,
      },
    });
    this.#executor = new AttemptExecutor({
      ...options,
      ...options.limits,
      ...options.times,
      tracer: options.tracer ?? NOOP_TRACER,
      closedReason: () => this.#closedReason(),
      emitEvent: this.#emitEvent,
    });
    this.#initialAnswers = new InitialAnswers({
      timer: options.timer,
      loopCount: ATTACHED_ENTRY_COUNT,
      onAnswer: (answer) => this.#onWatchAnswer(answer),
      waitsForAll: options.guards?.waitsForAllEntries,
    });
    this.#watchLoops = Array.from(
      { length: ATTACHED_ENTRY_COUNT },
      (_, index) => this.#createWatchLoop(index),
    );
  }

  /** Starts watching entries and observing the endpoint. */
  start(): void {
    this.#emitEvent("process_started", { role: "side" });
    this.#initialAnswers.start();
    for (const loop of this.#watchLoops) loop.start();
    if (this.#options.kind === "engine") this.#startObserving();
  }

  /**
   * Graceful shutdown: refuses new and waiting work at once, lets running work finish
   * within the limit, and has the remaining work resumed elsewhere.
   * Non-idempotent calls are waited for until the end of the limit.
   */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#emitEvent("side_draining", { cause: "stop" });
    this.#executor.refuseWaiting();
    await this.#executor.whenIdleWithin(
      this.#options.limits.shutdownSeconds * 1000,
    );
    await this.#executor.migrateAll();
    this.halt();
  }

  /** Stops all timers and running work at once. */
  halt(): void {
    this.#leaving = true;
    for (const loop of this.#watchLoops) loop.stop();
    this.#initialAnswers.stop();
    this.#observationTimer?.cancel();
    this.#orderExecutor?.stop();
    this.#executor.interruptAll();
    this.#emitEvent("process_stopped", {});
  }

  /**
   * Accepts an attempt. Frames go to `emit`; the last one is end, response,
   * not_run or failed, unless the entry cancels.
   */
  run(
    attempt: AttemptRequest,
    emit: (frame: AttemptFrame) => void,
  ): AttemptHandle {
    return this.#executor.run(attempt, emit);
  }

  /** State of a record of the `once` stream. */
  ask(question: OnceQuestion): OnceAnswer {
    return this.#executor.queryOnceRecord(question);
  }

  report(): SideReport {
    return {
      side: this.#options.name,
      incarnation: this.#options.incarnation,
      endpoint: this.#options.endpointId,
      state: this.#state(),
      role: this.#observation?.role,
      weights: this.#observation?.weights,
      load: this.#executor.load(),
      configurationVersion: this.#configurationVersion,
      ordersRead: this.#ordersRead,
      orderTaken: this.#latestOrderOffset,
      orderApplied: this.#orderExecutor?.applied ?? -1,
    };
  }

  /** Number of attempts that the endpoint is working on. */
  get running(): number {
    return this.#executor.running;
  }

  #state(): SideReport["state"] {
    if (this.#leaving) return "leaving";
    if (this.#endpointDown) return "down";
    // An order can take minutes. If `changing` came first, operators would not
    // see that a drain is in force, and callers would wait for the endpoint.
    if (this.#isDraining()) return "draining";
    if (this.#applyingOrder) return "changing";
    return "serving";
  }

  #isDraining(): boolean {
    const state = this.#configuration?.state;
    return state === "draining" || state === "withdrawn";
  }

  /** Reason why the endpoint accepts no new work; undefined if it does. */
  #closedReason(): NotRunFrame["reason"] | undefined {
    return CLOSED_REASONS[this.#state()];
  }

  #createWatchLoop(loopIndex: number): WatchLoop {
    return new WatchLoop({
      ...this.#options,
      candidates: () => this.#candidates(),
      loopIndex,
      loopCount: ATTACHED_ENTRY_COUNT,
      report: () => this.report(),
      onAnswer: (answer) => this.#initialAnswers.receive(loopIndex, answer),
      waitMilliseconds: this.#options.times.watchMilliseconds,
    });
  }

  /**
   * Entries to attach to: those from the latest answer first, because those
   * from the settings may have been replaced.
   */
  #candidates(): PeerAddress[] {
    const { endpointId, entryAddresses, availabilityZone } = this.#options;
    const entries = entryAddresses.map((id) => ({ id, availabilityZone }));
    const ranked = selectAttachedEntries(entries, {
      side: endpointId,
      availabilityZone,
      count: entries.length,
    });
    const configured = ranked.map((entry) => entry.id);
    return [...new Set([...this.#advertisedEntries, ...configured])];
  }

  /**
   * Applies an entry's answer. An entry that has read less of the log than
   * another one answers with older positions; accepting them would bring a
   * withdrawn endpoint back into service. Positions are therefore monotonic
   * here.
   */
  #onWatchAnswer(answer: WatchAnswer): void {
    if (answer.entries !== undefined && answer.entries.length > 0) {
      this.#advertisedEntries = answer.entries.map((each) => identifier(each));
    }
    this.#applyConfiguration(answer);
    this.#ordersRead = Math.max(this.#ordersRead, answer.ordersRead);
    this.#acceptOrder(answer);
    this.#hasReceivedAnswer = true;
  }

  #applyConfiguration(answer: WatchAnswer): void {
    if (!this.#isNewer(answer.configurationVersion)) return;
    const wasDraining = this.#isDraining();
    this.#configurationVersion = answer.configurationVersion;
    this.#configuration = answer.endpoint ?? WITHDRAWN_CONFIGURATION;
    const facts = {
      version: answer.configurationVersion,
      state: this.#configuration.state,
    };
    this.#emitEvent("configuration_in_force", facts);
    this.#logger.info(facts, "Configuration is in force");
    if (this.#isDraining() && !wasDraining) {
      this.#emitEvent("side_draining", { cause: "configuration" });
    }
    this.#executeOrder();
  }

  #isNewer(version: number): boolean {
    const isNewer = this.#options.guards?.isNewer ?? isGreater;
    return isNewer(version, this.#configurationVersion);
  }

  #acceptOrder({ order }: WatchAnswer): void {
    if (order === undefined || order.offset <= this.#latestOrderOffset) return;
    this.#latestOrderOffset = order.offset;
    this.#latestOrder = order;
    if (!this.#hasReceivedAnswer) this.#initialOrderOffset = order.offset;
    this.#executeOrder();
  }

  /**
   * Passes the latest order to the executor. A withdrawn endpoint gets no
   * orders; it gets the latest one when it is in service again, because the
   * order is not repeated.
   */
  #executeOrder(): void {
    if (this.#latestOrder === undefined) return;
    if (this.#configuration?.state === "withdrawn") return;
    this.#orderExecutor ??= this.#createOrderExecutor();
    this.#orderExecutor.take(this.#latestOrder);
  }

  /**
   * Created with the first order, because only then it is known whether the
   * engine checks fencing tokens.
   */
  #createOrderExecutor(): OrderExecutor {
    const { endpoint, timer, incarnation, times, observe, name } =
      this.#options;
    return new OrderExecutor({
      endpointId: this.#options.endpointId,
      endpoint,
      timer,
      checksFencing: () => this.#configuration?.checksFencing ?? false,
      incarnation,
      longestOrderMilliseconds: times.longestOrderMilliseconds,
      drain: () => this.#drainForOrder(),
      resume: () => this.#resumeAfterOrder(),
      acquireWeights: (order) => this.#delayWeightLoad(order),
      observe,
      process: name,
      guards: this.#options.guards?.orders,
    });
  }

  /**
   * Delays a weight load that no planner has paced: when an availability zone
   * comes back with empty engines, all their orders are already on the log. An
   * order that arrived while this side was running was paced by its planner and
   * is not delayed.
   */
  async #delayWeightLoad(order: StandingOrder): Promise<() => void> {
    const { timer, endpointId } = this.#options;
    if (order.offset <= this.#initialOrderOffset) {
      const milliseconds = loadStartDelay({
        engines: this.#configuration?.poolEngines ?? 1,
        maxConcurrentLoads: MAX_CONCURRENT_LOADS,
        loadMilliseconds: EXPECTED_LOAD_MILLISECONDS,
        unitHash: hashToUnit(endpointId),
      });
      await sleep(timer, milliseconds);
    }
    return () => {};
  }

  async #drainForOrder(): Promise<void> {
    if (this.#options.guards?.drainsBeforeOrder?.() === false) return;
    this.#applyingOrder = true;
    this.#emitEvent("side_draining", { cause: "order" });
    await this.#executor.whenIdleWithin(this.#options.times.drainMilliseconds);
    await this.#executor.migrateAll();
    await this.#executor.whenIdle();
  }

  #resumeAfterOrder(): void {
    this.#applyingOrder = false;
    this.#options.timer.run(() => this.#observe());
  }

  #startObserving(): void {
    this.#options.timer.run(() => this.#observe());
    this.#observationTimer = this.#options.timer.every(
      this.#options.times.reportMilliseconds,
      () => this.#observe(),
    );
  }

  async #observe(): Promise<void> {
    const observed = await this.#options.endpoint.observe();
    const down = observed.isErr();
    if (down !== this.#endpointDown) {
      this.#logger.warn({ down }, "The endpoint's reachability changed");
    }
    this.#endpointDown = down;
    if (observed.isErr()) return;
    this.#observation = observed.value;
    const slots = this.#configuration?.slots;
    if (slots === undefined) return;
    this.#executor.setSlotLimit(roleSlots(slots, observed.value.role));
  }
}

const CLOSED_REASONS: Readonly<
  Record<SideReport["state"], NotRunFrame["reason"] | undefined>
> = {
  serving: undefined,
  leaving: "draining",
  draining: "draining",
  down: "endpoint_down",
  changing: "changing_role",
};

const WITHDRAWN_CONFIGURATION: EndpointConfiguration = {
  state: "withdrawn",
  checksFencing: false,
};

function isGreater(version: number, activeVersion: number): boolean {
  return version > activeVersion;
}
