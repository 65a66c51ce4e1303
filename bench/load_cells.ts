/** Runs the cells of the load bench in two worker processes. */
import { fork } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  type CostBasedOptions,
  costBasedPolicy,
  type RoleCounts,
} from "../src/core/roles/mod.ts";
import {
  DEFAULT_POLICY,
  type SchedulingPolicy,
} from "../src/core/scheduling/mod.ts";
import * as baselines from "./load_baselines.ts";
import { bestStaticRoles, capacityPerSecond } from "./load_bound.ts";
import { type Deployment, DEPLOYMENTS } from "./load_deployments.ts";
import { RunStats, type SerializedStats } from "./load_stats.ts";
import { LoadRun, type Variant } from "./load_run.ts";

/** Capacities and initial roles of a deployment's pools. */
export interface DeploymentScale {
  readonly capacities: ReadonlyMap<string, number>;
  readonly roles: ReadonlyMap<string, RoleCounts>;
}

/** One cell of the bench: a deployment, a load, a variant and its seeds. */
export interface LoadCell {
  readonly deployment: string;
  readonly load: number;
  readonly variant: string;
  readonly seeds: readonly number[];
  /** Overrides of the variant and the run, for sweeps. */
  readonly changes?: CellChanges;
}

export interface CellChanges {
  readonly scheduling?: Partial<SchedulingPolicy>;
  readonly planner?: Partial<CostBasedOptions>;
  readonly roleChangeWeight?: number;
  readonly sideWaiting?: number;
  readonly toleratedSlowdown?: number;
  readonly reportLagMilliseconds?: number;
  readonly periodSeconds?: number;
  readonly seconds?: number;
}

export interface CellResult {
  readonly cell: LoadCell;
  readonly stats: SerializedStats;
}

export const VARIANTS: readonly Variant[] = [
  baselines.CURRENT,
  baselines.LEAST_IN_FLIGHT,
  baselines.STATIC_ROLES,
  baselines.BASELINE_SCHEDULING,
  baselines.THRESHOLD_ROLES,
  baselines.FORECAST_ROLES,
];

export function deploymentNamed(name: string): Deployment {
  const found = DEPLOYMENTS.find((deployment) => deployment.name === name);
  if (found === undefined) throw new Error(`Unknown deployment ${name}`);
  return found;
}

const scaleCache = new Map<string, DeploymentScale>();

export function scaleFor(deployment: Deployment): DeploymentScale {
  const cached = scaleCache.get(deployment.name);
  if (cached !== undefined) return cached;
  const capacities = new Map<string, number>();
  const roles = new Map<string, RoleCounts>();
  for (const pool of deployment.inventory.pools) {
    const capacity = capacityPerSecond(deployment, pool);
    capacities.set(pool.name, capacity);
    if (pool.engine === undefined) continue;
    roles.set(pool.name, bestStaticRoles(deployment, pool, capacity));
  }
  const scale = { capacities, roles };
  scaleCache.set(deployment.name, scale);
  return scale;
}

function withChanges(variant: Variant, changes: CellChanges): Variant {
  const { scheduling, planner, ...rest } = changes;
  return {
    ...variant,
    ...rest,
    scheduling: scheduling
      ? { ...DEFAULT_POLICY, ...scheduling }
      : variant.scheduling,
    roles: planner ? () => costBasedPolicy(planner) : variant.roles,
  };
}

function withRoleChangeWeight(
  deployment: Deployment,
  weight?: number,
): Deployment {
  if (weight === undefined) return deployment;
  const planner = { ...deployment.rules.planner, roleChangeWeight: weight };
  return { ...deployment, rules: { ...deployment.rules, planner } };
}

/** Runs all seeds of one cell in sequence and merges their statistics. */
export async function runLoadCell(cell: LoadCell): Promise<RunStats> {
  const { changes = {} } = cell;
  const deployment = withRoleChangeWeight(
    deploymentNamed(cell.deployment),
    changes.roleChangeWeight,
  );
  const variant = VARIANTS.find((candidate) => candidate.name === cell.variant);
  if (variant === undefined) throw new Error(`Unknown variant ${cell.variant}`);
  const scale = scaleFor(deployment);
  const sum = new RunStats();
  for (const seed of cell.seeds) {
    const run = new LoadRun(deployment, withChanges(variant, changes), {
      ...scale,
      ...changes,
      seed,
      load: cell.load,
    });
    sum.merge(await run.run());
  }
  return sum;
}

const WORKER_COUNT = 2;
const WORKER_ARGUMENT = "load-worker";

/** Runs the cells in worker processes that share one queue. */
export async function runLoadCells(
  cells: readonly LoadCell[],
): Promise<CellResult[]> {
  const pending = [...cells];
  const results: CellResult[] = [];
  const workers = Array.from(
    { length: WORKER_COUNT },
    () => runWorker(pending, results),
  );
  await Promise.all(workers);
  return results;
}

function runWorker(pending: LoadCell[], results: CellResult[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = fork(fileURLToPath(import.meta.url), [WORKER_ARGUMENT], {
      execArgv: ["--import", "tsx"],
      serialization: "advanced",
    });
    const sendNextCell = () => {
      const cell = pending.shift();
      if (cell === undefined) worker.disconnect();
      else worker.send(cell);
    };
    worker.on("message", (result) => {
      results.push(result as CellResult);
      sendNextCell();
    });
    worker.on("error", reject);
    worker.on("exit", (code) => {
      if (code === 0) resolve();
      else reject(new Error(`Bench worker exited with code ${code}`));
    });
    sendNextCell();
  });
}

if (process.argv[2] === WORKER_ARGUMENT) {
  process.on("message", (message) => {
    const cell = message as LoadCell;
    void runLoadCell(cell).then((stats) =>
      process.send?.({ cell, stats: stats.serialize() })
    );
  });
}
