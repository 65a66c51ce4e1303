import type { StandingOrder } from "../../generated/messages.ts";
import { type Incarnation, type LogOffset, numbered } from "../identity/mod.ts";
import type { EndpointLink, EngineObservation } from "../links/mod.ts";
import type { HistoryEventKind, Observe } from "../observation/mod.ts";
import { pause, type Subscription, type TimerService } from "../time/mod.ts";
import { EngineChannel } from "./engine_channel.ts";
import { isReached, needsLoading, targetText } from "./engine_state.ts";

/** Gives a place in the loading budget back. */
export type ReleaseWeights = () => void;

/** Guards that a test may take out; the product never passes them. */
export interface OrderExecutorGuards {
  /** The engine is drained before an order is sent. */
  readonly drains: boolean;
  /** No other order is sent while an earlier one can still land. */
  readonly waitsForEarlierOrders: boolean;
  /** No order is sent while the engine is changing. */
  readonly waitsForChanges: boolean;
  /** Figures older than the last order are not believed. */
  readonly checksAge: boolean;
}

export interface OrderExecutorOptions {
  readonly endpointId: string;
  readonly guards?: Partial<OrderExecutorGuards>;
  readonly endpoint: EndpointLink;
  readonly timer: TimerService;
  /**
   * True where the engine refuses an order with an old fencing number. A
   * function where the configuration may correct it while the side runs.
   */
  readonly checksFencing: boolean | (() => boolean);
  readonly incarnation: Incarnation;
  /**
   * Longest time, milliseconds, for which an order that was sent can be under
   * way to the engine. Orders to an engine that ignores fencing wait it out.
   */
  readonly longestOrderMilliseconds: number;
  /** Stops new work and settles once nothing runs at the engine. */
  readonly drain: () => Promise<void>;
  readonly resume: () => void;
  readonly observe?: Observe;
  /** Name in the events of `observe`. */
  readonly process?: string;
  /** Waits for a place in the budget of the weight store. */
  readonly acquireWeights?: (order: StandingOrder) => Promise<ReleaseWeights>;
}

/**
 * `idle`: no order, or the last one has been confirmed. `settling`: finding
 * out what the engine does before anything is sent. The others are the phases
 * of one order. `fenced`: the engine has seen a later order than the newest
 * that is known here.
 */
export type OrderExecutorState =
  | "idle"
  | "settling"
  | "draining"
  | "loading_budget"
  | "changing"
  | "fenced";

/** How often the engine is observed while a change is under way. */
const OBSERVE_CHANGE_MILLISECONDS = 250;
/** How often the engine is observed while nothing is to be done. */
const OBSERVE_IDLE_MILLISECONDS = 5_000;
/**
 * An engine that neither changes nor has reached the target this long after an
 * order gets the same order again.
 */
const REISSUE_MILLISECONDS = 2_000;
const FIRST_REFUSAL_PAUSE_MILLISECONDS = 2_000;
/**
 * Longest pause after refused orders. Load: a weight store that is down or at
 * its limit while a roll-out wants it. Harm prevented: the engines ask it
 * again and again; 30 s are short against a load of weights.
 */
const LONGEST_REFUSAL_PAUSE_MILLISECONDS = 30_000;

