import type { Result } from "neverthrow";
import {
  type CurrentClaim,
  type EndpointRegistry,
  type EngineRoleChange,
  ExclusiveClaim,
  type FleetLoad,
  planRoles,
  type Pool,
  prefillShareBySlots,
  prefillShareForDemand,
  type RegisteredEndpoint,
  type RegistryChange,
  RoleDemand,
  type StoreFailure,
  VersionDecoders,
  type VersionDecodersOptions,
} from "../../core/forwarding/mod.ts";
import type { EndpointId, ServiceName } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import { type Random, withJitter } from "../../core/random/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type {
  RoleNotification,
  RoleOrder,
} from "./notifications/role_notification.ts";
import type { WorkRolePlanner } from "./work_role_planner.ts";

/** Interval of the role checks. */
const CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Jitter of the checks. Entries that see the same demand at the same time would
 * all claim, and all claims but one are void.
 */
const CHECK_JITTER_SHARE = 1;
/**
 * How long the engines must be unchanged before the first plan: at startup they
 * register one after another within about a heartbeat.
 */
const INITIAL_SETTLE_MILLISECONDS = 2_000;
/**
 * The same for later plans; an engine that crashes is back with its role within
 * this time.
 */
const SETTLE_MILLISECONDS = 7_000;
/** Interval at which the demand on the engines is sampled. */
const DEMAND_SAMPLE_MILLISECONDS = 250;
/**
 * A role change that is not visible within this time has failed and is planned
 * again.
 */
const CHANGE_TIMEOUT_MILLISECONDS = 12_000;

/**
 * Outcome of an order. `refused`: the engine has seen a higher fencing token.
 * `unknown`: the order may be carried out now or seconds later.
 */
export type OrderOutcome = "accepted" | "busy" | "refused" | "unknown";

/** The log of claims and the interface for orders to engines. */
export interface RoleLink {
  /** The latest claim and the end offset of the log. */
  readClaim(): Promise<
    Result<{ claim: CurrentClaim | undefined; end: number }, StoreFailure>
  >;
  /** Appends a claim if the log ends at `at`; returns its offset. */
  appendClaim(
    holder: string,
    at: number,
  ): Promise<Result<number | undefined, StoreFailure>>;
  order(
    change: EngineRoleChange,
    options: { readonly holder: string; readonly fencing: number },
  ): Promise<OrderOutcome>;
}

export interface RoleControllerOptions {
  readonly self: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly registry: EndpointRegistry;
  readonly load: FleetLoad;
  readonly link: RoleLink;
  readonly logger: Logger;
  readonly leaseMilliseconds: number;
  /** Pools of the configuration in force. */
  readonly pools: () => Iterable<Pool>;
  /** True if callers may take up streams of the pool. */
  readonly hasResumableStreams: (pool: ServiceName) => boolean;
  /** Informs peers of engines that are about to change. */
  readonly broadcastOrders: (orders: readonly RoleOrder[]) => void;
  /** Plans adaptive pools; absent: all are planned by their slots. */
  readonly workPlanner?: WorkRolePlanner;
}

/**
 * Changes the roles of engines to match demand. Only the holder of an exclusive
 * claim gives orders.
 */
export class RoleController {
  readonly #options: RoleControllerOptions;
  readonly #claim: ExclusiveClaim;
  readonly #changing = new Map<EndpointId, "prefill" | "decode">();
  readonly #changeDeadlines = new Map<EndpointId, number>();
  readonly #demands = new Map<ServiceName, RoleDemand>();
  readonly #versionDecoders: VersionDecoders;
  #lastChangeAt = 0;
  #hasPlanned = false;
  #sampling: Subscription | undefined;
  #nextCheck: Subscription | undefined;
  #stopped = false;

  constructor(options: RoleControllerOptions) {
    this.#options = options;
    this.#claim = new ExclusiveClaim(options);
    this.#versionDecoders = new VersionDecoders(options.timer);
    this.#lastChangeAt = options.timer.now();
  }

