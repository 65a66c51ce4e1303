import type { EndpointOrder } from "../core/authority/mod.ts";
import { isSameTarget, pickLoads } from "../core/orders/mod.ts";
import type { RoleChange } from "../core/roles/mod.ts";
import type {
  Inventory,
  InventoryEndpoint,
  Pool,
} from "../generated/inventory.ts";
import type { EngineTarget } from "../generated/log_records.ts";
import type { SideReport } from "../generated/messages.ts";

/** An order that should stand on the log. */
export interface WantedOrder {
  readonly endpoint: string;
  readonly number: number;
  readonly target: EngineTarget;
}

export interface OrderPlanOptions {
  readonly inventory: Inventory;
  /** Every endpoint's last valid order. */
  readonly standing: ReadonlyMap<string, EndpointOrder>;
  readonly reports: ReadonlyMap<string, SideReport>;
  /** Role changes that the mix calls for. */
  readonly changes: readonly RoleChange[];
  /** Engines of the region that may load weights at the same time. */
  readonly mostLoadsAtOnce: number;
}

interface Candidate extends WantedOrder {
  readonly needsLoading: boolean;
}

/**
 * The orders that are missing on the log. What the inventory wants and what
 * the mix wants become one target per engine here; nothing else gives
 * orders, so a publication and a shift can't contradict each other. An order
 * that stands already is not repeated: a planner that takes over continues
 * what its predecessor began.
 */
export function missingOrders(options: OrderPlanOptions): WantedOrder[] {
  const candidates = options.inventory.pools.flatMap((pool) =>
    pool.endpoints.flatMap((endpoint) =>
      candidateFor(endpoint, { pool, ...options }) ?? []
    )
  );
  const allowed = new Set(
    pickLoads(candidates, {
      loading: loadingNow(options),
      mostAtOnce: options.mostLoadsAtOnce,
    }).map((candidate) => candidate.endpoint),
  );
  return candidates.filter((each) => allowed.has(each.endpoint))
    .map(({ endpoint, number, target }) => ({ endpoint, number, target }));
}

function candidateFor(
  endpoint: InventoryEndpoint,
  options: OrderPlanOptions & { pool: Pool },
): Candidate | undefined {
  const { pool } = options;
  if (pool.kind !== "engine" || endpoint.state === "withdrawn") {
    return undefined;
  }
  const standing = options.standing.get(endpoint.id);
  const report = options.reports.get(endpoint.id);
  if (standing === undefined && report === undefined) return undefined;
  const target = targetOf(endpoint, { ...options, order: standing, report });
  const has = standing !== undefined
    ? isSameTarget(standing.target, target)
    : report !== undefined && reportShows(report, target);
  if (has) return undefined;
  return {
    endpoint: endpoint.id,
    number: (standing?.number ?? -1) + 1,
    target,
    needsLoading: target.weights !== undefined &&
      target.weights !== report?.weights,
  };
}

/**
 * The role is the last one that was ordered until the mix calls for another;
 * the inventory's role is where an engine starts, or stays where it is fixed.
 */
function targetOf(
  endpoint: InventoryEndpoint,
  options: OrderPlanOptions & {
    pool: Pool;
    order: EndpointOrder | undefined;
    report: SideReport | undefined;
  },
): EngineTarget {
  const { pool, order, report, changes } = options;
  const change = changes.find((each) => each.endpoint === endpoint.id);
  const role = endpoint.fixedRole
    ? endpoint.role ?? "mixed"
    : change?.to ?? order?.target.role ?? endpoint.role ?? report?.role ??
      "mixed";
  const target: EngineTarget = { role };
  if (pool.models !== undefined) target.models = pool.models;
  if (pool.weights !== undefined) target.weights = pool.weights;
  return target;
}

/** A report names no models; the side compares those at the engine itself. */
function reportShows(report: SideReport, target: EngineTarget): boolean {
  const sameWeights = target.weights === undefined ||
    target.weights === report.weights;
  return report.role === target.role && sameWeights;
}

function loadingNow(options: OrderPlanOptions): Set<string> {
  const loading = new Set<string>();
  for (const [endpoint, order] of options.standing) {
    const report = options.reports.get(endpoint);
    if (report === undefined || order.target.weights === undefined) continue;
    const done = (report.orderApplied ?? -1) >= order.offset ||
      report.weights === order.target.weights;
    if (!done) loading.add(endpoint);
  }
  return loading;
}
