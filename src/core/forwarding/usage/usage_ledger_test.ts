import { expect } from "chai";
import {
  identifier,
  numbered,
  type UsageWindow,
  type WorkspaceId,
} from "../../identity/mod.ts";
import { nextReports, UsageLedger, type UsageReport } from "../mod.ts";

const ONE = identifier<WorkspaceId>("one");
const TWO = identifier<WorkspaceId>("two");

function windowAt(number: number): UsageWindow {
  return numbered(number);
}

function makeLedger(since = 0): UsageLedger {
  return new UsageLedger({ self: "a#1", windowMilliseconds: 5_000, since });
}

describe("UsageLedger", () => {
  it("counts requests in the window in which they started", () => {
    const ledger = makeLedger();
    ledger.recordStart(ONE, 9_999);
    ledger.recordStart(ONE, 10_000);
    ledger.recordStart(TWO, 10_001);
    expect([...ledger.totals(windowAt(1))]).to.deep.equal([[ONE, 1]]);
    expect([...ledger.totals(windowAt(2))]).to.deep.equal([[ONE, 1], [TWO, 1]]);
  });

  it("adds each peer's run once, in whatever order its counts arrive", () => {
    const ledger = makeLedger();
    ledger.recordStart(ONE, 1);
    const sent = (count: number) => ({
      since: 0,
      until: count,
      usage: [[0, [["one", count]]]] as const,
    });
    for (const count of [4, 2, 4, 7, 5]) {
      ledger.mergePeerCounts("b#1", sent(count));
    }
    ledger.mergePeerCounts("b#2", sent(3));
    expect(ledger.totals(windowAt(0)).get(ONE)).to.equal(1 + 7 + 3);
  });

  it("returns the changed counts, or all counts on request", () => {
    const ledger = makeLedger();
    ledger.recordStart(ONE, 1);
    expect(ledger.takeOwnCounts({ all: false })).to.deep.equal([[0, [[
      "one",
      1,
    ]]]]);
    expect(ledger.takeOwnCounts({ all: false })).to.deep.equal([]);
    ledger.recordStart(TWO, 5_001);
    expect(ledger.takeOwnCounts({ all: true })).to.deep.equal([
      [0, [["one", 1]]],
      [1, [["two", 1]]],
    ]);
  });

  it("does not cover windows that started before all known runs", () => {
    const ledger = makeLedger(12_000);
    expect(ledger.covers(windowAt(2))).to.equal(false);
    expect(ledger.covers(windowAt(3))).to.equal(true);
    ledger.mergePeerCounts("b#1", { since: 9_000, until: 12_000, usage: [] });
    expect(ledger.covers(windowAt(2))).to.equal(true);
  });
});

describe("nextReports", () => {
  const counts = new Map([[ONE, 5]]);
  const fixed: UsageReport[] = [
    { window: windowAt(1), counts, accepted: true },
    { window: windowAt(3), counts, accepted: false },
  ];

  function next(ledger: UsageLedger, due: readonly number[]): UsageReport[] {
    return nextReports({
      ledger,
      fixed,
      due: due.map(windowAt),
      oldest: windowAt(2),
      isAccepted: () => false,
    });
  }

  it("keeps the counts of a window that an earlier holder has fixed", () => {
    const ledger = makeLedger();
    ledger.recordStart(ONE, 15_001);
    expect(next(ledger, [3])).to.deep.equal([fixed[1]]);
  });

  it("adds only windows after the newest fixed one", () => {
    const ledger = makeLedger();
    ledger.recordStart(TWO, 20_001);
    const added = {
      window: windowAt(4),
      counts: new Map([[TWO, 1]]),
      accepted: false,
    };
    expect(next(ledger, [2, 3, 4])).to.deep.equal([fixed[1], added]);
  });

  it("does not add a window that no run has counted completely", () => {
    expect(next(makeLedger(21_000), [4])).to.deep.equal([fixed[1]]);
  });
});
