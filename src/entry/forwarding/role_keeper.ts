import type { Result } from "neverthrow";
import {
  type EndpointRegistry,
  ExclusiveClaim,
  type LoadPicture,
  planRoles,
  type Pool,
  prefillShareFor,
  prefillShareOf,
  type RegisteredEndpoint,
  type RoleChange,
  RoleDemand,
  type StandingClaim,
  type StoreFailure,
} from "../../core/forwarding/mod.ts";
import type { EndpointId, ServiceName } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import { type Random, withJitter } from "../../core/random/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

/** How often the roles are looked at. */
const LOOK_MILLISECONDS = 500;
/**
 * Jitter of the checks: entries that see the same need in the same second would
 * all claim, and all claims but one are void.
 */
const LOOK_JITTER_SHARE = 1;
/**
 * How long the engines must not have changed before roles are first planned:
 * at a start they register one after another within about a heartbeat.
 */
const FIRST_SETTLED_MILLISECONDS = 2_000;
/** The same later on: an engine that crashes is back with its role by then. */
const SETTLED_MILLISECONDS = 7_000;
/** How often what the engines have to do is counted. */
const DEMAND_MILLISECONDS = 250;
/** A change that has not shown by then has failed and is planned anew. */
const CHANGE_MILLISECONDS = 12_000;

/**
 * What became of an order. `refused`: an engine has seen a higher number.
 * `unknown`: it may be carried out, now or seconds later.
 */
export type OrderOutcome = "accepted" | "busy" | "refused" | "unknown";

/** Engines that have been told to change, with their new roles. */
export type RoleOrders = readonly (readonly [
  endpoint: EndpointId,
  role: "prefill" | "decode",
])[];

/** The log that claims stand on, and the engines' door for orders. */
export interface RoleLink {
  /** The newest claim, and where the log ends. */
  readClaim(): Promise<
    Result<{ claim: StandingClaim | undefined; end: number }, StoreFailure>
  >;
  /** Appends a claim if the log ends at `at`; gives its offset. */
  appendClaim(
    holder: string,
    at: number,
  ): Promise<Result<number | undefined, StoreFailure>>;
  order(
    change: RoleChange,
    options: { readonly holder: string; readonly fencing: number },
  ): Promise<OrderOutcome>;
}

export interface RoleKeeperOptions {
  readonly self: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly registry: EndpointRegistry;
  readonly load: LoadPicture;
  readonly link: RoleLink;
  readonly logger: Logger;
  readonly leaseMilliseconds: number;
  /** Pools of the configuration in force. */
  readonly pools: () => Iterable<Pool>;
  /** Tells peers which engines are about to change. */
  readonly tellPeers: (changes: RoleOrders) => void;
}

/** Brings engines into the roles that the work needs, one holder at a time. */
export class RoleKeeper {
  readonly #options: RoleKeeperOptions;
  readonly #claim: ExclusiveClaim;
  readonly #changing = new Map<EndpointId, "prefill" | "decode">();
  readonly #changeDue = new Map<EndpointId, number>();
  readonly #demands = new Map<ServiceName, RoleDemand>();
  #settledSince = 0;
  #hasPlanned = false;
  #counting: Subscription | undefined;
  #next: Subscription | undefined;
  #stopped = false;

  constructor(options: RoleKeeperOptions) {
    this.#options = options;
    this.#claim = new ExclusiveClaim(options);
    this.#settledSince = options.timer.now();
  }

