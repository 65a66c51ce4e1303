/**
 * Planner failover time after its process is killed, and the number of claims
 * while the log is slow or down, on virtual time: `npx tsx bench/claims.ts`.
 */
import { ManualTimerService } from "../src/core/time/mod.ts";
import {
  CLAIM_SILENCE_MILLISECONDS,
  makeJournal,
  makePlanner,
  ORDERS,
  type TestPlanner,
} from "../test/support/coordination.ts";
import { FakeLog } from "../test/support/fake_log.ts";
import { OrdersFold } from "../src/core/authority/mod.ts";

const ENTRIES = 37;
const KILL_COUNT = 30;
const LOG_LATENCY_MILLISECONDS = 20;
const SETTLE_MILLISECONDS = 20_000;
const STEP_MILLISECONDS = 10;
const FAULT_MILLISECONDS = 600_000;

/** The planners of a region, with an observer that counts valid claims. */
class Region {
  readonly timer = new ManualTimerService();
  readonly log = new FakeLog({
    timer: this.timer,
    latencyMilliseconds: LOG_LATENCY_MILLISECONDS,
  });
  claims = 0;
  planners: TestPlanner[];

  constructor() {
    const { log, timer } = this;
    const fold = new OrdersFold({ onClaim: () => this.claims += 1 });
    const watcher = makeJournal(fold, {
      log,
      timer,
      name: "watcher",
      stream: ORDERS,
    });
    watcher.journal.start();
    this.planners = Array.from(
      { length: ENTRIES },
      (_, index) => makePlanner({ log, timer, name: `entry-${index}` }),
    );
  }

  holder(): TestPlanner | undefined {
    return this.planners.find((planner) => planner.keeper.held !== undefined);
  }

  /** Stops the holder as SIGKILL does and starts a replacement entry. */
  replaceHolder(round: number): void {
    const killed = this.holder();
    if (killed === undefined) throw new Error("No planner holds the claim");
    killed.faults.silent = true;
    killed.journal.stop();
    this.planners = this.planners.filter((planner) => planner !== killed);
    const { log, timer } = this;
    this.planners.push(makePlanner({ log, timer, name: `fresh-${round}` }));
  }
}

async function measureFailoverTimes(): Promise<number[]> {
  const region = new Region();
  await region.timer.advance(SETTLE_MILLISECONDS);
  const times: number[] = [];
  for (let round = 0; round < KILL_COUNT; round += 1) {
    region.replaceHolder(round);
    const killedAt = region.timer.now();
    while (region.holder() === undefined) {
      await region.timer.advance(STEP_MILLISECONDS);
    }
    times.push(region.timer.now() - killedAt);
    await region.timer.advance(SETTLE_MILLISECONDS * (1 + round / KILL_COUNT));
  }
  return times.sort((a, b) => a - b);
}

/** Counts valid claims while a delay is added to every call of the log. */
async function countClaimsWhileSlow(
  addedLatencyMilliseconds: number,
): Promise<number> {
  const region = new Region();
  await region.timer.advance(SETTLE_MILLISECONDS);
  const before = region.claims;
  for (const { faults } of region.planners) {
    faults.addedLatencyMilliseconds = addedLatencyMilliseconds;
  }
  await region.timer.advance(FAULT_MILLISECONDS);
  return region.claims - before;
}

async function countClaimsAfterOutage(): Promise<number> {
  const region = new Region();
  await region.timer.advance(SETTLE_MILLISECONDS);
  const before = region.claims;
  for (const { faults } of region.planners) faults.down = true;
  await region.timer.advance(FAULT_MILLISECONDS);
  for (const { faults } of region.planners) faults.down = false;
  await region.timer.advance(SETTLE_MILLISECONDS * 3);
  return region.claims - before;
}

const times = await measureFailoverTimes();
const withoutPlanner = {
  kills: times.length,
  medianMilliseconds: times[Math.floor(times.length / 2)],
  worstMilliseconds: times[times.length - 1],
};
console.log(
  `${ENTRIES} entries, silence ${CLAIM_SILENCE_MILLISECONDS} ms`,
  withoutPlanner,
);
const slow: Record<string, number> = {};
for (const milliseconds of [200, 500, 1_000, 2_000, 4_000, 8_000]) {
  slow[milliseconds] = await countClaimsWhileSlow(milliseconds);
}
console.log("valid claims in 10 minutes by added delay, ms", slow);
const outage = await countClaimsAfterOutage();
console.log("valid claims after an outage of 10 minutes", outage);
console.log(
  JSON.stringify({ claims: { withoutPlanner, slow, afterOutage: outage } }),
);
