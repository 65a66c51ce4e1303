import type { ClaimKeeper, OrdersFold } from "../core/authority/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { Journal } from "../core/journal/mod.ts";
import type { EntryLink, PeerAddress } from "../core/links/mod.ts";
import type { Logger } from "../core/observation/mod.ts";
import { RolePlanner } from "../core/roles/mod.ts";
import type {
  ClassDemand,
  PlannedEndpoint,
  PlannerPicture,
  PoolPicture,
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
import type { WantedOrder } from "./order_plan.ts";

export interface PlannerOptions {
  readonly timer: TimerService;
  readonly planMilliseconds: number;
  readonly journal: Journal;
  readonly orders: OrdersFold;
  readonly claim: ClaimKeeper;
  readonly entries: EntryLink;
  /** The region's other entries. */
  readonly peers: () => readonly PeerAddress[];
  /** This entry's own status. */
  readonly status: () => EntryStatus;
  readonly inForce: () => { inventory: Inventory; rules: Rules } | undefined;
  readonly logger: Logger;
}

/**
 * Engines of a region that may load weights at the same time. Load: a roll-out
 * of new weights. Harm prevented: the rate-limited weight store is asked by
 * the whole region at once, and each load takes minutes. Limit: a tenth of
 * today's ten replicas out for loading costs less than one replica's slots.
 */
const MOST_LOADS_AT_ONCE = 2;
/** A peer that has been silent this long no longer counts in the demand. */
const FORGET_PEER_MILLISECONDS = 60_000;

/**
 * Questions for a status that the planner sends in a second. Load: 36 other
 * entries in a region. Harm prevented: the entry that plans spends more on
 * control than a node may. Limit: at about 3 KB for an answer with the demand
 * on 14 pools, one question a second is 3 KB/s.
 */
const MOST_ASKED_PER_SECOND = 1;

/** What a peer has told, its answers put together. */
interface HeardPeer {
  readonly status: EntryStatus;
  readonly sides: ReadonlyMap<string, SideReport>;
  readonly at: number;
}

/**
 * Plans the region's roles while this entry holds the planner's claim, and
 * appends the orders that are missing. What it appends after it has lost the
 * claim is void by position, so it need not be sure that it still holds it.
 */
export class Planner {
  readonly #options: PlannerOptions;
  readonly #roles = new RolePlanner();
  readonly #heard = new Map<PeerAddress, HeardPeer>();
  #planning: Subscription | undefined;
  #busy = false;
  #lastPlan = -Infinity;

  constructor(options: PlannerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#planning = this.#options.timer.every(
      this.#options.planMilliseconds,
      () => void this.plan(),
    );
  }

  stop(): void {
    this.#planning?.cancel();
  }

  /** Makes one plan and appends its orders; nothing without the claim. */
  async plan(): Promise<void> {
    if (this.#busy || !this.#mayPlan()) return;
    this.#busy = true;
    this.#lastPlan = this.#options.timer.now();
    await this.#askPeers();
    await this.#appendMissing();
    this.#busy = false;
  }

  /**
   * A planner that has not read the whole stream would plan a fleet that is
   * in mid-change by its predecessor's orders.
   */
  #mayPlan(): boolean {
    const { claim, journal } = this.#options;
    return claim.held !== undefined && journal.reachable &&
      journal.caughtUp && this.#isDue();
  }

  /** With many peers a plan is made more rarely, as each has to be asked. */
  #isDue(): boolean {
    const { timer, peers } = this.#options;
    const period = peers().length * 1000 / MOST_ASKED_PER_SECOND;
    return timer.now() - this.#lastPlan >= period;
  }

  async #askPeers(): Promise<void> {
    const { entries, peers, timer } = this.#options;
    await Promise.all(
      peers().map(async (peer) => {
        const before = this.#heard.get(peer);
        const answer = await entries.status(peer, questionAfter(before));
        if (answer.isErr()) return;
        this.#heard.set(peer, {
          status: answer.value,
          sides: mergedSides(before, answer.value),
          at: timer.now(),
        });
      }),
    );
    for (const [peer, { at }] of this.#heard) {
      if (timer.now() - at > FORGET_PEER_MILLISECONDS) this.#heard.delete(peer);
    }
  }

  async #appendMissing(): Promise<void> {
    const inForce = this.#options.inForce();
    const claim = this.#options.claim.held;
    if (inForce === undefined || claim === undefined) return;
    const reports = this.#reports();
    const changes = this.#roles.plan(this.#picture(inForce, reports));
    const missing = missingOrders({
      inventory: inForce.inventory,
      standing: this.#options.orders.orders,
      reports,
      changes,
      mostLoadsAtOnce: MOST_LOADS_AT_ONCE,
    });
    await Promise.all(
      missing.map((order) =>
        this.#append(order, { claim: claim.offset, changes })
      ),
    );
  }

  async #append(
    order: WantedOrder,
    options: { claim: number; changes: readonly RoleChange[] },
  ): Promise<void> {
    const { journal, logger } = this.#options;
    const gain = options.changes.find((each) =>
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

  /** The region's newest report of each endpoint's side, own ones first. */
  #reports(): Map<string, SideReport> {
    const reports = new Map<string, SideReport>();
    const heard = [...this.#heard.values()].map(({ sides }) => sides.values());
    for (const sides of [this.#options.status().sides, ...heard]) {
      for (const report of sides) {
        const known = reports.get(report.endpoint);
        if (isNewer(report, known)) reports.set(report.endpoint, report);
      }
    }
    return reports;
  }

  #picture(
    inForce: { inventory: Inventory; rules: Rules },
    reports: ReadonlyMap<string, SideReport>,
  ): PlannerPicture {
    const { timer, journal } = this.#options;
    const engines = inForce.inventory.pools.filter((pool) =>
      pool.kind === "engine" && pool.engine !== undefined
    );
    return {
      now: timer.now(),
      pools: engines.map((pool) => this.#poolPicture(pool, reports)),
      rules: inForce.rules.planner ?? {},
      logAvailable: journal.reachable,
    };
  }

  #poolPicture(
    pool: Pool,
    reports: ReadonlyMap<string, SideReport>,
  ): PoolPicture {
    const now = this.#options.timer.now();
    const ages = [...this.#heard.values()].map(({ at }) => now - at);
    return {
      pool: pool.name,
      engine: pool.engine as NonNullable<Pool["engine"]>,
      endpoints: pool.endpoints
        .filter((endpoint) => endpoint.state !== "withdrawn")
        .map((endpoint) => this.#plannedEndpoint(endpoint, reports)),
      demand: this.#demandOn(pool.name),
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
    const done = order === undefined ||
      (report?.orderApplied ?? -1) >= order.offset;
    return {
      endpoint: identifier(endpoint.id),
      availabilityZone: endpoint.availabilityZone,
      role,
      ...(!done && { changingTo: order.target.role }),
      serving: report?.state === "serving" && endpoint.state !== "draining",
      fixedRole: endpoint.fixedRole ?? false,
    };
  }

  /** Sum of what the entries see, by class. */
  #demandOn(pool: string): ClassDemand[] {
    const statuses = [...this.#heard.values()].map(({ status }) => status);
    const sums = new Map<string, ClassDemand>();
    for (const status of [...statuses, this.#options.status()]) {
      for (const report of status.demand ?? []) {
        if (report.pool !== pool) continue;
        for (const one of report.classes) {
          sums.set(one.className, added(sums.get(one.className), one));
        }
      }
    }
    return [...sums.values()];
  }
}

/** Asks for what has changed only, where this peer has answered before. */
function questionAfter(before: HeardPeer | undefined): StatusQuestion {
  const { incarnation, change } = before?.status ?? {};
  if (incarnation === undefined || change === undefined) return {};
  return { changedSince: { incarnation, change } };
}

/** A restarted peer tells everything anew, so nothing of before is kept. */
function mergedSides(
  before: HeardPeer | undefined,
  status: EntryStatus,
): Map<string, SideReport> {
  const isSameRun = before?.status.incarnation === status.incarnation;
  const sides = new Map(isSameRun ? before?.sides : []);
  for (const report of status.sides) sides.set(report.endpoint, report);
  return sides;
}

function isNewer(report: SideReport, known: SideReport | undefined): boolean {
  if (known === undefined) return true;
  return report.configurationVersion > known.configurationVersion ||
    report.orderTaken > known.orderTaken ||
    (report.orderApplied ?? -1) > (known.orderApplied ?? -1);
}

/** Sum of two demands of one class, means weighted by the arrivals. */
function added(
  sum: ClassDemand | undefined,
  one: Omit<ClassDemand, "value">,
): ClassDemand {
  if (sum === undefined) return { ...one, value: 1 };
  const arrivalsPerSecond = sum.arrivalsPerSecond + one.arrivalsPerSecond;
  if (arrivalsPerSecond === 0) return sum;
  const share = one.arrivalsPerSecond / arrivalsPerSecond;
  return {
    ...sum,
    arrivalsPerSecond,
    promptTokens: mix(sum.promptTokens, one.promptTokens, share),
    outputTokens: mix(sum.outputTokens, one.outputTokens, share),
  };
}

function mix(one: number, other: number, share: number): number {
  return one * (1 - share) + other * share;
}
