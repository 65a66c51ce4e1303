import { expect } from "chai";
import { describe, it } from "mocha";
import { seededRandom } from "../random/mod.ts";
import {
  backoffMilliseconds,
  retryAfterMilliseconds,
  RetryBudget,
} from "./mod.ts";

describe("RetryBudget", () => {
  // Every attempt fails. Without a budget each request would be sent again and
  // again, and the failing fleet would get several times its load.
  it("stops retries while nothing succeeds", () => {
    const budget = new RetryBudget({ mostSaved: 3 });
    const taken = Array.from({ length: 10 }, () => budget.take());
    expect(taken.filter((one) => one).length).to.equal(3);
  });

  it("is refilled by successes, up to its ceiling", () => {
    const budget = new RetryBudget({ mostSaved: 2, retriesPerSuccess: 0.5 });
    while (budget.take());
    for (let index = 0; index < 100; index++) budget.succeeded();
    expect(budget.left).to.equal(2);
  });
});

describe("retryAfterMilliseconds", () => {
  // Five hundred callers are refused in the same instant. If all were told the
  // same time, they would come back as the same burst and be refused again.
  it("spreads a herd of refused callers", () => {
    const random = seededRandom(3);
    const perSecond = new Map<number, number>();
    for (let index = 0; index < 500; index++) {
      const wait = retryAfterMilliseconds(500, { random, drainPerSecond: 50 });
      expect(wait).to.be.within(10_000, 20_100);
      const second = Math.floor(wait / 1_000);
      perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
    }
    expect(Math.max(...perSecond.values())).to.be.lessThan(80);
  });

  it("stays within bounds while nothing drains", () => {
    const random = seededRandom(3);
    const wait = retryAfterMilliseconds(10, { random, drainPerSecond: 0 });
    expect(wait).to.be.within(60_000, 120_000);
  });
});

describe("backoffMilliseconds", () => {
  it("doubles up to a ceiling, fully jittered", () => {
    const highest = () => 1;
    const waits = [1, 2, 3, 20].map((attempt) =>
      backoffMilliseconds(attempt, { random: highest })
    );
    expect(waits).to.deep.equal([20, 40, 80, 2_000]);
  });
});
