import type { ClaimKeeper, OrdersFold } from "../core/authority/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { Journal } from "../core/journal/mod.ts";
import type { EntryLink, PeerAddress } from "../core/links/mod.ts";
import type { Logger } from "../core/observation/mod.ts";
import { RolePlanner } from "../core/roles/mod.ts";
import type {
  ClassDemand,
  PlannedEndpoint,
  PlannerInput,
  PoolState,
  RoleChange,
} from "../core/roles/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { Inventory, Pool } from "../generated/inventory.ts";
import type {
  EntryStatus,
  SideReport,
  StatusQuestion,
} from "../generated/messages.ts";
import type { Rules } from "../generated/rules.ts";
import { missingOrders } from "./order_plan.ts";
import type { DesiredOrder } from "./order_plan.ts";

export interface PlannerOptions {
  readonly timer: TimerService;
  readonly planMilliseconds: number;
  readonly journal: Journal;
  readonly orders: OrdersFold;
  readonly claim: ClaimKeeper;
  readonly entries: EntryLink;
  /** The region's other entries. */
  readonly peers: () => readonly PeerAddress[];
  /** Status of this entry. */
  readonly status: () => EntryStatus;
  readonly active: () => { inventory: Inventory; rules: Rules } | undefined;
  readonly logger: Logger;
}

/**
 * Maximum engines in a region that load weights at the same time. During a
 * rollout of new weights, the whole region would otherwise load from the
 * rate-limited weight store at once, and each load takes minutes. With ten
 * replicas, at most a fifth of them is out of service for loading.
 */
const MAX_CONCURRENT_LOADS = 2;
/** Peers that have been silent this long no longer count in the demand. */
const PEER_EXPIRY_MILLISECONDS = 60_000;

/**
 * Status queries per second of the planner. With 36 other entries in a region,
 * the entry that plans would otherwise exceed a VM's control traffic budget.
 * With demand on 14 pools an answer has about 3 KB, so one query a second is 3
 * KB/s.
 */
const MAX_STATUS_QUERIES_PER_SECOND = 1;

/**
 * Last status of a peer, with the reports merged from its incremental answers.
 */
interface PeerState {
  readonly status: EntryStatus;
  readonly sides: ReadonlyMap<string, SideReport>;
  readonly receivedAt: number;
}

/**
 * Plans the region's roles while this entry holds the claim on the orders
 * stream, and appends the missing orders. Orders appended after the claim was
 * lost are void by their position on the log, so the planner need not verify
 * that it still holds the claim.
 */
export class Planner {
  readonly #options: PlannerOptions;
  readonly #rolePlanner = new RolePlanner();
  readonly #peers = new Map<PeerAddress, PeerState>();
  #planTimer: Subscription | undefined;
  #isPlanning = false;
  #lastPlanAt = -Infinity;

