import type { StandingOrder } from "../../generated/messages.ts";
import { type Incarnation, type LogOffset, numbered } from "../identity/mod.ts";
import type { EndpointLink, EngineObservation } from "../links/mod.ts";
import type { HistoryEventKind, Observe } from "../observation/mod.ts";
import { pause, type Subscription, type TimerService } from "../time/mod.ts";
import { EngineChannel } from "./engine_channel.ts";
import { isTargetReached, needsLoading, targetText } from "./engine_state.ts";

/** Gives a place in the loading budget back. */
export type ReleaseLoadPermit = () => void;

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
  readonly acquireWeights?: (
    order: StandingOrder,
  ) => Promise<ReleaseLoadPermit>;
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
const CHANGE_POLL_INTERVAL_MILLISECONDS = 250;
/** How often the engine is observed while nothing is to be done. */
const IDLE_POLL_INTERVAL_MILLISECONDS = 5_000;
/**
 * An engine that neither changes nor has reached the target this long after an
 * order gets the same order again.
 */
const REISSUE_DELAY_MILLISECONDS = 2_000;
const INITIAL_REFUSAL_BACKOFF_MILLISECONDS = 2_000;
/**
 * Longest pause after refused orders. Load: a weight store that is down or at
 * its limit while a roll-out wants it. Harm prevented: the engines ask it
 * again and again; 30 s are short against a load of weights.
 */
