import { hashToUnit } from "../../src/core/membership/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import type { Violation } from "../history/mod.ts";
import { Injector } from "./injector.ts";
import type { RegionOptions } from "./region.ts";
import { runScenario } from "./scenario.ts";
import { type Cell, cellName } from "./table.ts";

export interface CellRun {
  readonly cell: Cell;
  readonly seed: number;
  readonly reached: boolean;
  readonly violations: readonly Violation[];
  /** The run's events, one JSON text a line; equal texts mean equal runs. */
  readonly trace: string;
}

/** Runs one cell once; everything in it follows from the seed. */
export function runCell(
  cell: Cell,
  options: {
    readonly seed: number;
    readonly region?: Partial<RegionOptions>;
  },
): Promise<CellRun> {
  return runCells([cell], options);
}

/** Runs with the faults of several cells, which may meet. */
export async function runCells(
  cells: readonly Cell[],
  options: {
    readonly seed: number;
    readonly region?: Partial<RegionOptions>;
  },
): Promise<CellRun> {
  const { seed } = options;
  const names = cells.map(cellName).join(" + ");
  const random = seededRandom(hashToUnit(`${seed} ${names}`) * 2 ** 32);
  const injectors = cells.map((cell) => new Injector(cell, { random }));
  const result = await runScenario({
    ...options.region,
    seed,
    inspect: (parcel, region) =>
      Object.assign(
        {},
        ...injectors.map((injector) => injector.inspect(parcel, region)),
      ),
  });
  return {
    cell: cells[0],
    seed,
    reached: injectors.every((injector) => injector.tookHold),
    violations: result.violations,
    trace: result.history.map((event) => JSON.stringify(event)).join("\n"),
  };
}