  constructor(options: PlannerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#planTimer = this.#options.timer.every(
      this.#options.planMilliseconds,
      () => this.plan(),
    );
  }

  stop(): void {
    this.#planTimer?.cancel();
  }

  /** Makes one plan and appends its orders; does nothing without the claim. */
  async plan(): Promise<void> {
    if (this.#isPlanning || !this.#mayPlan()) return;
    this.#isPlanning = true;
    this.#lastPlanAt = this.#options.timer.now();
    await this.#queryPeers();
    await this.#appendMissing();
    this.#isPlanning = false;
  }

  /**
   * True if a plan is due and this entry may make it. A planner that has not
   * read the whole stream would ignore its predecessor's orders that are still
   * being carried out.
   */
  #mayPlan(): boolean {
    const { claim, journal } = this.#options;
    return claim.held !== undefined && journal.reachable &&
      journal.caughtUp && this.#isDue();
  }

  /**
   * Each peer has to be queried, so the interval between plans grows with the
   * number of peers.
   */
  #isDue(): boolean {
    const { timer, peers } = this.#options;
    const period = peers().length * 1000 / MAX_STATUS_QUERIES_PER_SECOND;
    return timer.now() - this.#lastPlanAt >= period;
  }

  async #queryPeers(): Promise<void> {
    const { entries, peers, timer } = this.#options;
    await Promise.all(
      peers().map(async (peer) => {
        const previous = this.#peers.get(peer);
        const answer = await entries.status(
          peer,
          incrementalQuestion(previous),
        );
        if (answer.isErr()) return;
        this.#peers.set(peer, {
          status: answer.value,
          sides: mergeSides(previous, answer.value),
          receivedAt: timer.now(),
        });
      }),
    );
    for (const [peer, { receivedAt: at }] of this.#peers) {
      if (timer.now() - at > PEER_EXPIRY_MILLISECONDS) this.#peers.delete(peer);
    }
  }

  async #appendMissing(): Promise<void> {
    const active = this.#options.active();
    const claim = this.#options.claim.held;
    if (active === undefined || claim === undefined) return;
    const reports = this.#reports();
    const roleChanges = this.#rolePlanner.plan(
      this.#plannerInput(active, reports),
    );
    const missing = missingOrders({
      inventory: active.inventory,
      currentOrders: this.#options.orders.orders,
      reports,
      roleChanges,
      maxConcurrentLoads: MAX_CONCURRENT_LOADS,
    });
    await Promise.all(
      missing.map((order) =>
        this.#append(order, { claim: claim.offset, roleChanges })
      ),
    );
  }

  async #append(
    order: DesiredOrder,
    options: { claim: number; roleChanges: readonly RoleChange[] },
  ): Promise<void> {
    const { journal, logger } = this.#options;
    const gain = options.roleChanges.find((each) =>
      each.endpoint === order.endpoint
    )?.netGain;
    const appended = await journal.append({
      kind: "order",
      claim: options.claim,
      ...order,
    });
    const facts = { ...order, claim: options.claim, gain };
    if (appended.isOk()) logger.info(facts, "Order appended");
    else logger.warn({ ...facts, error: appended.error }, "Order not appended");
  }

  /**
   * Newest report of each endpoint's side in the region; on a tie, this entry's
   * own report wins.
   */
  #reports(): Map<string, SideReport> {
    const reports = new Map<string, SideReport>();
    const peerSides = [...this.#peers.values()].map(({ sides }) =>
      sides.values()
    );
    for (const sides of [this.#options.status().sides, ...peerSides]) {
      for (const report of sides) {
        const known = reports.get(report.endpoint);
        if (isNewer(report, known)) reports.set(report.endpoint, report);
      }
    }
    return reports;
  }

  #plannerInput(
    active: { inventory: Inventory; rules: Rules },
    reports: ReadonlyMap<string, SideReport>,
  ): PlannerInput {
    const { timer, journal } = this.#options;
    const engines = active.inventory.pools.filter((pool) =>
      pool.kind === "engine" && pool.engine !== undefined
    );
    return {
      now: timer.now(),
      pools: engines.map((pool) => this.#poolInput(pool, reports)),
      rules: active.rules.planner ?? {},
      logAvailable: journal.reachable,
    };
  }

  #poolInput(
    pool: Pool,
    reports: ReadonlyMap<string, SideReport>,
  ): PoolState {
    const now = this.#options.timer.now();
    const ages = [...this.#peers.values()].map(({ receivedAt }) =>
      now - receivedAt
    );
    return {
      pool: pool.name,
      engine: pool.engine as NonNullable<Pool["engine"]>,
      endpoints: pool.endpoints
        .filter((endpoint) => endpoint.state !== "withdrawn")
        .map((endpoint) => this.#plannedEndpoint(endpoint, reports)),
      demand: this.#demandForPool(pool.name),
      demandAgeMilliseconds: Math.max(0, ...ages),
    };
  }

  #plannedEndpoint(
    endpoint: Pool["endpoints"][number],
    reports: ReadonlyMap<string, SideReport>,
  ): PlannedEndpoint {
    const report = reports.get(endpoint.id);
    const order = this.#options.orders.standingOrder(endpoint.id);
    const role = report?.role ?? endpoint.role ?? "mixed";
    const isApplied = order === undefined ||
      (report?.orderApplied ?? -1) >= order.offset;
    return {
      endpoint: identifier(endpoint.id),
      availabilityZone: endpoint.availabilityZone,
      role,
      ...(!isApplied && { changingTo: order.target.role }),
      serving: report?.state === "serving" && endpoint.state !== "draining",
      fixedRole: endpoint.fixedRole ?? false,
    };
  }

  /** Demand on a pool, summed over all entries by class. */
  #demandForPool(pool: string): ClassDemand[] {
    const statuses = [...this.#peers.values()].map(({ status }) => status);
    const sums = new Map<string, ClassDemand>();
    for (const status of [...statuses, this.#options.status()]) {
      for (const report of status.demand ?? []) {
        if (report.pool !== pool) continue;
        for (const classDemand of report.classes) {
          sums.set(
            classDemand.className,
            addDemand(sums.get(classDemand.className), classDemand),
          );
        }
      }
    }
    return [...sums.values()];
  }
}

/** Asks only for changes since this peer's last answer, if there is one. */
function incrementalQuestion(previous: PeerState | undefined): StatusQuestion {
  const { incarnation, change } = previous?.status ?? {};
  if (incarnation === undefined || change === undefined) return {};
  return { changedSince: { incarnation, change } };
}

/**
 * Merges an answer into the known reports. A restarted peer sends all its
 * reports again, so the earlier ones are dropped.
 */
function mergeSides(
  previous: PeerState | undefined,
  status: EntryStatus,
): Map<string, SideReport> {
  const isSameIncarnation = previous?.status.incarnation === status.incarnation;
  const sides = new Map(isSameIncarnation ? previous?.sides : []);
  for (const report of status.sides) sides.set(report.endpoint, report);
  return sides;
}

function isNewer(report: SideReport, known: SideReport | undefined): boolean {
  if (known === undefined) return true;
  return report.configurationVersion > known.configurationVersion ||
    report.orderTaken > known.orderTaken ||
    (report.orderApplied ?? -1) > (known.orderApplied ?? -1);
}

/** Sum of two demands of one class; means are weighted by arrivals. */
function addDemand(
  sum: ClassDemand | undefined,
  added: Omit<ClassDemand, "value">,
): ClassDemand {
  if (sum === undefined) return { ...added, value: 1 };
  const arrivalsPerSecond = sum.arrivalsPerSecond + added.arrivalsPerSecond;
  if (arrivalsPerSecond === 0) return sum;
  const share = added.arrivalsPerSecond / arrivalsPerSecond;
  return {
    ...sum,
    arrivalsPerSecond,
    promptTokens: weightedMean(sum.promptTokens, added.promptTokens, share),
    outputTokens: weightedMean(sum.outputTokens, added.outputTokens, share),
  };
}

function weightedMean(first: number, second: number, share: number): number {
  return first * (1 - share) + second * share;
}
