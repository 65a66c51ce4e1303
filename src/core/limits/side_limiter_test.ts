import { expect } from "chai";
import { describe, it } from "mocha";
import { ManualTimerService } from "../time/mod.ts";
import { AdaptiveLimit, type EnterOptions, SideLimiter } from "./mod.ts";

const BULK: EnterOptions = {
  priority: 9,
  className: "bulk",
  deadlineMilliseconds: 60_000,
  mayPause: true,
};
const URGENT: EnterOptions = {
  priority: 0,
  className: "urgent",
  deadlineMilliseconds: 5_000,
};

function limiterOf(mostRunning: number, mostWaiting = 2) {
  const timer = new ManualTimerService();
  return {
    timer,
    limiter: new SideLimiter({ timer, mostRunning, mostWaiting }),
  };
}

describe("SideLimiter", () => {
  it("sends back what neither runs nor may wait", async () => {
    const { limiter } = limiterOf(1, 1);
    await limiter.enter(BULK);
    void limiter.enter(BULK);
    const third = await limiter.enter(BULK);
    expect(third._unsafeUnwrapErr().name).to.equal("saturated");
  });

  it("gives up a waiting attempt at its deadline", async () => {
    const { limiter, timer } = limiterOf(1);
    await limiter.enter(BULK);
    const waiting = limiter.enter(URGENT);
    await timer.advance(5_000);
    expect((await waiting)._unsafeUnwrapErr().name).to.equal("late");
    expect(limiter.load().waiting).to.equal(0);
  });

  it("lets urgent work take the place of waiting bulk", async () => {
    const { limiter } = limiterOf(1, 1);
    const running = (await limiter.enter(BULK))._unsafeUnwrap();
    const bulk = limiter.enter(BULK);
    const urgent = limiter.enter(URGENT);
    expect((await bulk)._unsafeUnwrapErr().name).to.equal("saturated");
    running.release();
    expect((await urgent).isOk()).to.equal(true);
  });

  // A long summary runs when an alert arrives, and more summaries follow.
  // Without the pause the alert waits for the summary's end; if new bulk went
  // before the paused one, its caller would never get the rest.
  it("pauses bulk for urgent work and resumes it before new bulk", async () => {
    const { limiter } = limiterOf(1, 4);
    const bulk = (await limiter.enter({ ...BULK, attemptId: "first" }))
      ._unsafeUnwrap();
    const urgent = limiter.enter(URGENT);
    expect(limiter.toPause()).to.equal(bulk);
    bulk.pause();
    const alert = (await urgent)._unsafeUnwrap();
    let newBulkRuns = false;
    void limiter.enter(BULK).then(() => newBulkRuns = true);
    alert.release();
    await Promise.resolve();
    expect(newBulkRuns).to.equal(false);
    expect(limiter.toResume()).to.equal(bulk);
    bulk.resume();
    expect(limiter.toResume()).to.equal(undefined);
  });

  it("counts a released slot once", async () => {
    const { limiter } = limiterOf(2);
    const slot = (await limiter.enter(BULK))._unsafeUnwrap();
    slot.release();
    slot.release();
    expect(limiter.load().running).to.equal(0);
  });
});

describe("AdaptiveLimit", () => {
  // Two tokens arrive in one read, so the first interval is next to nothing.
  // Taken for the engine's best time it cuts a steady engine down to a single
  // attempt, and everybody else waits beside an idle batch.
  it("is not misled by an interval of next to nothing", () => {
    const limit = new AdaptiveLimit({ mostRunning: 64 });
    limit.observe(0.01);
    for (let second = 1; second <= 60; second++) {
      for (let count = 0; count < 50; count++) limit.observe(100);
      limit.adjust(second * 1_000, 40);
    }
    expect(limit.limit).to.equal(64);
  });

  // The batch has grown until every stream is three times slower. Each of them
  // would miss its deadline together with the others.
  it("goes down while tokens come too slowly, and up again", () => {
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