/**
 * Carries out the newest valid order at one engine: drain, change, confirm by
 * observing, take work again. One order is outstanding at any time.
 *
 * Hazards that decide its form: a late copy of an older order reaches an
 * engine that ignores fencing after a newer one was carried out; a restarted
 * side sends while its earlier run's order is still under way; an engine
 * crashes in mid-change and comes back in another state; its figures are older
 * than the order that they are held against. Targets are whole states, so
 * giving the same order again does no harm; a different one is sent only when
 * no earlier one can reach the engine any more.
 */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;
  readonly #guards: OrderExecutorGuards;
  readonly #engine: EngineChannel;
  readonly #idleCheck: Subscription;
  #wanted: StandingOrder | undefined;
  #applied = -1;
  #state: OrderExecutorState = "idle";
  #drained = false;
  #running = false;
  #stopped = false;
  #fencedBy = -1;
  #refusalPause = FIRST_REFUSAL_PAUSE_MILLISECONDS;

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
    this.#guards = {
      drains: true,
      waitsForEarlierOrders: true,
      waitsForChanges: true,
      checksAge: true,
      ...options.guards,
    };
    this.#engine = new EngineChannel({
      ...options,
      checksAge: this.#guards.checksAge,
    });
    this.#idleCheck = options.timer.every(
      OBSERVE_IDLE_MILLISECONDS,
      () => this.#run(),
    );
  }

  get state(): OrderExecutorState {
    return this.#state;
  }

  /** Offset of the last order confirmed by observation; -1 at first. */
  get applied(): LogOffset {
    return numbered(this.#applied);
  }

  /** The newest order that is known here. */
  get wanted(): StandingOrder | undefined {
    return this.#wanted;
  }

  /** True from the drain until the engine takes work again. */
  get outOfService(): boolean {
    return this.#drained;
  }

  /** Takes a valid order; an older one than the newest known is passed over. */
  take(order: StandingOrder): void {
    if (this.#wanted !== undefined && order.offset <= this.#wanted.offset) {
      return;
    }
    this.#wanted = order;
    this.#run();
  }

  /** Ends the work; an order that was sent goes on at the engine. */
  stop(): void {
    this.#stopped = true;
    this.#idleCheck.cancel();
  }

  #run(): void {
    if (this.#running || this.#stopped || this.#wanted === undefined) return;
    this.#running = true;
    void this.#follow().finally(() => this.#running = false);
  }

  /** Works until the newest order has been confirmed. */
  async #follow(): Promise<void> {
    for (;;) {
      const order = this.#wanted;
      if (order === undefined || order.offset <= this.#fencedBy) return;
      const observation = await this.#settle();
      if (this.#stopped) return;
      if (!this.#isNewest(order)) continue;
      const reached = isReached(observation, order.target);
      if (reached && this.#nothingElseCanLand(order)) {
        this.#confirm(order);
        return;
      }
      await this.#carryOut(order, observation);
    }
  }

  /** Waits until the engine answers and has nothing under way. */
  async #settle(): Promise<EngineObservation> {
    for (;;) {
      const observation = await this.#engine.observe();
      if (this.#stopped) return observation ?? NOTHING_OBSERVED;
      const ignores = !this.#guards.waitsForChanges;
      if (observation !== undefined && (!observation.changing || ignores)) {
        return observation;
      }
      this.#state = "settling";
      await pause(this.#options.timer, OBSERVE_CHANGE_MILLISECONDS);
    }
  }

  /** One try; the caller looks at the engine again afterwards. */
  async #carryOut(
    order: StandingOrder,
    observation: EngineObservation,
  ): Promise<void> {
    // An earlier order that lands now would cut what runs at the engine; one
    // would notice answers that break off right after a side has restarted.
    if (!this.#nothingElseCanLand(order)) await this.#drain();
    await this.#waitForEarlierOrders(order);
    if (!this.#isNewest(order)) return;
    const release = await this.#acquireWeights(order, observation);
    try {
      if (!this.#isNewest(order)) return;
      await this.#drain();
      // The drain may take long, and an order of this side's earlier run may
      // have landed meanwhile.
      await this.#settle();
      if (this.#isNewest(order)) await this.#change(order);
    } finally {
      release?.();
    }
  }

  #isNewest(order: StandingOrder): boolean {
    return order === this.#wanted && !this.#stopped;
  }

  /**
   * An engine that checks fencing refuses the earlier order once it has seen
   * this one, so there is nothing to wait for.
   */
  async #waitForEarlierOrders(order: StandingOrder): Promise<void> {
    if (this.#engineChecksFencing()) return;
    while (!this.#nothingElseCanLand(order) && this.#isNewest(order)) {
      this.#state = "settling";
      await pause(this.#options.timer, OBSERVE_CHANGE_MILLISECONDS);
    }
  }

  #engineChecksFencing(): boolean {
    const { checksFencing } = this.#options;
    return typeof checksFencing === "function"
      ? checksFencing()
      : checksFencing;
  }

  #nothingElseCanLand(order: StandingOrder): boolean {
    if (!this.#guards.waitsForEarlierOrders) return true;
    return this.#engine.nothingElseCanLand(order);
  }

  /**
   * The wait for the weight store comes before the drain, so that the engine
   * works on while others load.
   */
  async #acquireWeights(
    order: StandingOrder,
    observation: EngineObservation,
  ): Promise<ReleaseWeights | undefined> {
    if (!needsLoading(observation, order.target)) return undefined;
    this.#state = "loading_budget";
    return await this.#options.acquireWeights?.(order);
  }

  async #drain(): Promise<void> {
    if (this.#drained) return;
    this.#state = "draining";
    this.#drained = true;
    if (!this.#guards.drains) return;
    await this.#options.drain();
  }

  async #change(order: StandingOrder): Promise<void> {
    this.#state = "changing";
    this.#tell("order_sent", order);
    const outcome = await this.#engine.send(order);
    if (outcome === "fenced") {
      // The engine knows a later order, which will come here too.
      this.#fencedBy = order.offset;
      this.#takeWorkAgain("fenced");
    } else if (outcome === "not_started") {
      this.#takeWorkAgain("settling");
      await this.#pauseAfterRefusal();
    } else {
      this.#refusalPause = FIRST_REFUSAL_PAUSE_MILLISECONDS;
      await this.#waitForRest(order);
    }
  }

  /** Observes until the target is reached or the order seems to be lost. */
  async #waitForRest(order: StandingOrder): Promise<void> {
    const { timer } = this.#options;
    const sentAt = timer.now();
    while (!this.#stopped) {
      if (!this.#guards.waitsForChanges && !this.#isNewest(order)) return;
      const observation = await this.#engine.observe();
      if (observation !== undefined && !observation.changing) {
        if (isReached(observation, order.target)) return;
        if (timer.now() - sentAt >= REISSUE_MILLISECONDS) return;
      }
      await pause(timer, OBSERVE_CHANGE_MILLISECONDS);
    }
  }

  async #pauseAfterRefusal(): Promise<void> {
    const wait = this.#refusalPause;
    this.#refusalPause = Math.min(wait * 2, LONGEST_REFUSAL_PAUSE_MILLISECONDS);
    await pause(this.#options.timer, wait);
  }

  #confirm(order: StandingOrder): void {
    const isNew = order.offset > this.#applied;
    this.#applied = order.offset;
    if (isNew) this.#tell("order_done", order);
    this.#takeWorkAgain("idle");
  }

  #takeWorkAgain(state: OrderExecutorState): void {
    this.#state = state;
    if (!this.#drained) return;
    this.#drained = false;
    this.#options.resume();
  }

  #tell(kind: HistoryEventKind, order: StandingOrder): void {
    this.#options.observe?.({
      at: this.#options.timer.now(),
      process: this.#options.process ?? "side",
      kind,
      facts: {
        endpoint: this.#options.endpointId,
        order: order.offset,
        claim: order.claim,
        target: targetText(order.target),
        incarnation: this.#options.incarnation,
      },
    });
  }
}

/** Stands for an engine that has not answered. */
const NOTHING_OBSERVED: EngineObservation = {
  role: "mixed",
  models: [],
  weights: "",
  changing: true,
  running: 0,
  waiting: 0,
  ageMilliseconds: 0,
};
