import type { EndpointOrder } from "../core/authority/mod.ts";
import { isSameTarget, selectWithinLoadBudget } from "../core/orders/mod.ts";
import type { RoleChange } from "../core/roles/mod.ts";
import type {
  Inventory,
  InventoryEndpoint,
  Pool,
} from "../generated/inventory.ts";
import type { EngineTarget } from "../generated/log_records.ts";
import type { SideReport } from "../generated/messages.ts";

/** An order that should be on the log. */
export interface DesiredOrder {
  readonly endpoint: string;
  readonly number: number;
  readonly target: EngineTarget;
}

export interface OrderPlanOptions {
  readonly inventory: Inventory;
  /** Last valid order of each endpoint. */
  readonly currentOrders: ReadonlyMap<string, EndpointOrder>;
  readonly reports: ReadonlyMap<string, SideReport>;
  /** Role changes that the role planner requests. */
  readonly roleChanges: readonly RoleChange[];
  /** Maximum engines in the region that load weights at the same time. */
  readonly maxConcurrentLoads: number;
}

interface Candidate extends DesiredOrder {
  readonly needsLoading: boolean;
}

/**
 * Returns the orders that are missing on the log. The inventory's target and
 * the requested role changes are merged into one target per engine here, and
 * nothing else creates orders, so a publication and a role change cannot
 * contradict each other. An order that is already on the log is not repeated: a
 * planner that takes over continues the orders of its predecessor.
 */
export function missingOrders(options: OrderPlanOptions): DesiredOrder[] {
  const candidates = options.inventory.pools.flatMap((pool) =>
    pool.endpoints.flatMap((endpoint) =>
      candidateFor(endpoint, { pool, ...options }) ?? []
    )
  );
  const allowed = new Set(
    selectWithinLoadBudget(candidates, {
      loading: loadingEndpoints(options),
      maxConcurrentLoads: options.maxConcurrentLoads,
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
  const currentOrder = options.currentOrders.get(endpoint.id);
  const report = options.reports.get(endpoint.id);
  // An engine that its side has not observed may be in the target state.
  const isObserved = report?.role !== undefined;
  if (currentOrder === undefined && !isObserved) return undefined;
  const target = desiredTarget(endpoint, {
    ...options,
    order: currentOrder,
    report,
  });
  const isCurrent = currentOrder !== undefined
    ? isSameTarget(currentOrder.target, target)
    : report !== undefined && reportMatches(report, target);
  if (isCurrent) return undefined;
  return {
    endpoint: endpoint.id,
    number: (currentOrder?.number ?? -1) + 1,
    target,
    needsLoading: target.weights !== undefined &&
      target.weights !== report?.weights,
  };
}

/**
 * The role stays the last one ordered until the role planner requests another.
 * The inventory's role is the initial one, and a fixed role never changes.
 */
function desiredTarget(
  endpoint: InventoryEndpoint,
  options: OrderPlanOptions & {
    pool: Pool;
    order: EndpointOrder | undefined;
    report: SideReport | undefined;
  },
): EngineTarget {
  const { pool, order, report, roleChanges } = options;
  const roleChange = roleChanges.find((each) => each.endpoint === endpoint.id);
  const role = endpoint.fixedRole
    ? endpoint.role ?? "mixed"
    : roleChange?.to ?? order?.target.role ?? endpoint.role ?? report?.role ??
      "mixed";
  const target: EngineTarget = { role };
  if (pool.models !== undefined) target.models = pool.models;
  if (pool.weights !== undefined) target.weights = pool.weights;
  return target;
}

/**
 * True if the report matches the target. Reports carry no models; the side
 * compares those with the engine's.
 */
function reportMatches(report: SideReport, target: EngineTarget): boolean {
  const sameWeights = target.weights === undefined ||
    target.weights === report.weights;
  return report.role === target.role && sameWeights;
}

function loadingEndpoints(options: OrderPlanOptions): Set<string> {
  const loading = new Set<string>();
  for (const [endpoint, order] of options.currentOrders) {
    const report = options.reports.get(endpoint);
    if (report === undefined || order.target.weights === undefined) continue;
    const isApplied = (report.orderApplied ?? -1) >= order.offset ||
      report.weights === order.target.weights;
    if (!isApplied) loading.add(endpoint);
  }
  return loading;
}
