/**
 * Goodput under load on virtual time, compared with baselines and an oracle's
 * upper bound: `npm run bench:load` (`-- --quick` for three seeds).
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { goodputBound } from "./load_bound.ts";
import { DEPLOYMENTS } from "./load_deployments.ts";
import { RunStats } from "./load_stats.ts";
import {
  type CellResult,
  type LoadCell,
  runLoadCells,
  scaleFor,
  VARIANTS,
} from "./load_cells.ts";

const LOADS = [0.5, 0.8, 1, 1.3, 2];
/**
 * Loads of the variants that do not run at all loads. Each baseline runs at its
 * most informative loads, so that the whole run ends within five minutes.
 */
const VARIANT_LOADS: Readonly<Record<string, readonly number[]>> = {
  static: [1],
  first: [1, 2],
  threshold: [1],
  forecast: [1],
};
const SEEDS = 20;
const QUICK_SEEDS = 3;
const SEEDS_PER_CELL = 5;
const PERCENTILES = [0.5, 0.95, 0.99];

function cellsOf(seeds: number): LoadCell[] {
  const cells: LoadCell[] = [];
  for (const deployment of DEPLOYMENTS) {
    for (const load of LOADS) {
      for (const variant of VARIANTS) {
        if (!(VARIANT_LOADS[variant.name] ?? LOADS).includes(load)) continue;
        for (let first = 1; first <= seeds; first += SEEDS_PER_CELL) {
          const last = Math.min(seeds, first + SEEDS_PER_CELL - 1);
          cells.push({
            deployment: deployment.name,
            load,
            variant: variant.name,
            seeds: Array.from(
              { length: last - first + 1 },
              (_, index) => first + index,
            ),
          });
        }
      }
    }
  }
  return cells;
}

function resultKey(deployment: string, load: number, variant: string): string {
  return `${deployment}/${load}/${variant}`;
}

function merge(results: readonly CellResult[]): Map<string, RunStats> {
  const merged = new Map<string, RunStats>();
  for (const { cell, stats } of results) {
    const name = resultKey(cell.deployment, cell.load, cell.variant);
    const sum = merged.get(name) ?? new RunStats();
    sum.addSerialized(stats);
    merged.set(name, sum);
  }
  return merged;
}

function fraction(part: number, whole: number): string {
  return (whole === 0 ? 0 : part / whole).toFixed(4);
}

function printRun(name: string, stats: RunStats): void {
  const all = stats.total();
  console.log(
    `  ${name.padEnd(9)} goodput ${all.goodput.toFixed(4)}` +
      ` late ${fraction(all.late, all.offered)}` +
      ` refused ${fraction(all.refused, all.offered)}` +
      ` role changes ${(stats.roleChanges / stats.runs).toFixed(2)} a run`,
  );
  for (const [className, classStats] of stats.classes) {
    const formatPercentiles = (histogram: typeof classStats.firstToken) =>
      PERCENTILES.map((quantile) => histogram.percentile(quantile).toFixed(0))
        .join("/");
    const tokens = classStats.firstToken.total === 0
      ? ""
      : ` first token ${formatPercentiles(classStats.firstToken)} ms` +
        ` between tokens ${formatPercentiles(classStats.betweenTokens)} ms`;
    console.log(
      `    ${className.padEnd(9)} goodput ${classStats.goodput.toFixed(4)}` +
        ` late ${fraction(classStats.late, classStats.offered)}` +
        ` refused ${fraction(classStats.refused, classStats.offered)}${tokens}`,
    );
  }
}

function urgentGoodput(stats: RunStats, urgent: string): number {
  return stats.forClass(urgent).goodput;
}

/** Statistics of one deployment for the JSON line, mainly at load 1. */
function summarize(
  deployment: (typeof DEPLOYMENTS)[number],
  merged: ReadonlyMap<string, RunStats>,
  bounds: ReadonlyMap<number, number>,
) {
  const statsAt = (load: number, variant: string) =>
    merged.get(resultKey(deployment.name, load, variant)) as RunStats;
  const urgent = deployment.shapes[0].workClass.name;
  const round = (value: number) => Number(value.toFixed(4));
  const current = statsAt(1, "present");
  return {
    goodput: round(current.total().goodput),
    baseline: round(statsAt(1, "fifo").total().goodput),
    bound: round(bounds.get(1) as number),
    urgent_goodput: round(urgentGoodput(current, urgent)),
    role_changes: round(current.roleChanges / current.runs),
    threshold_role_changes: round(
      statsAt(1, "threshold").roleChanges / statsAt(1, "threshold").runs,
    ),
    threshold_goodput: round(statsAt(1, "threshold").total().goodput),
    goodput_by_load: LOADS.map((load) =>
      round(statsAt(load, "present").total().goodput)
    ),
    urgent_goodput_by_load: LOADS.map((load) =>
      round(urgentGoodput(statsAt(load, "present"), urgent))
    ),
  };
}

const { values } = parseArgs({
  options: { quick: { type: "boolean" }, seeds: { type: "string" } },
});
const seeds = values.quick ? QUICK_SEEDS : Number(values.seeds ?? SEEDS);
const startedAt = performance.now();
const merged = merge(await runLoadCells(cellsOf(seeds)));
const summaries: Record<string, unknown> = {};
for (const deployment of DEPLOYMENTS) {
  const scale = scaleFor(deployment);
  const bounds = new Map<number, number>();
  for (const load of LOADS) {
    const { capacities, roles } = scale;
    const bound = goodputBound(deployment, { capacities, load });
    const staticBound = goodputBound(deployment, { capacities, load, roles });
    bounds.set(load, bound);
    console.log(
      `${deployment.name}, load ${load}, ${seeds} seeds, bound ${
        bound.toFixed(4)
      },` +
        ` with the best fixed roles ${staticBound.toFixed(4)}`,
    );
    for (const { name } of VARIANTS) {
      const stats = merged.get(resultKey(deployment.name, load, name));
      if (stats !== undefined) printRun(name, stats);
    }
  }
  summaries[deployment.name] = summarize(deployment, merged, bounds);
}
const seconds = (performance.now() - startedAt) / 1_000;
console.log(`${seconds.toFixed(0)} s in total`);
console.log(JSON.stringify({ load: summaries }));
process.exitCode = 0;
