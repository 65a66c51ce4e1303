import { expect } from "chai";
import { numbered } from "../../core/identity/mod.ts";
import {
  LEASE_MILLISECONDS,
  UsageFleet,
  WINDOW_MILLISECONDS,
} from "../../../test/support/usage_fleet.ts";

function expectConsistent(fleet: UsageFleet, { within = 0 } = {}): void {
  expect(fleet.platform.violations(LEASE_MILLISECONDS)).to.deep.equal([]);
  expect(fleet.missing()).to.deep.equal([]);
  expect(fleet.worstError()).to.be.at.most(within);
  expect(fleet.platform.reported.size).to.be.greaterThan(0);
}

describe("UsageReporter", () => {
  it("reports every window once, by one holder, soon after its end", async () => {
    const fleet = new UsageFleet({ entries: 4 });
    await fleet.serve(32_000);
    expectConsistent(fleet);
    expect(fleet.platform.taken).to.have.length(
      fleet.platform.reported.size,
    );
    for (const { at, window } of fleet.platform.taken) {
      const wallClock = fleet.timer.wallClock() - fleet.timer.now() + at;
      expect(wallClock - (window + 1) * WINDOW_MILLISECONDS)
        .to.be.within(1_000, 3_000);
    }
  });

  for (const entries of [22, 68]) {
    it(`loses no counts at ${entries} entries with a tenth of the datagrams lost`, async () => {
      const fleet = new UsageFleet({ entries, lossRate: 0.1 });
      await fleet.serve(30_000);
      expectConsistent(fleet);
    });
  }

  // Killed at these points of a window, the holder has not claimed yet, has
  // fixed the counts, or has reported.
  for (const moment of [900, 1_300, 2_000, 2_250, 2_500, 3_000, 4_500]) {
    it(`survives a kill of the holder ${moment} ms after a window's end`, async () => {
      const fleet = new UsageFleet({ entries: 4 });
      const untilNextWindow = WINDOW_MILLISECONDS -
        fleet.timer.wallClock() % WINDOW_MILLISECONDS;
      await fleet.serve(untilNextWindow + 10_000 + moment);
      fleet.kill(0);
      await fleet.serve(3_000);
      fleet.restart(0);
      await fleet.serve(25_000);
      expectConsistent(fleet, { within: 0.05 });
    });
  }

  it("continues at another entry while the holder is partitioned", async () => {
    const fleet = new UsageFleet({ entries: 4 });
    await fleet.serve(11_000);
    fleet.members[0].isPartitioned = true;
    await fleet.serve(20_000);
    fleet.members[0].isPartitioned = false;
    await fleet.serve(20_000);
    expectConsistent(fleet);
  });

  // A claim on a window far ahead would count as the newest one.
  for (const accepted of [true, false]) {
    for (const window of [1e9, Number.MAX_SAFE_INTEGER, 1e308]) {
      it(`reports behind a foreign claim on window ${window}, accepted: ${accepted}`, async () => {
        const fleet = new UsageFleet({ entries: 4 });
        await fleet.serve(12_000);
        fleet.platform.claims.push({
          holder: "other",
          offset: fleet.platform.claims.length,
          reports: [{ window: numbered(window), counts: new Map(), accepted }],
        });
        await fleet.serve(40_000);
        expectConsistent(fleet);
        expect([...fleet.platform.reported.keys()]).not.to.include(window);
      });
    }
  }

  // A window is reported once it has ended, never before.
  it("reports behind a peer's news that a window far ahead was accepted", async () => {
    const fleet = new UsageFleet({ entries: 4 });
    await fleet.serve(12_000);
    const claim = { holder: "entry-3", offset: 0 };
    for (const { reporter } of fleet.members) {
      reporter.onReports({ claim, acceptedThrough: Number.MAX_SAFE_INTEGER });
    }
    await fleet.serve(40_000);
    expectConsistent(fleet);
  });

  // Behind a token that no record has, every claim would count as older.
  it("reports behind a peer's news of a claim far ahead of the log", async () => {
    const fleet = new UsageFleet({ entries: 4 });
    await fleet.serve(12_000);
    const claim = { holder: "entry-3#1", offset: Number.MAX_SAFE_INTEGER };
    for (const { reporter } of fleet.members) reporter.onReports({ claim });
    await fleet.serve(40_000);
    expectConsistent(fleet);
  });

  // Behind a restored store, two claims may fix other counts of a window; those
  // of the newer one may be reported already when news of the older one arrives.
  it("reports what the newest claim has fixed, whatever arrives late", async () => {
    const fleet = new UsageFleet({ entries: 4 });
    await fleet.serve(12_000);
    const window = Math.floor(fleet.timer.wallClock() / WINDOW_MILLISECONDS);
    const claim = fleet.platform.claims.at(-1);
    if (claim === undefined) throw new Error("There is no claim yet");
    for (const { reporter } of fleet.members) {
      for (const [age, count] of [[0, 700], [1, 600]]) {
        reporter.onReports({
          claim: { holder: claim.holder, offset: claim.offset - age },
          fixed: [[window, [["large", count]]]],
        });
      }
    }
    await fleet.serve(12_000);
    expect(fleet.platform.reported.get(window)).to.deep.equal({ large: 700 });
  });

  for (const outcome of ["unknown", "limited"] as const) {
    it(`reports the oldest window first once ${outcome} calls succeed again`, async () => {
      const fleet = new UsageFleet({ entries: 4 });
      await fleet.serve(11_000);
      fleet.platform.failsWith = outcome;
      await fleet.serve(6_000);
      fleet.platform.failsWith = undefined;
      await fleet.serve(20_000);
      expectConsistent(fleet);
      const windows = fleet.platform.taken.map(({ window }) => window);
      expect(windows).to.deep.equal(windows.toSorted());
    });
  }

  it("repeats a report with identical counts if its response is lost", async () => {
    const fleet = new UsageFleet({ entries: 4, lossRate: 0.1 });
    fleet.platform.losesResponses = true;
    await fleet.serve(13_000);
    fleet.platform.losesResponses = false;
    await fleet.serve(15_000);
    expectConsistent(fleet);
    expect(fleet.platform.taken.length).to.be.greaterThan(
      fleet.platform.reported.size,
    );
  });

  it("reports no window that the entries have not counted completely", async () => {
    const fleet = new UsageFleet({ entries: 3 });
    await fleet.serve(13_000);
    for (const index of [0, 1, 2]) fleet.kill(index);
    await fleet.serve(1_000);
    for (const index of [0, 1, 2]) fleet.restart(index);
    await fleet.serve(30_000);
    expect(fleet.platform.violations(LEASE_MILLISECONDS)).to.deep.equal([]);
    expect(fleet.worstError()).to.equal(0);
    expect(fleet.missing().length).to.be.within(1, 2);
  });
});
