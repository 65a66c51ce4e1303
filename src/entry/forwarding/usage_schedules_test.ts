import { expect } from "chai";
import fc from "fast-check";
import process from "node:process";
import {
  LEASE_MILLISECONDS,
  UsageFleet,
} from "../../../test/support/usage_fleet.ts";
import type { ReportOutcome } from "./usage_reporter.ts";

const ENTRIES = 4;
const STEP_MILLISECONDS = { min: 100, max: 3_000 };
const RECOVERY_MILLISECONDS = 12_000;
const RUNS = Number(process.env.SCHEDULE_RUNS ?? 40);
const SEED = Number(process.env.SCHEDULE_SEED ?? 37);

/** A fault or recovery at one step of a schedule. */
type Fault =
  | {
    readonly kind:
      | "kill"
      | "restart"
      | "cut"
      | "heal"
      | "freeze"
      | "thaw";
    readonly entry: number;
  }
  | { readonly kind: "store"; readonly milliseconds: number }
  | { readonly kind: "late"; readonly milliseconds: number }
  | { readonly kind: "restored"; readonly lost: number }
  | { readonly kind: "loses"; readonly answers: boolean }
  | { readonly kind: "fails"; readonly outcome: ReportOutcome | undefined };

interface Step {
  readonly milliseconds: number;
  readonly fault: Fault;
}

const entry = fc.nat(ENTRIES - 1);
const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constantFrom(
      "kill",
      "restart",
      "cut",
      "heal",
      "freeze",
      "thaw",
    ),
    entry,
  }),
  fc.record({
    kind: fc.constant("store"),
    milliseconds: fc.constantFrom(0, 200, 900, 1_600, 2_500),
  }),
  fc.record({
    kind: fc.constant("late"),
    milliseconds: fc.constantFrom(0, 2_000, 6_000),
  }),
  fc.record({ kind: fc.constant("restored"), lost: fc.nat(3) }),
  fc.record({ kind: fc.constant("loses"), answers: fc.boolean() }),
  fc.record({
    kind: fc.constant("fails"),
    outcome: fc.constantFrom<ReportOutcome | undefined>(
      undefined,
      "unknown",
      "limited",
    ),
  }),
) as fc.Arbitrary<Fault>;
const schedule: fc.Arbitrary<Step[]> = fc.array(
  fc.record({ milliseconds: fc.integer(STEP_MILLISECONDS), fault }),
  { maxLength: 24 },
);

function apply(fleet: UsageFleet, fault: Fault): void {
  const { members, platform } = fleet;
  switch (fault.kind) {
    case "kill":
      return fleet.kill(fault.entry);
    case "restart":
      if (!members[fault.entry].isAlive) fleet.restart(fault.entry);
      return;
    case "cut":
    case "heal":
      members[fault.entry].isPartitioned = fault.kind === "cut";
      return;
    case "freeze":
    case "thaw":
      members[fault.entry].isSuspended = fault.kind === "freeze";
      return;
    case "store":
      platform.storeLatencyMilliseconds = fault.milliseconds;
      return;
    case "late":
      // Calls may be applied late only where fencing tokens are checked.
      if (!platform.ignoresFencing) {
        platform.lateMilliseconds = fault.milliseconds;
      }
      return;
    case "restored":
      return platform.restore({ lost: fault.lost });
    case "loses":
      platform.losesResponses = fault.answers;
      return;
    case "fails":
      platform.failsWith = fault.outcome;
  }
}

async function runSchedule(
  fleet: UsageFleet,
  steps: readonly Step[],
): Promise<void> {
  for (const { fault, milliseconds } of steps) {
    apply(fleet, fault);
    await fleet.serve(milliseconds);
  }
  await fleet.serve(RECOVERY_MILLISECONDS);
}

describe("usage reports over any schedule of faults", function () {
  this.timeout(600_000);

  for (const checksNoFencing of [false, true]) {
    const kind = checksNoFencing ? "checks no tokens" : "checks tokens";
    it(`violate no rule at a receiver that ${kind}`, async () => {
      await fc.assert(
        fc.asyncProperty(schedule, async (steps) => {
          const fleet = new UsageFleet({ entries: ENTRIES, lossRate: 0.1 });
          fleet.platform.ignoresFencing = checksNoFencing;
          await runSchedule(fleet, steps);
          expect(fleet.platform.violations(LEASE_MILLISECONDS))
            .to.deep.equal([]);
        }),
        { numRuns: RUNS, seed: SEED },
      );
    });
  }
});
