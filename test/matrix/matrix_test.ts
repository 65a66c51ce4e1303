import { expect } from "chai";
import fc from "fast-check";
import { GUARD_CASES, runWithoutGuard } from "./guard_cases.ts";
import { runCell, runCells } from "./run_cells.ts";
import {
  allCells,
  cellName,
  findCell,
  type MatrixCell,
} from "./fault_table.ts";

/**
 * Cells that run on every change: each step and each fault at least once. The
 * whole table takes a minute and runs with `npm run matrix`.
 */
const SMOKE_CELLS = [
  "append publication/lost_answer",
  "append claim/duplicate",
  "append verdict/kill_sender",
  "append renewal/cut_both",
  "append order/pause_sender",
  "append order/operator_race",
  "append once/lost_answer",
  "append once/log_outage",
  "append checkpoint/late",
  "attempt generation/cut_one_way",
  "attempt keyed/restart_receiver",
  "attempt keyed/late",
  "attempt unkeyed/duplicate",
  "attempt unkeyed/kill_receiver_after",
  "attempt repeatable/stop_receiver",
  "generate/endpoint_crash",
  "call/pause_sender",
  "frame token/cut_answers",
  "frame token/kill_sender",
  "frame end/lost",
  "frame response/restart_sender",
  "ask/pause_receiver",
  "ask answer/lost",
  "order/log_slow",
  "order answer/kill_receiver",
  "watch/stop_sender",
  "watch answer/late",
  "report/kill_receiver",
  "status/stop_sender",
];

const SEED = 1;
const PAIR_COUNT = 10;

describe("fault matrix", () => {
  describe("smoke cells", () => {
    for (const name of SMOKE_CELLS) {
      it(`finds no violation for ${name}`, async () => {
        // Injects the fault at the step named before the slash while callers
        // send work and operators change the fleet. None of the nine
        // conditions may be violated, and the fault must be injected.
        const run = await runCell(findCell(name) as MatrixCell, { seed: SEED });
        expect(run.violations).to.deep.equal([]);
        expect(run.faultsInjected).to.equal(true);
      });
    }
  });

  it("produces the same trace for the same seed", async () => {
    const cell = findCell("attempt keyed/late") as MatrixCell;
    const first = await runCell(cell, { seed: 5 });
    const second = await runCell(cell, { seed: 5 });
    const other = await runCell(cell, { seed: 6 });
    expect(second.trace).to.equal(first.trace);
    expect(other.trace).not.to.equal(first.trace);
  });

  it("finds no violation for pairs of faults", async () => {
    // Injects two faults in one run. Recovery that works for each fault alone
    // may fail when the second fault interrupts it.
    const cell = fc.constantFrom(...allCells());
    const runs = fc.asyncProperty(
      cell,
      cell,
      fc.nat(1_000),
      async (one, other, seed) => {
        const run = await runCells([one, other], { seed });
        const names = `${cellName(one)} + ${cellName(other)}, seed ${seed}`;
        expect(run.violations, names).to.deep.equal([]);
      },
    );
    await fc.assert(runs, { numRuns: PAIR_COUNT, seed: 42 });
  });

  describe("without a guard", () => {
    for (const guard of GUARD_CASES) {
      it(`finds a violation without ${guard.name}`, async () => {
        // A matrix that misses the violation that a guard prevents would also
        // pass without the guard.
        const result = await runWithoutGuard(guard);
        expect(result.violation).not.to.equal(undefined);
        expect(result.violationsWithGuard).to.equal(0);
      });
    }
  });
});
