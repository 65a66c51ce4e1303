import { hashToUnit } from "../../src/core/membership/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import type { Violation } from "../history/mod.ts";
import { FaultInjector } from "./fault_injector.ts";
import type { FakeRegionOptions } from "./fake_region.ts";
import { runScenario } from "./scenario.ts";
import { cellName, type MatrixCell } from "./fault_table.ts";

/** Result of one run. */
export interface CellRun {
  readonly cell: MatrixCell;
  readonly seed: number;
  /** Whether every fault of the run was injected. */
  readonly faultsInjected: boolean;
  readonly violations: readonly Violation[];
  /** The run's events as JSON lines; equal runs have equal traces. */
  readonly trace: string;
}

/** Runs one cell once; the run is deterministic for a seed. */
export function runCell(
  cell: MatrixCell,
  options: {
    readonly seed: number;
    readonly region?: Partial<FakeRegionOptions>;
  },
): Promise<CellRun> {
  return runCells([cell], options);
}

/** Runs once with the faults of several cells, which may overlap. */
export async function runCells(
  cells: readonly MatrixCell[],
  options: {
    readonly seed: number;
    readonly region?: Partial<FakeRegionOptions>;
  },
): Promise<CellRun> {
  const { seed } = options;
  const names = cells.map(cellName).join(" + ");
  const random = seededRandom(hashToUnit(`${seed} ${names}`) * 2 ** 32);
  const injectors = cells.map((cell) => new FaultInjector(cell, { random }));
  const result = await runScenario({
    ...options.region,
    seed,
    intercept: (message, region) =>
      Object.assign(
        {},
        ...injectors.map((injector) => injector.intercept(message, region)),
      ),
  });
  return {
    cell: cells[0],
    seed,
    faultsInjected: injectors.every((injector) => injector.isInjected),
    violations: result.violations,
    trace: result.history.map((event) => JSON.stringify(event)).join("\n"),
  };
}
