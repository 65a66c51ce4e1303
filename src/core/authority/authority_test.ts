import { expect } from "chai";
import {
  makeJournal,
  makePlanner,
  ORDERS,
  type TestPlanner,
} from "../../../test/support/coordination.ts";
import { FakeLog } from "../../../test/support/fake_log.ts";
import type { RecordBody } from "../../generated/log_records.ts";
import { numbered } from "../identity/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import { OrdersFold } from "./mod.ts";

function claim(holder: string, replaces: number): RecordBody {
  return { kind: "claim", holder, replaces };
}

function order(
  claimOffset: number,
  number: number,
  role: "prefill" | "decode" = "decode",
): RecordBody {
  return {
    kind: "order",
    claim: claimOffset,
    number,
    endpoint: "triage-1",
    target: { role },
  };
}

function foldOf(bodies: readonly RecordBody[]): OrdersFold {
  const fold = new OrdersFold();
  bodies.forEach((body, offset) => fold.apply(numbered(offset), body));
  return fold;
}

describe("OrdersFold", () => {
  // Two entries claim concurrently. If both held the claim, engines would get
  // contradicting orders.
  it("keeps the first of two concurrent claims", () => {
    const fold = foldOf([claim("a", -1), claim("b", -1)]);
    expect(fold.claim).to.deep.equal({ offset: 0, holder: "a" });
  });

  // A planner is paused, another takes over, and the first resumes and appends
  // a pending order. Without the check, it would move an engine that the new
  // planner has moved elsewhere.
  it("voids orders of a replaced claim", () => {
    const fold = foldOf([
      claim("a", -1),
      claim("b", 0),
      order(1, 0, "prefill"),
      order(0, 1, "decode"),
    ]);
    expect(fold.standingOrder("triage-1")?.target.role).to.equal("prefill");
    expect(fold.voidOrders).to.equal(1);
  });

  // A claim is appended late, after others have held the claim. Its writer
  // would take the claim back without knowing it.
  it("ignores a claim that replaces an old one", () => {
    const fold = foldOf([claim("a", -1), claim("b", 0), claim("late", 0)]);
    expect(fold.claim?.holder).to.equal("b");
  });

  // An order is on the log twice, the second time after its successor. The
  // engine would be moved back.
  it("ignores an order whose number is not above the last", () => {
    const fold = foldOf([
      claim("a", -1),
      order(0, 0, "prefill"),
      order(0, 1, "decode"),
      order(0, 0, "prefill"),
    ]);
    expect(fold.standingOrder("triage-1")).to.deep.equal({
      offset: 2,
      claim: 0,
      target: { role: "decode" },
    });
  });

  it("keeps pending orders across a takeover", () => {
    const fold = foldOf([claim("a", -1), order(0, 3), claim("b", 0)]);
    expect(fold.standingOrder("triage-1")?.offset).to.equal(1);
    expect(fold.lastNumber("triage-1")).to.equal(3);
  });

  it("is the same after saving and loading", () => {
    const fold = foldOf([claim("a", -1), order(0, 0), order(0, 1)]);
    const copy = new OrdersFold();
    copy.load(JSON.parse(JSON.stringify(fold.save())));
    expect(copy.save()).to.deep.equal(fold.save());
    copy.apply(numbered(3), order(0, 1, "prefill"));
    expect(copy.voidOrders).to.equal(1);
  });
});

