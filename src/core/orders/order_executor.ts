import type { StandingOrder } from "../../generated/messages.ts";
import { type Incarnation, type LogOffset, numbered } from "../identity/mod.ts";
import type { EndpointLink, EngineObservation } from "../links/mod.ts";
import type { HistoryEventKind, Observe } from "../observation/mod.ts";
import { sleep, type Subscription, type TimerService } from "../time/mod.ts";
import { EngineChannel } from "./engine_channel.ts";
import {
  isTargetReached,
  needsLoading,
  serializeTarget,
} from "./engine_state.ts";

/** Returns a permit of the load budget. */
export type ReleaseLoadPermit = () => void;

/** Guards that tests can disable; production code never sets them. */
export interface OrderExecutorGuards {
  /** The engine is drained before an order is sent. */
  readonly drains: boolean;
  /** No other order is sent while an earlier one can still arrive. */
  readonly waitsForEarlierOrders: boolean;
  /** No order is sent while the engine is changing. */
  readonly waitsForChanges: boolean;
  /** Observations older than the last order are discarded. */
  readonly checksAge: boolean;
}

export interface OrderExecutorOptions {
  readonly endpointId: string;
  readonly guards?: Partial<OrderExecutorGuards>;
  readonly endpoint: EndpointLink;
  readonly timer: TimerService;
  /**
   * Whether the engine refuses an order with an old fencing token. A function
   * if the configuration may correct it while the side runs.
   */
  readonly checksFencing: boolean | (() => boolean);
  readonly incarnation: Incarnation;
  /**
   * Maximum time, milliseconds, for which an order can be in flight to the
   * engine. Orders to an engine that ignores fencing wait for it to pass.
   */
  readonly longestOrderMilliseconds: number;
  /** Stops new work and resolves once nothing runs at the engine. */
  readonly drain: () => Promise<void>;
  readonly resume: () => void;
  readonly observe?: Observe;
  /** Process name in the events of `observe`. */
  readonly process?: string;
  /** Waits for a permit of the weight store's load budget. */
  readonly acquireWeights?: (
    order: StandingOrder,
  ) => Promise<ReleaseLoadPermit>;
}

/**
 * `idle`: no order, or the last one is confirmed. `settling`: observing the
 * engine before anything is sent. `draining`, `loading_budget` and `changing`:
 * phases of one order. `fenced`: the engine has seen a later order than the
 * newest one known here.
 */
export type OrderExecutorState =
  | "idle"
  | "settling"
  | "draining"
  | "loading_budget"
  | "changing"
  | "fenced";

/** Interval between observations while a change is in progress. */
const CHANGE_POLL_INTERVAL_MILLISECONDS = 250;
/** Interval between observations while there is nothing to do. */
const IDLE_POLL_INTERVAL_MILLISECONDS = 5_000;
/**
 * Delay after which the same order is sent again to an engine that is neither
 * changing nor in the target state.
 */
const REISSUE_DELAY_MILLISECONDS = 2_000;
const INITIAL_REFUSAL_BACKOFF_MILLISECONDS = 2_000;
/**
 * Maximum backoff after refused orders. It keeps the engines from polling a
 * weight store that is down or at its limit during a rollout; 30 s are short
 * compared with a load of weights.
 */
const MAX_REFUSAL_BACKOFF_MILLISECONDS = 30_000;

/**
 * Executes the newest valid order at one engine: drain, change, confirm by
 * observation, resume service. At most one order is outstanding.
 *
 * Its design covers these faults: a delayed copy of an older order reaches an
 * engine that ignores fencing after a newer one was executed; a restarted side
 * sends while the order of its earlier run is still in flight; an engine
 * crashes during a change and restarts in another state; an observation is
 * older than the order that it is compared with. Targets are complete states,
 * so sending the same order again is harmless. A different one is sent only
 * when no earlier one can reach the engine any more.
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

  /** Offset of the last order confirmed by observation; -1 if there is none. */
  get applied(): LogOffset {
    return numbered(this.#appliedOffset);
  }

  /** Newest order known here. */
  get wanted(): StandingOrder | undefined {
    return this.#newestOrder;
  }

  /** True from the drain until the engine resumes service. */
  get outOfService(): boolean {
    return this.#drained;
  }

  /**
   * Accepts a valid order; ignores one that is not newer than the newest known.
   */
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

  /** Stops the executor; an order already sent continues at the engine. */
  stop(): void {
    this.#stopped = true;
    this.#idlePoll.cancel();
  }

  #startReconciling(): void {
    if (this.#busy || this.#stopped || this.#newestOrder === undefined) return;
    this.#busy = true;
    this.#options.timer.run(() =>
      this.#reconcile().finally(() => this.#busy = false)
    );
  }

  /** Runs until the newest order is confirmed. */
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

  /** Waits until the engine answers and has no change in progress. */
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
      await sleep(this.#options.timer, CHANGE_POLL_INTERVAL_MILLISECONDS);
    }
  }

  /** One attempt; the caller observes the engine again afterwards. */
  async #executeOnce(
    order: StandingOrder,
    observation: EngineObservation,
  ): Promise<void> {
    // An earlier order that arrives now would interrupt the work at the engine,
    // and answers would break off right after a side has restarted.
    if (!this.#noOtherOrderInFlight(order)) await this.#drain();
    await this.#waitForEarlierOrders(order);
    if (!this.#isNewest(order)) return;
    const releasePermit = await this.#acquireLoadPermit(order, observation);
    try {
      if (!this.#isNewest(order)) return;
      await this.#drain();
      // The drain can take long, and an order of this side's earlier run may
      // have arrived meanwhile.
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
   * this one, so there is no need to wait.
   */
  async #waitForEarlierOrders(order: StandingOrder): Promise<void> {
    if (this.#engineChecksFencing()) return;
    while (!this.#noOtherOrderInFlight(order) && this.#isNewest(order)) {
      this.#state = "settling";
      await sleep(this.#options.timer, CHANGE_POLL_INTERVAL_MILLISECONDS);
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
   * Waits for the weight store before the drain, so that the engine keeps
   * serving while others load.
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
      // The engine has seen a later order, which will arrive here too.
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

  /** Observes until the target is reached or the order appears to be lost. */
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
      await sleep(timer, CHANGE_POLL_INTERVAL_MILLISECONDS);
    }
  }

  async #backOffAfterRefusal(): Promise<void> {
    const backoff = this.#refusalBackoffMilliseconds;
    this.#refusalBackoffMilliseconds = Math.min(
      backoff * 2,
      MAX_REFUSAL_BACKOFF_MILLISECONDS,
    );
    await sleep(this.#options.timer, backoff);
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
        target: serializeTarget(order.target),
        incarnation: this.#options.incarnation,
      },
    });
  }
}

/** Placeholder for an engine that has not answered. */
const UNKNOWN_OBSERVATION: EngineObservation = {
  role: "mixed",
  models: [],
  weights: "",
  changing: true,
  running: 0,
  waiting: 0,
  ageMilliseconds: 0,
};
