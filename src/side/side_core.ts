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
import { attachments, hashToUnit } from "../core/membership/mod.ts";
import type { Logger, Observe, Tell, Tracer } from "../core/observation/mod.ts";
import { makeTell, NO_TRACER, SILENT_LOGGER } from "../core/observation/mod.ts";
import { loadSpread, OrderExecutor } from "../core/orders/mod.ts";
import type { Random } from "../core/random/mod.ts";
import { roleSlots } from "../core/roles/mod.ts";
import { pause } from "../core/time/mod.ts";
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
import { AttemptDesk } from "./attempt_desk.ts";
import type { AttemptHandle } from "./attempt_desk.ts";
import { FirstAnswers } from "./first_answers.ts";
import type { SideGuards } from "./guards.ts";
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
  /** Entries to attach to at first; later ones are told by the entries. */
  readonly entryAddresses: readonly PeerAddress[];
  readonly limits: SideLimits;
  readonly times: SideTimes;
  readonly observe?: Observe;
  readonly logger?: Logger;
  readonly tracer?: Tracer;
  readonly guards?: SideGuards;
}

/** Engines of a pool that load weights together where no planner paces them. */
const MOST_LOADS_AT_ONCE = 2;
/** How long a load of weights is reckoned to take for the spread. */
const EXPECTED_LOAD_MILLISECONDS = 30_000;

/** A side is attached to two entries, so that losing one delays nothing. */
const ATTACHED_ENTRIES = 2;

/**
 * The only door to one endpoint. Every request and every order passes it, so
 * it knows the true work in flight, and what it refuses has not run.
 */
export class SideCore {
  readonly #options: SideOptions;
  readonly #logger: Logger;
  readonly #tell: Tell;
  readonly #desk: AttemptDesk;
  readonly #watches: readonly WatchLoop[];
  readonly #firstAnswers: FirstAnswers;
  #orders: OrderExecutor | undefined;
  #configuration: EndpointConfiguration | undefined;
  #configurationVersion = 0;
  #ordersRead = -1;
  #orderTaken = -1;
  #order: StandingOrder | undefined;
  /** Offset of the order that stood when this side started; -1 for none. */
  #standingAtStart = -1;
  #hasHeard = false;
  #toldEntries: readonly PeerAddress[] = [];
  #observation: EngineObservation | undefined;
  #endpointDown = false;
  #leaving = false;
  #changing = false;
  #observing: Subscription | undefined;

