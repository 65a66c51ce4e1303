import { expect } from "chai";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { OutcomeJudge } from "../mod.ts";

describe("OutcomeJudge", () => {
  const endpoint = { id: identifier<EndpointId>("a") };
  const { id } = endpoint;
  const reliable = 1;
  const oftenFailing = 9;
  let timer: ManualTimerService;
  let changes: string[];
  let minLossReporters: number;
  let judge: OutcomeJudge;

  beforeEach(() => {
    timer = new ManualTimerService();
    changes = [];
    minLossReporters = 2;
    judge = new OutcomeJudge({
      self: identifier<ProcessId>("owner"),
      timer,
      minLossReporters: () => minLossReporters,
      elsewhere: (kind) =>
        kind === oftenFailing
          ? { attempts: 300, failures: 42 }
          : { attempts: 30, failures: 0 },
      onChange: ({ change, milliseconds }) =>
        changes.push(`${change} ${milliseconds}`),
    });
  });

  interface Report {
    readonly completed?: number;
    readonly failed?: number;
    readonly lost?: number;
    readonly reporter?: string;
    /** Failure rate of the kind at the other endpoints. */
    readonly usual?: number;
    readonly kind?: number;
  }

  function report(given: Report): void {
    const { completed = 0, failed = 0, lost = 0, usual = 0 } = given;
    const { kind = reliable, reporter = "entry-1" } = given;
    judge.collect(id, {
      reporter: identifier<ProcessId>(reporter),
      counts: {
        completed,
        failures: failed + lost === 0 ? [] : [{
          kind,
          failed,
          lost,
          elsewhere: { attempts: 300, failures: 300 * usual },
        }],
      },
    });
  }

  /** Fails 0.4 of the attempts until there is a verdict; counts attempts. */
  function failUntilVerdict(usual: number): number {
    const kind = 2;
    for (let attempts = 1; attempts < 100; attempts++) {
      const isFailure = attempts % 5 === 1 || attempts % 5 === 3;
      report({
        kind,
        usual,
        ...(isFailure ? { failed: 1 } : { completed: 1 }),
      });
      if (judge.hasVerdicts) return attempts;
    }
    return Infinity;
  }

  const claim = (isRepeatable = true) =>
    judge.claimProbe([endpoint], { isRepeatable });

  describe("verdict", () => {
    // 29 entries sent 130 requests to five failing replicas before one of the
    // entries had seen eight attempts.
    it("needs a few failures of a kind that rarely fails", () => {
      expect(failUntilVerdict(0)).to.be.at.most(6);
      expect(changes).to.deep.equal(["suspect 1000"]);
    });

    it("needs more failures of a kind that often fails", () => {
      expect(failUntilVerdict(0.14)).to.be.within(7, 25);
    });

    // One caller sends requests that fail at every replica. Without the
    // comparison they would take out a third of the pool.
    it("is not based on a kind that fails everywhere", () => {
      for (let count = 0; count < 50; count++) report({ failed: 1, usual: 1 });
      expect(changes).to.deep.equal([]);
    });

    // The same, just begun: the first failures are reported before the entries
    // have seen the others. They are weighed by what is known at the verdict.
    it("weighs earlier failures by what is known later", () => {
      report({ failed: 1, usual: 0, reporter: "entry-1" });
      report({ failed: 1, usual: 0.9, reporter: "entry-2" });
      report({ failed: 1, usual: 0.9, reporter: "entry-1" });
      expect(changes).to.deep.equal([]);
    });

    it("is not formed for a replica that fails as often as the others", () => {
      for (let count = 0; count < 100; count++) {
        report({ completed: 6 });
        report({ failed: 1, usual: 0.14 });
      }
      expect(changes).to.deep.equal([]);
    });

    it("does not add up failures over a long time", async () => {
      for (let count = 0; count < 10; count++) {
        report({ failed: 1 });
        await timer.advance(11_000);
      }
      expect(changes).to.deep.equal([]);
    });
  });

  describe("lost connections", () => {
    // One entry's link breaks; the replica is well.
    it("do not count if only one entry reports them", () => {
      for (let count = 0; count < 20; count++) report({ lost: 1 });
      expect(changes).to.deep.equal([]);
    });

    it("count as soon as two entries report them", () => {
      report({ lost: 2, reporter: "entry-1" });
      report({ lost: 1, reporter: "entry-2" });
      expect(changes).to.deep.equal(["suspect 1000"]);
    });

    it("count for an entry that is alone", () => {
      minLossReporters = 1;
      report({ lost: 3 });
      expect(changes).to.deep.equal(["suspect 1000"]);
    });
  });

  describe("probe", () => {
    beforeEach(() => report({ failed: 3 }));

    it("is one request after the verdict's time", async () => {
      await timer.advance(990);
      expect(claim()).to.equal(undefined);
      await timer.advance(10);
      expect(claim()).to.equal(endpoint);
      expect(claim()).to.equal(undefined);
      expect(judge.startProbe(id)).to.equal(true);
      expect(judge.startProbe(id)).to.equal(false);
    });

    it("is preferably a request that may run again", async () => {
      await timer.advance(1_000);
      expect(claim(false)).to.equal(undefined);
      await timer.advance(150);
      expect(claim(false)).to.equal(endpoint);
    });

    // A request is chosen as the probe but refused before it is sent.
    it("is chosen again if it was not sent", async () => {
      await timer.advance(1_000);
      expect(claim()).to.equal(endpoint);
      await timer.advance(300);
      expect(claim()).to.equal(endpoint);
    });

    async function probe(
      result: "completed" | "failed" | undefined,
      kind = reliable,
    ): Promise<void> {
      while (claim() === undefined) await timer.advance(10);
      judge.startProbe(id);
      judge.endProbe(id, { kind, result });
    }

    it("readmits the endpoint", async () => {
      await probe("completed");
      expect(changes).to.deep.equal(["suspect 1000", "readmitted 0"]);
      expect(judge.verdicts()).to.deep.equal([]);
    });

    it("doubles the time if it fails, up to a limit", async () => {
      for (let count = 0; count < 4; count++) await probe("failed");
      expect(changes.slice(1)).to.deep.equal([
        "repeated 2000",
        "repeated 4000",
        "repeated 8000",
        "repeated 8000",
      ]);
    });

    // One failed probe of a kind that often fails says little.
    it("is followed by another if a kind failed that fails everywhere", async () => {
      await probe("failed", oftenFailing);
      expect(changes).to.deep.equal(["suspect 1000"]);
      expect(claim()).to.equal(endpoint);
      judge.startProbe(id);
      judge.endProbe(id, { kind: oftenFailing, result: "failed" });
      expect(changes).to.deep.equal(["suspect 1000", "repeated 2000"]);
    });

    // A healthy replica fails some request within the time of the watch.
    it("is not followed by a verdict on a single failure", async () => {
      await probe("completed");
      report({ failed: 1 });
      expect(changes.at(-1)).to.equal("readmitted 0");
    });

    it("is repeated if it was abandoned", async () => {
      await probe(undefined);
      expect(claim()).to.equal(endpoint);
      expect(changes).to.have.length(1);
    });

    // A replica that fails 0.4 of its work completes most probes.
    it("is followed by a time in which less evidence suffices", async () => {
      await probe("completed");
      report({ failed: 2 });
      expect(changes.at(-1)).to.equal("suspect 2000");
    });

    // The owner gets no request, or was suspended meanwhile.
    it("is not made late; the verdict ends by itself", async () => {
      await timer.advance(2_100);
      expect(claim()).to.equal(undefined);
      expect(changes.at(-1)).to.equal("expired 0");
    });
  });

  it("forgets an endpoint whose run is over", () => {
    report({ failed: 3 });
    judge.forget(endpoint);
    expect(judge.hasVerdicts).to.equal(false);
    expect(judge.verdicts()).to.deep.equal([]);
  });
});
