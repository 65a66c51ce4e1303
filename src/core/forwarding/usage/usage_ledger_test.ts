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
  it("counts requests in the window in which they began", () => {
    const ledger = makeLedger();
    ledger.began(ONE, 9_999);
    ledger.began(ONE, 10_000);
    ledger.began(TWO, 10_001);
    expect([...ledger.totals(windowAt(1))]).to.deep.equal([[ONE, 1]]);
    expect([...ledger.totals(windowAt(2))]).to.deep.equal([[ONE, 1], [TWO, 1]]);
  });

  it("adds each peer's run once, however its counts arrive", () => {
    const ledger = makeLedger();
    ledger.began(ONE, 1);
    const told = (count: number) => ({
      since: 0,
      until: count,
      usage: [[0, [["one", count]]]] as const,
    });
    for (const count of [4, 2, 4, 7, 5]) ledger.peerCounted("b#1", told(count));
    ledger.peerCounted("b#2", told(3));
    expect(ledger.totals(windowAt(0)).get(ONE)).to.equal(1 + 7 + 3);
  });

  it("tells what has changed, and on request everything", () => {
    const ledger = makeLedger();
    ledger.began(ONE, 1);
    expect(ledger.takeOwn({ all: false })).to.deep.equal([[0, [["one", 1]]]]);
    expect(ledger.takeOwn({ all: false })).to.deep.equal([]);
    ledger.began(TWO, 5_001);
    expect(ledger.takeOwn({ all: true })).to.deep.equal([
      [0, [["one", 1]]],
      [1, [["two", 1]]],
    ]);
  });

  it("covers no window in which every known run started later", () => {
    const ledger = makeLedger(12_000);
    expect(ledger.covers(windowAt(2))).to.equal(false);
    expect(ledger.covers(windowAt(3))).to.equal(true);
    ledger.peerCounted("b#1", { since: 9_000, until: 12_000, usage: [] });
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
    ledger.began(ONE, 15_001);
    expect(next(ledger, [3])).to.deep.equal([fixed[1]]);
  });

  it("adds windows behind the newest fixed one only", () => {
    const ledger = makeLedger();
    ledger.began(TWO, 20_001);
    const added = {
      window: windowAt(4),
      counts: new Map([[TWO, 1]]),
      accepted: false,
    };
    expect(next(ledger, [2, 3, 4])).to.deep.equal([fixed[1], added]);
  });

  it("adds no window in which all counts began too late", () => {
    expect(next(makeLedger(21_000), [4])).to.deep.equal([fixed[1]]);
  });
});