  constructor(options: SideOptions) {
    this.#options = options;
    this.#logger = options.logger ?? SILENT_LOGGER;
    this.#tell = makeTell({
      observe: options.observe,
      timer: options.timer,
      process: options.name,
      always: {
        endpoint: options.endpointId,
        incarnation: options.incarnation,
      },
    });
    this.#desk = new AttemptDesk({
      ...options,
      ...options.limits,
      ...options.times,
      tracer: options.tracer ?? NO_TRACER,
      closedBecause: () => this.#closedBecause(),
      tell: this.#tell,
    });
    this.#firstAnswers = new FirstAnswers({
      timer: options.timer,
      loops: ATTACHED_ENTRIES,
      onAnswer: (answer) => this.#onWatchAnswer(answer),
      waitsForAll: options.guards?.waitsForAllEntries,
    });
    this.#watches = Array.from(
      { length: ATTACHED_ENTRIES },
      (_, place) => this.#makeWatch(place),
    );
  }

  /** Starts watching entries and observing the endpoint. */
  start(): void {
    this.#tell("process_started", { role: "side" });
    this.#firstAnswers.start();
    for (const watch of this.#watches) watch.start();
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
    await this.#desk.idleWithin(this.#options.limits.shutdownSeconds * 1000);
    await this.#desk.moveAll();
    this.halt();
  }

  /** Ends all timers and running work at once. */
  halt(): void {
    this.#leaving = true;
    for (const watch of this.#watches) watch.stop();
    this.#firstAnswers.stop();
    this.#observing?.cancel();
    this.#orders?.stop();
    this.#desk.cutAll();
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
    return this.#desk.run(attempt, emit);
  }

  /** What became of a record of the `once` stream. */
  ask(question: OnceQuestion): OnceAnswer {
    return this.#desk.ask(question);
  }

  report(): SideReport {
    return {
      side: this.#options.name,
      incarnation: this.#options.incarnation,
      endpoint: this.#options.endpointId,
      state: this.#state(),
      role: this.#observation?.role,
      weights: this.#observation?.weights,
      load: this.#desk.load(),
      configurationVersion: this.#configurationVersion,
      ordersRead: this.#ordersRead,
      orderTaken: this.#orderTaken,
      orderApplied: this.#orders?.applied ?? -1,
    };
  }

  /** Number of attempts that the endpoint is working on. */
  get running(): number {
    return this.#desk.running;
  }

  #state(): SideReport["state"] {
    if (this.#leaving) return "leaving";
    if (this.#endpointDown) return "down";
    // An order can take minutes; told first, it would hide from the operator
    // that a drain is in force, and callers would wait for the endpoint.
    if (this.#isDraining()) return "draining";
    if (this.#changing) return "changing";
    return "serving";
  }

  #isDraining(): boolean {
    const state = this.#configuration?.state;
    return state === "draining" || state === "withdrawn";
  }

  /** Why the endpoint takes no new work, or nothing where it does. */
  #closedBecause(): NotRunFrame["reason"] | undefined {
    return CLOSED_REASONS[this.#state()];
  }

  #makeWatch(place: number): WatchLoop {
    return new WatchLoop({
      ...this.#options,
      candidates: () => this.#candidates(),
      place,
      loops: ATTACHED_ENTRIES,
      report: () => this.report(),
      onAnswer: (answer) => this.#firstAnswers.take(place, answer),
      waitMilliseconds: this.#options.times.watchMilliseconds,
    });
  }

  /** Entries that were told last come first; the settings' may be gone. */
  #candidates(): PeerAddress[] {
    const { endpointId, entryAddresses, availabilityZone } = this.#options;
    const entries = entryAddresses.map((id) => ({ id, availabilityZone }));
    const ranked = attachments(entries, {
      side: endpointId,
      availabilityZone,
      count: entries.length,
    });
    const own = ranked.map((entry) => entry.id);
    return [...new Set([...this.#toldEntries, ...own])];
  }

  /**
   * Takes what an entry says is in force. An entry that has read less of the
   * log than another answers with older positions; taking them would bring a
   * withdrawn endpoint back into service. Positions only rise here.
   */
  #onWatchAnswer(answer: WatchAnswer): void {
    if (answer.entries !== undefined && answer.entries.length > 0) {
      this.#toldEntries = answer.entries.map((each) => identifier(each));
    }
    this.#takeConfiguration(answer);
    this.#ordersRead = Math.max(this.#ordersRead, answer.ordersRead);
    this.#takeOrder(answer);
    this.#hasHeard = true;
  }

  #takeConfiguration(answer: WatchAnswer): void {
    if (!this.#isNewer(answer.configurationVersion)) return;
    const wasDraining = this.#isDraining();
    this.#configurationVersion = answer.configurationVersion;
    this.#configuration = answer.endpoint ?? WITHDRAWN;
    const facts = {
      version: answer.configurationVersion,
      state: this.#configuration.state,
    };
    this.#tell("configuration_in_force", facts);
    this.#logger.info(facts, "Configuration is in force");
    if (this.#isDraining() && !wasDraining) {
      this.#tell("side_draining", { cause: "configuration" });
    }
    this.#carryOutOrder();
  }

  #isNewer(version: number): boolean {
    const isNewer = this.#options.guards?.isNewer ?? isAbove;
    return isNewer(version, this.#configurationVersion);
  }

  #takeOrder({ order }: WatchAnswer): void {
    if (order === undefined || order.offset <= this.#orderTaken) return;
    this.#orderTaken = order.offset;
    this.#order = order;
    if (!this.#hasHeard) this.#standingAtStart = order.offset;
    this.#carryOutOrder();
  }

  /**
   * Gives the newest order to the executor. A withdrawn endpoint gets none; it
   * gets the order that stands once it serves again, since nobody repeats it.
   */
  #carryOutOrder(): void {
    if (this.#order === undefined) return;
    if (this.#configuration?.state === "withdrawn") return;
    this.#orders ??= this.#makeOrderExecutor();
    this.#orders.take(this.#order);
  }

  /**
   * Made with the first order and not before: only then it is known whether
   * the engine checks fencing numbers.
   */
  #makeOrderExecutor(): OrderExecutor {
    const { endpoint, timer, incarnation, times, observe, name } =
      this.#options;
    return new OrderExecutor({
      endpointId: this.#options.endpointId,
      endpoint,
      timer,
      checksFencing: () => this.#configuration?.checksFencing ?? false,
      incarnation,
      longestOrderMilliseconds: times.longestOrderMilliseconds,
      drain: () => this.#drainForChange(),
      resume: () => this.#resumeAfterChange(),
      acquireWeights: (order) => this.#waitForWeights(order),
      observe,
      process: name,
      guards: this.#options.guards?.orders,
    });
  }

  /**
   * Spreads loads that no planner paces: a zone comes back with empty engines,
   * and the orders of all of them stand on the log already. An order that came
   * while this side ran was paced by its planner and waits for nobody.
   */
  async #waitForWeights(order: StandingOrder): Promise<() => void> {
    const { timer, endpointId } = this.#options;
    if (order.offset <= this.#standingAtStart) {
      const milliseconds = loadSpread({
        engines: this.#configuration?.poolEngines ?? 1,
        mostAtOnce: MOST_LOADS_AT_ONCE,
        loadMilliseconds: EXPECTED_LOAD_MILLISECONDS,
        place: hashToUnit(endpointId),
      });
      await pause(timer, milliseconds);
    }
    return () => {};
  }

  async #drainForChange(): Promise<void> {
    if (this.#options.guards?.drains?.() === false) return;
    this.#changing = true;
    this.#tell("side_draining", { cause: "order" });
    await this.#desk.idleWithin(this.#options.times.drainMilliseconds);
    await this.#desk.moveAll();
    await this.#desk.idle();
  }

  #resumeAfterChange(): void {
    this.#changing = false;
    void this.#observe();
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
    if (observed.isErr()) return;
    this.#observation = observed.value;
    const slots = this.#configuration?.slots;
    if (slots === undefined) return;
    this.#desk.useCeiling(roleSlots(slots, observed.value.role));
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

const WITHDRAWN: EndpointConfiguration = {
  state: "withdrawn",
  checksFencing: false,
};

function isAbove(version: number, inForce: number): boolean {
  return version > inForce;
}