describe("ClaimKeeper", () => {
  let timer: ManualTimerService;
  let log: FakeLog;
  let planners: TestPlanner[];
  /** Valid claims so far. */
  let takeovers: number;

  beforeEach(() => {
    timer = new ManualTimerService();
    log = new FakeLog({ timer });
    takeovers = 0;
    const observer = makeJournal(
      new OrdersFold({ onClaim: () => takeovers += 1 }),
      { log, timer, name: "watcher", stream: ORDERS },
    );
    observer.journal.start();
    planners = Array.from(
      { length: 10 },
      (_, index) => makePlanner({ log, timer, name: `entry-${index}` }),
    );
  });

  function holders(): TestPlanner[] {
    return planners.filter((planner) => planner.keeper.held !== undefined);
  }

  function claims(): number {
    return log.records(ORDERS).filter((item) =>
      JSON.stringify(item.value).includes('"kind":"claim"')
    ).length;
  }

  it("elects one holder and keeps it", async () => {
    await timer.advance(5_000);
    const [holder] = holders();
    expect(holders()).to.have.length(1);
    const before = claims();
    await timer.advance(120_000);
    expect(holders()).to.deep.equal([holder]);
    expect(claims()).to.equal(before);
  });

  // The planner's VM is killed. No roles change until another planner takes
  // over.
  it("takes over from a holder that is killed", async () => {
    await timer.advance(5_000);
    const [holder] = holders();
    holder.faults.silent = true;
    holder.journal.stop();
    await timer.advance(8_000);
    const next = holders().filter((planner) => planner !== holder);
    expect(next).to.have.length(1);
  });

  // One holder after the other is killed. If the gap of each takeover counted
  // as a gap of a running holder, every further takeover would take longer.
  it("takes over as fast after several kills", async () => {
    await timer.advance(5_000);
    for (let kill = 0; kill < 5; kill += 1) {
      const killed = holders().find((planner) => planner.journal.reachable);
      killed!.faults.silent = true;
      killed!.journal.stop();
      planners = planners.filter((planner) => planner !== killed);
      await timer.advance(7_000);
      expect(holders()).to.have.length(1);
    }
  });

  // Without a release, a planned stop would leave the region without a planner
  // for the whole claim timeout.
  it("releases the claim at once on a planned stop", async () => {
    await timer.advance(5_000);
    const [holder] = holders();
    void holder.keeper.stop();
    await timer.advance(1_000);
    expect(holders()).to.have.length(1);
    expect(holders()[0]).to.not.equal(holder);
  });

  // The log is down for minutes. No renewal can be read, and every entry would
  // treat the holder as failed and claim when the log recovers.
  it("does not claim because of an outage of the log", async () => {
    await timer.advance(5_000);
    const [holder] = holders();
    const before = claims();
    for (const { faults } of planners) faults.down = true;
    await timer.advance(180_000);
    for (const { faults } of planners) faults.down = false;
    await timer.advance(30_000);
    expect(holders()).to.deep.equal([holder]);
    expect(claims()).to.equal(before);
  });

  // The log becomes slow: every call takes 4 s, more than the claim timeout.
  // The claim would move from entry to entry, each time with a new fencing
  // token.
  it("does not move the claim while the log is slow", async () => {
    await timer.advance(5_000);
    const before = claims();
    for (const { faults } of planners) faults.addedLatencyMilliseconds = 4_000;
    await timer.advance(180_000);
    expect(claims()).to.equal(before);
  });

  // The holder is killed while every call of the log takes a second. Several
  // entries read the log concurrently, one claims, and the others must not
  // replace that new claim because of the old holder's timeout.
  it("keeps a new claim that is appended during others' reads", async () => {
    await timer.advance(5_000);
    const [holder] = holders();
    holder.faults.silent = true;
    holder.journal.stop();
    for (const planner of planners) {
      planner.faults.addedLatencyMilliseconds = 500;
    }
    await timer.advance(60_000);
    const next = holders().filter((planner) => planner !== holder);
    expect(next).to.have.length(1);
    const valid = next[0].keeper.held!.offset;
    const later = log.records(ORDERS).filter((item) =>
      JSON.stringify(item.value).includes(`"replaces":${valid}`)
    );
    expect(later).to.deep.equal([]);
    expect(takeovers).to.equal(2);
  });

  // The holder's process restarts and reads its own name on the claim. It has
  // no state of its earlier incarnation's pending work, so it must not continue
  // under the old fencing token.
  it("does not treat an earlier incarnation's claim as its own", async () => {
    await timer.advance(5_000);
    const [holder] = holders();
    holder.faults.silent = true;
    holder.journal.stop();
    const old = holder.keeper.held!.offset;
    const again = makePlanner({ log, timer, name: holder.process, run: 2 });
    await timer.advance(200);
    expect(again.keeper.held?.offset).to.not.equal(old);
    await timer.advance(5_000);
    expect(again.keeper.held?.offset ?? Infinity).to.be.above(old);
  });
});
