import { expect } from "chai";
import { describe, it } from "mocha";
import { seededRandom } from "../random/mod.ts";
import {
  backoffMilliseconds,
  retryAfterMilliseconds,
  RetryBudget,
} from "./mod.ts";

describe("RetryBudget", () => {
  // Every attempt fails. Without a budget each request would be retried
  // repeatedly, which multiplies the load of the failing fleet.
  it("stops retries while nothing succeeds", () => {
    const budget = new RetryBudget({ maxSaved: 3 });
    const taken = Array.from({ length: 10 }, () => budget.tryAcquire());
    expect(taken.filter((isAllowed) => isAllowed).length).to.equal(3);
  });

  it("is refilled by successes, up to its maximum", () => {
    const budget = new RetryBudget({ maxSaved: 2, retriesPerSuccess: 0.5 });
    while (budget.tryAcquire());
    for (let index = 0; index < 100; index++) budget.recordSuccess();
    expect(budget.available).to.equal(2);
  });
});

describe("retryAfterMilliseconds", () => {
  // 500 callers are refused at the same instant. With identical retry times
  // they would return as the same burst and be refused again.
  it("spreads the retries of callers that are refused at once", () => {
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

  it("stays within its bounds while the drain rate is zero", () => {
    const random = seededRandom(3);
    const wait = retryAfterMilliseconds(10, { random, drainPerSecond: 0 });
    expect(wait).to.be.within(60_000, 120_000);
  });
});

describe("backoffMilliseconds", () => {
  it("doubles up to a maximum, with full jitter", () => {
    const alwaysOne = () => 1;
    const waits = [1, 2, 3, 20].map((attempt) =>
      backoffMilliseconds(attempt, { random: alwaysOne })
    );
    expect(waits).to.deep.equal([20, 40, 80, 2_000]);
  });
});