  start(): void {
    this.#counting = this.#options.timer.every(
      DEMAND_MILLISECONDS,
      () => this.#countWork(),
    );
    this.#plan();
  }

  stop(): void {
    this.#stopped = true;
    this.#next?.cancel();
    this.#counting?.cancel();
  }

  /** True from the order until the engine shows its new role. */
  isChanging(endpoint: EndpointId): boolean {
    return this.#changing.has(endpoint);
  }

  /** A peer has given orders: the engines take no new work for a while. */
  peerOrdered(orders: RoleOrders): void {
    for (const [endpoint, role] of orders) this.#ordered(endpoint, role);
  }

  /** An engine has come, gone or changed. */
  engineChanged(endpoint: RegisteredEndpoint): void {
    if (endpoint.role === undefined) return;
    this.#settledSince = this.#options.timer.now();
    const isDone = this.#changing.get(endpoint.id) === endpoint.role;
    if (isDone || endpoint.leaving) this.forget(endpoint);
  }

  #plan(): void {
    const { random, timer } = this.#options;
    const wait = withJitter(LOOK_MILLISECONDS, {
      random,
      share: LOOK_JITTER_SHARE,
    });
    this.#next = timer.after(wait, () => void this.#look());
  }

  async #look(): Promise<void> {
    this.#dropOverdue();
    const settledFor = this.#options.timer.now() - this.#settledSince;
    const isSettled = settledFor >=
      (this.#hasPlanned ? SETTLED_MILLISECONDS : FIRST_SETTLED_MILLISECONDS);
    // What callers ask for does not come back by itself, as a crashed engine.
    const mayFollowDemand = settledFor >= FIRST_SETTLED_MILLISECONDS;
    const changes = isSettled
      ? this.#wanted()
      : mayFollowDemand
      ? this.#wantedForAnswers()
      : [];
    // Engines that fit already were planned for as well: from then on a
    // change is the exception.
    if (isSettled && this.#options.registry.size > 0) this.#hasPlanned = true;
    if (changes.length > 0) await this.#carryOut(changes);
    if (!this.#stopped) this.#plan();
  }

  #wanted(): RoleChange[] {
    return [...this.#options.pools()].flatMap((pool) => this.#wantedIn(pool));
  }

  /**
   * Engines for answers where callers ask for more than a pool starts with. The
   * loss of an engine alone changes nothing so soon.
   */
  #wantedForAnswers(): RoleChange[] {
    return [...this.#options.pools()]
      .filter(({ name }) => {
        const engines = this.#options.registry.inPool(name);
        return this.#shareIn(name, engines) < prefillShareOf(engines);
      })
      .flatMap((pool) => this.#wantedIn(pool))
      .filter(({ role }) => role === "decode");
  }

  #wantedIn({ engine, name }: Pool): RoleChange[] {
    if (engine === undefined) return [];
    const { load, registry } = this.#options;
    const engines = registry.inPool(name);
    return planRoles({
      engines,
      openRequests: (endpoint) => load.total(endpoint).requests,
      changing: this.#changing,
      prefillShare: this.#shareIn(name, engines),
    });
  }

  #shareIn(
    pool: ServiceName,
    engines: readonly RegisteredEndpoint[],
  ): number {
    return prefillShareFor(engines, this.#demands.get(pool)?.usual);
  }

  #countWork(): void {
    const { load, pools, registry, timer } = this.#options;
    for (const { engine, name } of pools()) {
      if (engine === undefined) continue;
      const demand = this.#demands.get(name) ?? new RoleDemand(timer);
      this.#demands.set(name, demand);
      let answers = 0;
      let busyReaders = 0;
      for (const { id, role } of registry.inPool(name)) {
        const { requests } = load.total(id);
        if (role !== "prefill") answers += requests;
        else if (requests > 0) busyReaders += 1;
      }
      demand.note({ answers, busyReaders });
    }
  }

  async #carryOut(changes: readonly RoleChange[]): Promise<void> {
    if (!await this.#takeClaim()) return;
    const { link, logger, self } = this.#options;
    for (const change of changes) {
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
        ...this.#demands.get(change.endpoint.pool)?.usual,
      }, "An engine was told to change its role");
      if (outcome === "refused") return this.#claim.refused();
      if (outcome === "busy") continue;
      this.#ordered(id, change.role);
      this.#options.tellPeers([[id, change.role]]);
    }
  }

  #ordered(id: EndpointId, role: "prefill" | "decode"): void {
    this.#changing.set(id, role);
    this.#changeDue.set(
      id,
      this.#options.timer.now() + CHANGE_MILLISECONDS,
    );
  }

  /** A claim of its own for this round; false where it can't be had now. */
  async #takeClaim(): Promise<boolean> {
    const { link, logger, self, timer } = this.#options;
    const read = await link.readClaim();
    if (read.isErr()) return false;
    const { claim, end } = read.value;
    if (claim !== undefined) this.#claim.saw(claim);
    if (!this.#claim.mayClaim()) return false;
    const sentAt = timer.now();
    const appended = await link.appendClaim(self, end);
    // A lost answer may hide a claim that stands; the next look reads it.
    if (appended.isErr() || appended.value === undefined) return false;
    this.#claim.gained(appended.value, sentAt);
    logger.info({ fencing: appended.value }, "This entry gives orders now");
    return true;
  }

  #dropOverdue(): void {
    const now = this.#options.timer.now();
    for (const [id, due] of this.#changeDue) {
      if (now >= due) this.forget({ id });
    }
  }

  /** No change is under way at the engine any more. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#changing.delete(id);
    this.#changeDue.delete(id);
  }
}
