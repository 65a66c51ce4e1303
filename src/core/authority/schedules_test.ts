import { expect } from "chai";
import fc from "fast-check";
import {
  makePlanner,
  type TestPlanner,
} from "../../../test/support/coordination.ts";
import { FakeLog, noFaults } from "../../../test/support/fake_log.ts";
import { ManualTimerService } from "../time/mod.ts";

const PLANNERS = 4;
/**
 * Claim timeout of 3 s, up to half of it as jitter, a read and an append, with
 * margin.
 */
const TAKEOVER_MILLISECONDS = 8_000;

const step = fc.record({
  wait: fc.integer({ min: 0, max: 10_000 }),
  target: fc.nat(PLANNERS - 1),
  kind: fc.constantFrom(
    "lostAnswers",
    "lateAppends",
    "lag",
    "slow",
    "down",
    "silent",
    "everyoneDown",
    "heal",
    "restart",
    "killHolder",
    "handOver",
  ),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Planners of a region, each replaced when it stops. */
class Fleet {
  readonly timer = new ManualTimerService();
  readonly log = new FakeLog({ timer: this.timer });
  readonly planners: TestPlanner[] = [];
  #runs = 0;

  constructor() {
    for (let index = 0; index < PLANNERS; index += 1) this.start(index);
  }

  start(index: number): void {
    this.planners[index]?.journal.stop();
    this.planners[index] = makePlanner({
      log: this.log,
      timer: this.timer,
      name: `entry-${index}`,
      run: this.#runs++,
    });
  }

  holders(): number[] {
    return this.planners.flatMap(({ keeper }, index) =>
      keeper.held === undefined ? [] : [index]
    );
  }

  async applyStep({ kind, target, wait }: Step): Promise<void> {
    const { faults, keeper } = this.planners[target];
    if (kind === "lag") faults.lagRecords = 4;
    else if (kind === "slow") faults.addedLatencyMilliseconds = 2_000;
    else if (kind === "down" || kind === "silent") faults[kind] = true;
    else if (kind === "everyoneDown") {
      for (const planner of this.planners) planner.faults.down = true;
    } else if (kind === "heal") this.heal();
    else if (kind === "restart") this.start(target);
    else if (kind === "killHolder") {
      for (const index of this.holders()) this.start(index);
    } else if (kind === "handOver") {
      await Promise.race([keeper.stop(), this.timer.advance(6_000)]);
      this.start(target);
    } else {
      faults[kind] += 1;
      faults.lateMilliseconds = wait;
    }
    await this.timer.advance(wait);
  }

  heal(): void {
    for (const { faults } of this.planners) Object.assign(faults, noFaults());
  }
}

async function runSchedule(steps: readonly Step[]): Promise<void> {
  const fleet = new Fleet();
  await fleet.timer.advance(5_000);
  for (const next of steps) await fleet.applyStep(next);
  fleet.heal();
  // Hanging reads time out after 13 s, late appends complete within 10 s.
  await fleet.timer.advance(25_000 + TAKEOVER_MILLISECONDS);
  expect(fleet.holders(), "holders after healing").to.have.length(1);
  const [holder] = fleet.holders();
  await fleet.timer.advance(60_000);
  expect(fleet.holders(), "holders a minute later").to.deep.equal([holder]);
  for (const index of fleet.holders()) fleet.start(index);
  await fleet.timer.advance(TAKEOVER_MILLISECONDS);
  expect(fleet.holders(), "holders after a kill").to.have.length(1);
}

describe("Claims under any faults", () => {
  // Planners are killed, cut off, slowed down, release their claims and restart
  // in any sequence. After the faults end there must be one planner, it must
  // keep the claim, and when it is killed another must take over in time;
  // otherwise no process of the region changes roles.
  it("end with one holder that stays until it is killed", async () => {
    const found = await fc.check(
      fc.asyncProperty(fc.array(step, { maxLength: 15 }), runSchedule),
      { numRuns: 200, seed: 11 },
    );
    expect(found.counterexample, String(found.errorInstance)).to.equal(null);
  });
});
