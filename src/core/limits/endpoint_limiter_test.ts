import { expect } from "chai";
import { describe, it } from "mocha";
import { ManualTimerService } from "../time/mod.ts";
import { type AcquireOptions, AdaptiveLimit, EndpointLimiter } from "./mod.ts";

const BULK: AcquireOptions = {
  priority: 9,
  className: "bulk",
  deadlineMilliseconds: 60_000,
  mayPause: true,
};
const URGENT: AcquireOptions = {
  priority: 0,
  className: "urgent",
  deadlineMilliseconds: 5_000,
};

function makeLimiter(mostRunning: number, mostWaiting = 2) {
  const timer = new ManualTimerService();
  return {
    timer,
    limiter: new EndpointLimiter({ timer, mostRunning, mostWaiting }),
  };
}

describe("EndpointLimiter", () => {
  it("refuses attempts beyond the limit and the wait queue", async () => {
    const { limiter } = makeLimiter(1, 1);
    await limiter.acquire(BULK);
    void limiter.acquire(BULK);
    const third = await limiter.acquire(BULK);
    expect(third._unsafeUnwrapErr().name).to.equal("saturated");
  });

  it("refuses a waiting attempt at its deadline", async () => {
    const { limiter, timer } = makeLimiter(1);
    await limiter.acquire(BULK);
    const waiting = limiter.acquire(URGENT);
    await timer.advance(5_000);
    expect((await waiting)._unsafeUnwrapErr().name).to.equal("late");
    expect(limiter.load().waiting).to.equal(0);
  });

  it("evicts waiting bulk work for urgent work", async () => {
    const { limiter } = makeLimiter(1, 1);
    const running = (await limiter.acquire(BULK))._unsafeUnwrap();
    const bulk = limiter.acquire(BULK);
    const urgent = limiter.acquire(URGENT);
    expect((await bulk)._unsafeUnwrapErr().name).to.equal("saturated");
    running.release();
    expect((await urgent).isOk()).to.equal(true);
  });

  // A long summary runs when an alert arrives, and more summaries follow.
  // Without the pause, the alert waits until the summary ends; if new bulk work
  // were admitted before the paused attempt, its caller would never receive the
  // rest.
  it("pauses bulk for urgent work and resumes it before new bulk", async () => {
    const { limiter } = makeLimiter(1, 4);
    const bulk = (await limiter.acquire({ ...BULK, attemptId: "first" }))
      ._unsafeUnwrap();
    const urgent = limiter.acquire(URGENT);
    expect(limiter.nextToPause()).to.equal(bulk);
    bulk.pause();
    const alert = (await urgent)._unsafeUnwrap();
    let newBulkRuns = false;
    void limiter.acquire(BULK).then(() => newBulkRuns = true);
    alert.release();
    await Promise.resolve();
    expect(newBulkRuns).to.equal(false);
    expect(limiter.nextToResume()).to.equal(bulk);
    bulk.resume();
    expect(limiter.nextToResume()).to.equal(undefined);
  });

  it("counts a released slot once", async () => {
    const { limiter } = makeLimiter(2);
    const slot = (await limiter.acquire(BULK))._unsafeUnwrap();
    slot.release();
    slot.release();
    expect(limiter.load().running).to.equal(0);
  });
});

describe("AdaptiveLimit", () => {
  // Two tokens arrive in one read, so the first interval is nearly zero. If it
  // became the best interval, the limit of a steady engine would drop to one
  // attempt, and others would wait while the batch is idle.
  it("ignores a single interval of nearly zero", () => {
    const limit = new AdaptiveLimit({ mostRunning: 64 });
    limit.observe(0.01);
    for (let second = 1; second <= 60; second++) {
      for (let count = 0; count < 50; count++) limit.observe(100);
      limit.adjust(second * 1_000, 40);
    }
    expect(limit.limit).to.equal(64);
  });

  // The batch has grown until every stream is three times slower, so that all
  // of them miss their deadlines.
  it("decreases while tokens are too slow, and increases again", () => {
    const limit = new AdaptiveLimit({
      mostRunning: 16,
      targetMilliseconds: 40,
    });
    let now = 0;
    const observe = (milliseconds: number, seconds: number) => {
      for (let second = 0; second < seconds; second++) {
        now += 1_000;
        for (let count = 0; count < 50; count++) limit.observe(milliseconds);
        limit.adjust(now, limit.limit);
      }
    };
    observe(80, 10);
    const low = limit.limit;
    expect(low).to.be.lessThan(9);
    observe(20, 20);
    expect(limit.limit).to.be.greaterThan(low + 4);
  });
});
