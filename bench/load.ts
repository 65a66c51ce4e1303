/**
 * Goodput of the decisions under load on virtual time, against baselines and
 * an oracle's bound: `npm run bench:load` (`-- --quick` for three seeds).
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { goodputBound } from "./load_bound.ts";
import { DEPLOYMENTS } from "./load_deployments.ts";
import { RunFigures } from "./load_figures.ts";
import {
  type Cell,
  type CellResult,
  runCells,
  scaleOf,
  VARIANTS,
} from "./load_job.ts";

const LOADS = [0.5, 0.8, 1, 1.3, 2];
/**
 * Loads at which a variant runs, where that is not all of them: each baseline
 * where it says most, so that the whole run ends within five minutes.
 */
const LOADS_OF: Readonly<Record<string, readonly number[]>> = {
  static: [1],
  first: [1, 2],
  threshold: [1],
  forecast: [1],
};
const SEEDS = 20;
const QUICK_SEEDS = 3;
const SEEDS_PER_CELL = 5;
const PERCENTILES = [0.5, 0.95, 0.99];

function cellsOf(seeds: number): Cell[] {
  const cells: Cell[] = [];
  for (const deployment of DEPLOYMENTS) {
    for (const load of LOADS) {
      for (const variant of VARIANTS) {
        if (!(LOADS_OF[variant.name] ?? LOADS).includes(load)) continue;
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

function key(deployment: string, load: number, variant: string): string {
  return `${deployment}/${load}/${variant}`;
}

function merge(results: readonly CellResult[]): Map<string, RunFigures> {
  const merged = new Map<string, RunFigures>();
  for (const { cell, figures } of results) {
    const name = key(cell.deployment, cell.load, cell.variant);
    const sum = merged.get(name) ?? new RunFigures();
    sum.add(figures);
    merged.set(name, sum);
  }
  return merged;
}

function share(part: number, whole: number): string {
  return (whole === 0 ? 0 : part / whole).toFixed(4);
}

function printRun(name: string, figures: RunFigures): void {
  const all = figures.all();
  console.log(
    `  ${name.padEnd(9)} goodput ${all.goodput.toFixed(4)}` +
      ` late ${share(all.late, all.offered)}` +
      ` refused ${share(all.refused, all.offered)}` +
      ` role changes ${(figures.roleChanges / figures.runs).toFixed(2)} a run`,
  );
  for (const [className, one] of figures.classes) {
    const times = (histogram: typeof one.firstToken) =>
      PERCENTILES.map((at) => histogram.percentile(at).toFixed(0)).join("/");
    const tokens = one.firstToken.total === 0
      ? ""
      : ` first token ${times(one.firstToken)} ms` +
        ` between tokens ${times(one.betweenTokens)} ms`;
    console.log(
      `    ${className.padEnd(9)} goodput ${one.goodput.toFixed(4)}` +
        ` late ${share(one.late, one.offered)}` +
        ` refused ${share(one.refused, one.offered)}${tokens}`,
    );
  }
}

function urgentGoodput(figures: RunFigures, urgent: string): number {
  return figures.of(urgent).goodput;
}

/** Figures of one deployment at capacity, for the last line. */
function summary(
  deployment: (typeof DEPLOYMENTS)[number],
  merged: ReadonlyMap<string, RunFigures>,
  bounds: ReadonlyMap<number, number>,
) {
  const at = (load: number, variant: string) =>
    merged.get(key(deployment.name, load, variant)) as RunFigures;
  const urgent = deployment.shapes[0].workClass.name;
  const round = (value: number) => Number(value.toFixed(4));
  const present = at(1, "present");
  return {
    goodput: round(present.all().goodput),
    baseline: round(at(1, "fifo").all().goodput),
    bound: round(bounds.get(1) as number),
    urgent_goodput: round(urgentGoodput(present, urgent)),
    role_changes: round(present.roleChanges / present.runs),
    threshold_role_changes: round(
      at(1, "threshold").roleChanges / at(1, "threshold").runs,
    ),
    threshold_goodput: round(at(1, "threshold").all().goodput),
    goodput_by_load: LOADS.map((load) =>
      round(at(load, "present").all().goodput)
    ),
    urgent_goodput_by_load: LOADS.map((load) =>
      round(urgentGoodput(at(load, "present"), urgent))
    ),
  };
}

const { values } = parseArgs({
  options: { quick: { type: "boolean" }, seeds: { type: "string" } },
});
const seeds = values.quick ? QUICK_SEEDS : Number(values.seeds ?? SEEDS);
const startedAt = performance.now();
const merged = merge(await runCells(cellsOf(seeds)));
const lastLine: Record<string, unknown> = {};
for (const deployment of DEPLOYMENTS) {
  const scale = scaleOf(deployment);
  const bounds = new Map<number, number>();
  for (const load of LOADS) {
    const { capacities, roles } = scale;
    const bound = goodputBound(deployment, { capacities, load });
    const fixed = goodputBound(deployment, { capacities, load, roles });
    bounds.set(load, bound);
    console.log(
      `${deployment.name}, load ${load}, ${seeds} seeds, bound ${
        bound.toFixed(4)
      },` +
        ` with the best fixed roles ${fixed.toFixed(4)}`,
    );
    for (const { name } of VARIANTS) {
      const figures = merged.get(key(deployment.name, load, name));
      if (figures !== undefined) printRun(name, figures);
    }
  }
  lastLine[deployment.name] = summary(deployment, merged, bounds);
}
const seconds = (performance.now() - startedAt) / 1_000;
console.log(`${seconds.toFixed(0)} s in all`);
console.log(JSON.stringify({ load: lastLine }));
process.exitCode = 0;
