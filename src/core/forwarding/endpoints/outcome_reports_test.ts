import { expect } from "chai";
import { PORTAL } from "../../../../test/support/forwarding_fixtures.ts";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  type AttemptResult,
  decodeOutcomes,
  encodeOutcomes,
  isOutcomeRows,
  isVerdictRows,
  kindOfRequest,
  OutcomeReports,
} from "../mod.ts";

describe("OutcomeReports", () => {
  const [a, b, c, d] = ["a", "b", "c", "d"].map(identifier<EndpointId>);
  const kind = 7;
  let timer: ManualTimerService;
  let takenOut: Set<EndpointId>;
  let reports: OutcomeReports;

  beforeEach(() => {
    timer = new ManualTimerService();
    takenOut = new Set();
    reports = new OutcomeReports(timer, (id) => takenOut.has(id));
  });

  function record(
    endpoint: EndpointId,
    results: readonly AttemptResult[],
    of = kind,
  ): void {
    for (const result of results) {
      reports.record(endpoint, { kind: of, result });
    }
  }

  // An outcome that is reported twice would count as two failures.
  it("reports each outcome once", () => {
    record(a, ["completed", "failed", "completed", "lost"]);
    const elsewhere = { attempts: 0, failures: 0 };
    expect(reports.take(a)).to.deep.equal({
      completed: 2,
      failures: [{ kind, failed: 1, lost: 1, elsewhere }],
    });
    expect(reports.take(a)).to.equal(undefined);
    expect(reports.hasUnreported).to.equal(false);
  });

  it("separates kinds of requests by pool, route and step", () => {
    const run = kindOfRequest(PORTAL, { route: "a", isPrefill: false });
    const others = [
      kindOfRequest(PORTAL, { route: "b", isPrefill: false }),
      kindOfRequest(PORTAL, { route: "a", isPrefill: true }),
    ];
    record(a, ["failed"], run);
    for (const other of others) record(a, ["failed"], other);
    expect(reports.take(a)?.failures.map((each) => each.kind)).to.deep.equal([
      run,
      ...others,
    ]);
  });

  // A configuration with thousands of routes must not fill the entry's memory.
  it("keeps a limited number of kinds", () => {
    for (let each = 1; each <= 500; each++) record(a, ["failed"], each);
    expect(reports.take(a)?.failures).to.have.length.at.most(65);
  });

  describe("comparison with the other endpoints", () => {
    // One of three replicas fails at once, so it gets most requests. Weighed by
    // attempts, its failures would make failing look usual.
    it("gives each of them the same weight", () => {
      record(b, Array<AttemptResult>(8).fill("failed"));
      record(c, ["completed", "completed"]);
      expect(reports.elsewhere(kind, a)).to.deep.equal({
        attempts: 10,
        failures: 5,
      });
    });

    it("leaves out the endpoint itself and those that are taken out", () => {
      record(a, ["failed"]);
      record(b, ["failed"]);
      record(d, ["completed"]);
      takenOut.add(b);
      expect(reports.elsewhere(kind, a)).to.deep.equal({
        attempts: 1,
        failures: 0,
      });
    });

    it("leaves out old attempts", async () => {
      record(b, ["failed"]);
      await timer.advance(11_000);
      expect(reports.elsewhere(kind, a).attempts).to.equal(0);
    });
  });
});

describe("Rows of outcomes and verdicts", () => {
  it("keep what the owner needs", () => {
    const elsewhere = { attempts: 31, failures: 4.2 };
    const failure = { kind: 3, failed: 1, lost: 1, elsewhere };
    const failures = [failure, { ...failure, kind: 4 }];
    for (
      const counts of [{ completed: 2, failures: [] }, {
        completed: 0,
        failures,
      }]
    ) {
      const row = encodeOutcomes(0, counts);
      expect(isOutcomeRows([row])).to.equal(true);
      expect(decodeOutcomes(row)).to.deep.equal(counts);
    }
  });

  // A peer of another version or a damaged datagram must not stop an entry.
  it("are checked", () => {
    const wrongRows = [[0], [0, -1], [0, "a"], [0, NaN], [0, 1, 7, 1], 3];
    for (const row of wrongRows) {
      expect(isOutcomeRows([row])).to.equal(false);
    }
    for (const row of [["a"], ["a", 1e9, 0.4], [1, 100, 0.4], ["a", -1, 0]]) {
      expect(isVerdictRows([row])).to.equal(false);
    }
    expect(isVerdictRows([["a", 1_000, 0.4, 17]])).to.equal(true);
  });
});
