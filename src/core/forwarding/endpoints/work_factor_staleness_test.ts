import { expect } from "chai";
import { seededRandom } from "../../random/mod.ts";
import { WorkFactorStaleness } from "./work_factor_staleness.ts";

const STEP_MILLISECONDS = 10;

/** Learns from factors that keep this share of their logarithm in each step. */
function learn(keptShare: number): WorkFactorStaleness {
  const random = seededRandom(1);
  const staleness = new WorkFactorStaleness();
  let logarithm = 0;
  let before = { factor: 1, at: 0 };
  for (let at = STEP_MILLISECONDS; at < 100_000; at += STEP_MILLISECONDS) {
    logarithm = keptShare * logarithm + random() - 0.5;
    if (random() < 0.7) continue;
    const factor = Math.exp(logarithm);
    staleness.record({ before: before.factor, after: factor }, at - before.at);
    before = { factor, at };
  }
  return staleness;
}

describe("WorkFactorStaleness", () => {
  // A fixed time would trust factors that change many times per second, or
  // ignore that a machine is slow for seconds.
  it("learns the rate at which factors become stale", () => {
    const quick = learn(0.5);
    const slow = learn(0.99);
    expect(quick.weight(100)).to.be.lessThan(0.2);
    expect(quick.usefulMilliseconds).to.be.lessThan(200);
    expect(slow.weight(100)).to.be.greaterThan(0.7);
    expect(slow.usefulMilliseconds).to.be.greaterThan(200);
  });

  it("trusts factors while nothing shows that they change", () => {
    const staleness = new WorkFactorStaleness();
    expect(staleness.weight(1_000)).to.equal(1);
    for (let count = 0; count < 20; count++) {
      staleness.record({ before: 1, after: 1 }, 50);
    }
    expect(staleness.weight(1_000)).to.equal(1);
  });

  // Few samples at one interval that happen to differ would otherwise make all
  // older reports useless, and slow replicas would be tried again and again.
  it("is not misled by one interval with few samples", () => {
    const staleness = new WorkFactorStaleness();
    for (let count = 0; count < 3; count++) {
      staleness.record({ before: 2.5, after: 1 }, 20);
    }
    for (let count = 0; count < 30; count++) {
      staleness.record({ before: 2.5, after: 2.5 }, 500);
    }
    expect(staleness.weight(500)).to.be.greaterThan(0.9);
  });

  // Sparse samples at long intervals may agree by chance.
  it("never trusts an older report more than a newer one", () => {
    const staleness = new WorkFactorStaleness();
    staleness.record({ before: 2.5, after: 2.5 }, 1_000);
    for (let count = 0; count < 20; count++) {
      staleness.record({ before: 2.5, after: 1 }, 50);
    }
    expect(staleness.weight(1_000)).to.be.lessThan(0.3);
    expect(staleness.weight(1_000)).to.equal(staleness.weight(50));
    expect(staleness.weight(10)).to.equal(1);
  });
});
