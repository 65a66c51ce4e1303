/**
 * Parameter sweeps for the constants of scheduling and role planning. Prints
 * one Markdown table per constant: `npm run bench:sweeps [-- --only NAME]`.
 */
import { parseArgs } from "node:util";
import { DEPLOYMENTS } from "./load_deployments.ts";
import { RunStats } from "./load_stats.ts";
import { type CellChanges, type LoadCell, runLoadCells } from "./load_cells.ts";

interface Sweep {
  readonly name: string;
  readonly variant?: string;
  readonly settings:
    readonly (readonly [label: string, changes: CellChanges])[];
}

const LOADS = [1, 2];
const SEEDS = [1, 2];
/** The mix reverses every 15 minutes instead of every 100 seconds. */
const SLOW_SWING: CellChanges = { periodSeconds: 1_800, seconds: 1_200 };

function schedulingSweep(
  name: keyof NonNullable<CellChanges["scheduling"]>,
  values: readonly (number | boolean)[],
): Sweep {
  return {
    name,
    settings: values.map((value) =>
      [String(value), { scheduling: { [name]: value } }] as const
    ),
  };
}

function plannerSweep(
  name: keyof NonNullable<CellChanges["planner"]>,
  values: readonly number[],
): Sweep {
  return {
    name,
    settings: values.map((value) =>
      [String(value), { planner: { [name]: value } }] as const
    ),
  };
}

const SWEEPS: readonly Sweep[] = [
  schedulingSweep("choices", [2, 8, 24]),
  {
    name: "choices, reports 5 s old",
    settings: [2, 8, 24].map((value) =>
      [
        String(value),
        { scheduling: { choices: value }, reportLagMilliseconds: 5_000 },
      ] as const
    ),
  },
  schedulingSweep("engineCostWeight", [0, 2, 6]),
  schedulingSweep("dividesByRole", [false, true]),
  schedulingSweep("learnsDrain", [false, true]),
  schedulingSweep("thinsClasses", [false, true]),
  schedulingSweep("thinningWaitShare", [0, 0.1, 0.5]),
  schedulingSweep("mostPrefillWaitMilliseconds", [500, 1_500, 3_000, 10_000]),
  schedulingSweep("extraPlaces", [0, 1, 2]),
  schedulingSweep("lessUrgentShare", [0.7, 0.85, 1]),
  schedulingSweep("reportHalfLifeMilliseconds", [300, 1_000, 4_000]),
  schedulingSweep("otherDeviations", [0, 1, 2]),
  {
    name: "sideWaiting",
    settings: [2, 8, 16].map((value) =>
      [String(value), { sideWaiting: value }] as const
    ),
  },
  {
    name: "toleratedSlowdown",
    settings: [1.5, 2.5, 4].map((value) =>
      [String(value), { toleratedSlowdown: value }] as const
    ),
  },
  plannerSweep("noiseDeviations", [0, 0.3, 1]),
  {
    name: "roleChangeWeight",
    settings: [0, 0.5, 4].map((value) =>
      [String(value), { roleChangeWeight: value }] as const
    ),
  },
  ...["static", "threshold", "present", "forecast"].map((variant) => ({
    name: `slow swing, ${variant} roles`,
    variant,
    settings: [["turn every 900 s", SLOW_SWING] as const],
  })),
];

async function printSweep(sweep: Sweep): Promise<void> {
  const cells: LoadCell[] = sweep.settings.flatMap(([, changes]) =>
    DEPLOYMENTS.flatMap(({ name }) =>
      LOADS.map((load) => ({
        deployment: name,
        load,
        variant: sweep.variant ?? "present",
        seeds: SEEDS,
        changes,
      }))
    )
  );
  const results = await runLoadCells(cells);
  const columnHeaders = DEPLOYMENTS.flatMap(({ name }) =>
    LOADS.map((load) => `${name} ${load}`)
  );
  console.log(`\n| ${[sweep.name, ...columnHeaders].join(" | ")} |`);
  console.log(`| ${["---", ...columnHeaders.map(() => "---")].join(" | ")} |`);
  for (const [label, changes] of sweep.settings) {
    const columns = DEPLOYMENTS.flatMap((deployment) =>
      LOADS.map((load) => {
        const result = results.find(({ cell }) =>
          cell.deployment === deployment.name && cell.load === load &&
          JSON.stringify(cell.changes) === JSON.stringify(changes)
        );
        const stats = new RunStats();
        if (result !== undefined) stats.addSerialized(result.stats);
        const urgent = deployment.shapes[0].workClass.name;
        return [
          stats.total().goodput.toFixed(4),
          stats.forClass(urgent).goodput.toFixed(4),
          (stats.roleChanges / Math.max(1, stats.runs)).toFixed(1),
        ].join(" / ");
      })
    );
    console.log(`| ${[label, ...columns].join(" | ")} |`);
  }
}

const { values } = parseArgs({ options: { only: { type: "string" } } });
console.log("Goodput / goodput of the most urgent class / role changes a run.");
for (const sweep of SWEEPS) {
  if (values.only !== undefined && !sweep.name.includes(values.only)) continue;
  await printSweep(sweep);
}
