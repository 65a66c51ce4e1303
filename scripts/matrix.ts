/**
 * Runs the fault matrix, every fault at every step, on virtual time and prints
 * the results as a table. `--cell` and `--seed` replay one case and print its
 * trace.
 */
import process from "node:process";
import { hashToUnit } from "../src/core/membership/mod.ts";
import { seededRandom } from "../src/core/random/mod.ts";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  allCells,
  cellName,
  FAULTS,
  findCell,
  type MatrixCell,
  STEPS,
} from "../test/matrix/fault_table.ts";
import { GUARD_CASES, runWithoutGuard } from "../test/matrix/guard_cases.ts";
import { type CellRun, runCell, runCells } from "../test/matrix/run_cells.ts";

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number" })
  .option("runs", { type: "number", default: 1, describe: "Runs per cell" })
  .option("cell", { type: "string", describe: "Only this cell, step/fault" })
  .option("fault", { type: "string", describe: "Only cells of this fault" })
  .option("step", { type: "string", describe: "Only cells of this step" })
  .option("pairs", { type: "number", describe: "Number of random cell pairs" })
  .option("without-guards", { type: "boolean", default: false })
  .strict()
  .parse();

const firstSeed = options.seed ?? 1;

interface CellTally {
  runs: number;
  violations: number;
  injected: number;
}

async function runAll(cells: readonly MatrixCell[]): Promise<boolean> {
  const tallies = new Map<string, CellTally>();
  for (const cell of cells) {
    const tally: CellTally = { runs: 0, violations: 0, injected: 0 };
    for (let run = 0; run < options.runs; run += 1) {
      addRun(tally, await runCell(cell, { seed: firstSeed + run }));
    }
    tallies.set(cellName(cell), tally);
  }
  printTable(tallies);
  return printTotals([...tallies.values()]);
}

function addRun(tally: CellTally, run: CellRun): void {
  tally.runs += 1;
  if (run.faultsInjected) tally.injected += 1;
  if (run.violations.length === 0) return;
  tally.violations += 1;
  const { condition, detail } = run.violations[0];
  const name = cellName(run.cell);
  console.log(`violated: ${condition}: ${detail}`);
  console.log(`  npm run matrix -- --cell "${name}" --seed ${run.seed}`);
}

/** Numbers count the runs in which the fault was injected; `!` marks violations. */
function printTable(tallies: ReadonlyMap<string, CellTally>): void {
  FAULTS.forEach((fault, index) => console.log(`${index + 1}: ${fault}`));
  const header = FAULTS.map((_, index) => String(index + 1).padStart(4)).join(
    "",
  );
  console.log("step".padEnd(20) + header);
  for (const step of STEPS) {
    const row = FAULTS.map((fault) => {
      const tally = tallies.get(cellName({ step, fault }));
      if (tally === undefined) return "   .";
      const mark = tally.violations > 0 ? "!" : "";
      return `${mark}${tally.injected}`.padStart(4);
    });
    console.log(step.name.padEnd(20) + row.join(""));
  }
}

function printTotals(tallies: readonly CellTally[]): boolean {
  const sum = (value: (tally: CellTally) => number) =>
    tallies.reduce((total, tally) => total + value(tally), 0);
  const violations = sum((tally) => tally.violations);
  const matrix = {
    cells: tallies.length,
    runs: sum((tally) => tally.runs),
    violations,
    unreached: tallies.filter((tally) => tally.injected === 0).length,
  };
  console.log(JSON.stringify({ matrix }));
  return violations === 0;
}

async function replay(name: string): Promise<boolean> {
  const cell = findCell(name);
  if (cell === undefined) {
    console.error(`Cannot find cell "${name}"`);
    return false;
  }
  const run = await runCell(cell, { seed: firstSeed });
  console.log(run.trace);
  for (const violation of run.violations) console.log(violation);
  const matrix = {
    cells: 1,
    runs: 1,
    violations: run.violations.length === 0 ? 0 : 1,
    unreached: run.faultsInjected ? 0 : 1,
  };
  console.log(JSON.stringify({ matrix }));
  return run.violations.length === 0;
}

/** Runs pairs of cells, drawn from the seed, with both faults in one run. */
async function runPairs(count: number): Promise<boolean> {
  const random = seededRandom(hashToUnit(`pairs ${firstSeed}`) * 2 ** 32);
  const cells = allCells();
  const drawCell = () => cells[Math.floor(random() * cells.length)];
  const pairs = { runs: 0, violations: 0, bothTookHold: 0 };
  for (let number = 0; number < count; number += 1) {
    const pair = [drawCell(), drawCell()];
    const seed = firstSeed + number;
    const run = await runCells(pair, { seed });
    pairs.runs += 1;
    if (run.faultsInjected) pairs.bothTookHold += 1;
    if (run.violations.length === 0) continue;
    pairs.violations += 1;
    const { condition, detail } = run.violations[0];
    const names = pair.map(cellName).join(" + ");
    console.log(`violated: ${condition}: ${detail}: ${names}, seed ${seed}`);
  }
  console.log(JSON.stringify({ pairs }));
  return pairs.violations === 0;
}

/** Disables one guard at a time; each run must then find a violation. */
async function runWithoutGuards(): Promise<boolean> {
  let caught = 0;
  for (const guard of GUARD_CASES) {
    const { name, seed, violation, violationsWithGuard } =
      await runWithoutGuard(guard, options);
    if (violation !== undefined && violationsWithGuard === 0) caught += 1;
    const found = violation === undefined
      ? "NOT CAUGHT"
      : `seed ${seed}: ${violation.condition}: ${violation.detail}`;
    console.log(
      `without ${name}: ${found}; with it: ${violationsWithGuard} violations`,
    );
  }
  const total = GUARD_CASES.length;
  console.log(JSON.stringify({ guards: { total, caught } }));
  return caught === total;
}

function run(): Promise<boolean> {
  if (options.withoutGuards) return runWithoutGuards();
  if (options.pairs !== undefined) return runPairs(options.pairs);
  if (options.cell !== undefined) return replay(options.cell);
  const { step, fault } = options;
  return runAll(
    allCells()
      .filter((cell) => step === undefined || cell.step.name === step)
      .filter((cell) => fault === undefined || cell.fault === fault),
  );
}

const passed = await run();
process.exitCode = passed ? 0 : 1;