  start(): void {
    this.#sampling = this.#options.timer.every(
      DEMAND_SAMPLE_MILLISECONDS,
      () => this.#sampleDemand(),
    );
    this.#scheduleCheck();
  }

  stop(): void {
    this.#stopped = true;
    this.#nextCheck?.cancel();
    this.#sampling?.cancel();
  }

  /** True from the order until the engine reports its new role. */
  isChanging(endpoint: EndpointId): boolean {
    return this.#changing.has(endpoint);
  }

  /** Handles that the store was restored, which may have lost a claim. */
  onStoreRestored(): void {
    this.#claim.noteRestored();
  }

  /** Records a peer's orders: the engines accept no new work for a while. */
  onPeerOrders({ orders }: RoleNotification): void {
    for (const [endpoint, role] of orders) this.#noteOrder(endpoint, role);
  }

  /** Handles an engine that was added, removed or changed. */
  onEngineChange(
    endpoint: RegisteredEndpoint,
    change: RegistryChange = "updated",
  ): void {
    if (endpoint.role === undefined) return;
    this.#options.workPlanner?.onEngineChange(endpoint, change);
    this.#lastChangeAt = this.#options.timer.now();
    const isDone = this.#changing.get(endpoint.id) === endpoint.role;
    if (isDone || endpoint.leaving) this.forget(endpoint);
  }

  #scheduleCheck(): void {
    const { random, timer } = this.#options;
    const delay = withJitter(CHECK_INTERVAL_MILLISECONDS, {
      random,
      share: CHECK_JITTER_SHARE,
    });
    this.#nextCheck = timer.after(delay, () => this.#check());
  }

  async #check(): Promise<void> {
    try {
      await this.#planAndOrder();
    } finally {
      if (!this.#stopped) this.#scheduleCheck();
    }
  }

  async #planAndOrder(): Promise<void> {
    this.#expireChanges();
    const settledFor = this.#options.timer.now() - this.#lastChangeAt;
    const isSettled = settledFor >=
      (this.#hasPlanned ? SETTLE_MILLISECONDS : INITIAL_SETTLE_MILLISECONDS);
    // Demand does not revert by itself, unlike an engine that crashes and
    // restarts.
    const mayFollowDemand = settledFor >= INITIAL_SETTLE_MILLISECONDS;
    const changesBySlots = isSettled
      ? this.#plannedChanges()
      : mayFollowDemand
      ? this.#plannedDecodeChanges()
      : [];
    const changes = this.#withVersionDecoders([
      ...changesBySlots,
      ...this.#plannedWorkChanges(),
    ]);
    // Engines that already match the plan count as planned: from then on a role
    // change is the exception.
    if (isSettled && this.#options.registry.size > 0) this.#hasPlanned = true;
    if (changes.length > 0) await this.#issueOrders(changes);
  }

  #plannedChanges(): EngineRoleChange[] {
    return this.#poolsBySlots.flatMap((pool) => this.#plannedChangesIn(pool));
  }

  #plannedWorkChanges(): EngineRoleChange[] {
    const { pools, workPlanner } = this.#options;
    if (workPlanner === undefined) return [];
    return [...pools()].filter((pool) => workPlanner.isResponsibleFor(pool))
      .flatMap((pool) => workPlanner.plan(pool, this.#changing));
  }

  /**
   * Adjusts the changes so that the streams of each software version can go on;
   * a version that has lost its decoders does not wait for the next plan.
   */
  #withVersionDecoders(
    changes: readonly EngineRoleChange[],
  ): EngineRoleChange[] {
    const { hasResumableStreams, pools } = this.#options;
    return [...pools()].flatMap(({ engine, name }) => {
      const planned = changes.filter(({ endpoint }) => endpoint.pool === name);
      if (engine === undefined || !hasResumableStreams(name)) return planned;
      const options = this.#versionOptions(name);
      const missing = this.#hasPlanned
        ? this.#versionDecoders.plan(options)
        : [];
      const isMissing = ({ endpoint }: EngineRoleChange) =>
        missing.some((each) => each.endpoint.id === endpoint.id);
      return [
        ...missing,
        ...this.#versionDecoders.retain(planned, options)
          .filter((each) => !isMissing(each)),
      ];
    });
  }

  #versionOptions(pool: ServiceName): VersionDecodersOptions {
    const { load, registry } = this.#options;
    return {
      engines: registry.inPool(pool),
      openRequests: (endpoint) => load.total(endpoint).requests,
      changing: this.#changing,
    };
  }

  get #poolsBySlots(): Pool[] {
    const { pools, workPlanner } = this.#options;
    return [...pools()].filter((pool) => !workPlanner?.isResponsibleFor(pool));
  }

  /**
   * Decode engines for pools whose demand exceeds their initial share. The loss
   * of an engine alone does not trigger a change this early.
   */
  #plannedDecodeChanges(): EngineRoleChange[] {
    return this.#poolsBySlots
      .filter(({ name }) => {
        const engines = this.#options.registry.inPool(name);
        return this.#prefillShareIn(name, engines) <
          prefillShareBySlots(engines);
      })
      .flatMap((pool) => this.#plannedChangesIn(pool))
      .filter(({ role }) => role === "decode");
  }

  #plannedChangesIn({ engine, name }: Pool): EngineRoleChange[] {
    if (engine === undefined) return [];
    const { load, registry } = this.#options;
    const engines = registry.inPool(name);
    return planRoles({
      engines,
      openRequests: (endpoint) => load.total(endpoint).requests,
      changing: this.#changing,
      prefillShare: this.#prefillShareIn(name, engines),
    });
  }

  #prefillShareIn(
    pool: ServiceName,
    engines: readonly RegisteredEndpoint[],
  ): number {
    return prefillShareForDemand(engines, this.#demands.get(pool)?.typical);
  }

  #sampleDemand(): void {
    const { load, pools, registry, timer, workPlanner } = this.#options;
    for (const pool of pools()) {
      const { engine, name } = pool;
      if (engine === undefined) continue;
      if (workPlanner?.isResponsibleFor(pool)) workPlanner.sample(pool);
      const demand = this.#demands.get(name) ?? new RoleDemand(timer);
      this.#demands.set(name, demand);
      let answers = 0;
      let busyPrefillEngines = 0;
      for (const { id, role } of registry.inPool(name)) {
        const { requests } = load.total(id);
        if (role !== "prefill") answers += requests;
        else if (requests > 0) busyPrefillEngines += 1;
      }
      demand.record({ answers, busyReaders: busyPrefillEngines });
    }
  }

  async #issueOrders(changes: readonly EngineRoleChange[]): Promise<void> {
    const confirmed = await this.#confirmed(changes);
    if (confirmed.length === 0 || !await this.#acquireClaim()) return;
    const { link, logger, self } = this.#options;
    for (const change of confirmed) {
      const fencing = this.#claim.fencing;
      if (fencing === undefined) return;
      const outcome = await link.order(change, { holder: self, fencing });
      const { id, role: previous } = change.endpoint;
      logger.info({
        endpoint: id,
        role: change.role,
        previous,
        fencing,
        outcome,
        ...this.#demands.get(change.endpoint.pool)?.typical,
      }, "Sent an order to an engine to change its role");
      if (outcome === "refused") return this.#claim.refused();
      if (outcome === "busy") continue;
      this.#noteOrder(id, change.role);
      this.#options.broadcastOrders([[id, change.role]]);
    }
  }

  /**
   * Leaves out orders by slots to pools that turn out to report work factors.
   * This takes no claim, which would delay the orders of another entry later.
   */
  async #confirmed(
    changes: readonly EngineRoleChange[],
  ): Promise<readonly EngineRoleChange[]> {
    const { workPlanner } = this.#options;
    if (workPlanner === undefined) return changes;
    const unconfirmed = new Set<ServiceName>();
    for (const pool of this.#poolsBySlots) {
      const isChanged = changes.some(({ endpoint }) =>
        endpoint.pool === pool.name
      );
      if (isChanged && !await workPlanner.mayOrderBySlots(pool)) {
        unconfirmed.add(pool.name);
      }
    }
    // The first plan is still to come if no engine has answered.
    if (unconfirmed.size > 0) this.#hasPlanned = false;
    return changes.filter(({ endpoint }) => !unconfirmed.has(endpoint.pool));
  }

  #noteOrder(id: EndpointId, role: "prefill" | "decode"): void {
    this.#changing.set(id, role);
    this.#changeDeadlines.set(
      id,
      this.#options.timer.now() + CHANGE_TIMEOUT_MILLISECONDS,
    );
  }

  /** Claims for this round; false if no claim is possible now. */
  async #acquireClaim(): Promise<boolean> {
    const { link, logger, self, timer } = this.#options;
    const read = await link.readClaim();
    if (read.isErr()) return false;
    this.#claim.observeLog(read.value);
    if (!this.#claim.canClaim()) return false;
    const sentAt = timer.now();
    const appended = await link.appendClaim(self, read.value.end);
    // The claim may be in force although its response was lost; the next check
    // reads it.
    if (appended.isErr() || appended.value === undefined) return false;
    if (!this.#claim.recordAcquired(appended.value, sentAt)) return false;
    logger.info(
      { fencing: appended.value },
      "This entry now holds the claim on role orders",
    );
    return true;
  }

  #expireChanges(): void {
    const now = this.#options.timer.now();
    for (const [id, due] of this.#changeDeadlines) {
      if (now >= due) this.forget({ id });
    }
  }

  /** Discards the pending change of an engine. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#changing.delete(id);
    this.#changeDeadlines.delete(id);
  }
}