const MAX_REFUSAL_BACKOFF_MILLISECONDS = 30_000;

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
  readonly #channel: EngineChannel;
  readonly #idlePoll: Subscription;
  #newestOrder: StandingOrder | undefined;
  #appliedOffset = -1;
  #state: OrderExecutorState = "idle";
  #drained = false;
  #busy = false;
  #stopped = false;
  #fencedOffset = -1;
  #refusalBackoffMilliseconds = INITIAL_REFUSAL_BACKOFF_MILLISECONDS;

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
    this.#guards = {
      drains: true,
      waitsForEarlierOrders: true,
      waitsForChanges: true,
      checksAge: true,
      ...options.guards,
    };
    this.#channel = new EngineChannel({
      ...options,
      checksAge: this.#guards.checksAge,
    });
    this.#idlePoll = options.timer.every(
      IDLE_POLL_INTERVAL_MILLISECONDS,
      () => this.#startReconciling(),
    );
  }

  get state(): OrderExecutorState {
    return this.#state;
  }

  /** Offset of the last order confirmed by observation; -1 at first. */
  get applied(): LogOffset {
    return numbered(this.#appliedOffset);
  }

  /** The newest order that is known here. */
  get newestOrder(): StandingOrder | undefined {
    return this.#newestOrder;
  }

  /** True from the drain until the engine takes work again. */
  get outOfService(): boolean {
    return this.#drained;
  }

  /** Takes a valid order; an older one than the newest known is passed over. */
  take(order: StandingOrder): void {
    if (
      this.#newestOrder !== undefined &&
      order.offset <= this.#newestOrder.offset
    ) {
      return;
    }
    this.#newestOrder = order;
    this.#startReconciling();
  }

  /** Ends the work; an order that was sent goes on at the engine. */
  stop(): void {
    this.#stopped = true;
    this.#idlePoll.cancel();
  }

  #startReconciling(): void {
    if (this.#busy || this.#stopped || this.#newestOrder === undefined) return;
    this.#busy = true;
    void this.#reconcile().finally(() => this.#busy = false);
  }

  /** Works until the newest order has been confirmed. */
  async #reconcile(): Promise<void> {
    for (;;) {
      const order = this.#newestOrder;
      if (order === undefined || order.offset <= this.#fencedOffset) return;
      const observation = await this.#waitUntilSettled();
      if (this.#stopped) return;
      if (!this.#isNewest(order)) continue;
      const reached = isTargetReached(observation, order.target);
      if (reached && this.#noOtherOrderInFlight(order)) {
        this.#confirm(order);
        return;
      }
      await this.#executeOnce(order, observation);
    }
  }

  /** Waits until the engine answers and has nothing under way. */
  async #waitUntilSettled(): Promise<EngineObservation> {
    for (;;) {
      const observation = await this.#channel.observe();
      if (this.#stopped) return observation ?? UNKNOWN_OBSERVATION;
      const ignoresChanges = !this.#guards.waitsForChanges;
      if (
        observation !== undefined && (!observation.changing || ignoresChanges)
      ) {
        return observation;
      }
      this.#state = "settling";
      await pause(this.#options.timer, CHANGE_POLL_INTERVAL_MILLISECONDS);
    }
  }

  /** One try; the caller looks at the engine again afterwards. */
  async #executeOnce(
    order: StandingOrder,
    observation: EngineObservation,
  ): Promise<void> {
    // An earlier order that lands now would cut what runs at the engine; one
    // would notice answers that break off right after a side has restarted.
    if (!this.#noOtherOrderInFlight(order)) await this.#drain();
    await this.#waitForEarlierOrders(order);
    if (!this.#isNewest(order)) return;
    const releasePermit = await this.#acquireLoadPermit(order, observation);
    try {
      if (!this.#isNewest(order)) return;
      await this.#drain();
      // The drain may take long, and an order of this side's earlier run may
      // have landed meanwhile.
      await this.#waitUntilSettled();
      if (this.#isNewest(order)) await this.#change(order);
    } finally {
      releasePermit?.();
    }
  }

  #isNewest(order: StandingOrder): boolean {
    return order === this.#newestOrder && !this.#stopped;
  }

  /**
   * An engine that checks fencing refuses the earlier order once it has seen
   * this one, so there is nothing to wait for.
   */
  async #waitForEarlierOrders(order: StandingOrder): Promise<void> {
    if (this.#engineChecksFencing()) return;
    while (!this.#noOtherOrderInFlight(order) && this.#isNewest(order)) {
      this.#state = "settling";
      await pause(this.#options.timer, CHANGE_POLL_INTERVAL_MILLISECONDS);
    }
  }

  #engineChecksFencing(): boolean {
    const { checksFencing } = this.#options;
    return typeof checksFencing === "function"
      ? checksFencing()
      : checksFencing;
  }

  #noOtherOrderInFlight(order: StandingOrder): boolean {
    if (!this.#guards.waitsForEarlierOrders) return true;
    return this.#channel.noOtherOrderInFlight(order);
  }

  /**
   * The wait for the weight store comes before the drain, so that the engine
   * works on while others load.
   */
  async #acquireLoadPermit(
    order: StandingOrder,
    observation: EngineObservation,
  ): Promise<ReleaseLoadPermit | undefined> {
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
    this.#emit("order_sent", order);
    const outcome = await this.#channel.send(order);
    if (outcome === "fenced") {
      // The engine knows a later order, which will come here too.
      this.#fencedOffset = order.offset;
      this.#resumeService("fenced");
    } else if (outcome === "not_started") {
      this.#resumeService("settling");
      await this.#backOffAfterRefusal();
    } else {
      this.#refusalBackoffMilliseconds = INITIAL_REFUSAL_BACKOFF_MILLISECONDS;
      await this.#waitForCompletion(order);
    }
  }

  /** Observes until the target is reached or the order seems to be lost. */
  async #waitForCompletion(order: StandingOrder): Promise<void> {
    const { timer } = this.#options;
    const sentAt = timer.now();
    while (!this.#stopped) {
      if (!this.#guards.waitsForChanges && !this.#isNewest(order)) return;
      const observation = await this.#channel.observe();
      if (observation !== undefined && !observation.changing) {
        if (isTargetReached(observation, order.target)) return;
        if (timer.now() - sentAt >= REISSUE_DELAY_MILLISECONDS) return;
      }
      await pause(timer, CHANGE_POLL_INTERVAL_MILLISECONDS);
    }
  }

  async #backOffAfterRefusal(): Promise<void> {
    const backoff = this.#refusalBackoffMilliseconds;
    this.#refusalBackoffMilliseconds = Math.min(
      backoff * 2,
      MAX_REFUSAL_BACKOFF_MILLISECONDS,
    );
    await pause(this.#options.timer, backoff);
  }

  #confirm(order: StandingOrder): void {
    const isNew = order.offset > this.#appliedOffset;
    this.#appliedOffset = order.offset;
    if (isNew) this.#emit("order_done", order);
    this.#resumeService("idle");
  }

  #resumeService(state: OrderExecutorState): void {
    this.#state = state;
    if (!this.#drained) return;
    this.#drained = false;
    this.#options.resume();
  }

  #emit(kind: HistoryEventKind, order: StandingOrder): void {
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
const UNKNOWN_OBSERVATION: EngineObservation = {
  role: "mixed",
  models: [],
  weights: "",
  changing: true,
  running: 0,
  waiting: 0,
  ageMilliseconds: 0,
};
