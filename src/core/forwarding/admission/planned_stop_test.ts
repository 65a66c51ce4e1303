import { expect } from "chai";
import { makePlannedStop } from "../../../../test/support/planned_stop.ts";
import { ManualTimerService } from "../../time/mod.ts";
import type { PlannedStop } from "./planned_stop.ts";

const ROUTE = "r1";
const UNBOUNDED = 60_000;

describe("PlannedStop", () => {
  let timer: ManualTimerService;
  let graceMilliseconds: number;
  let stop: PlannedStop;

  beforeEach(() => {
    timer = new ManualTimerService();
    graceMilliseconds = 8_000;
    stop = makePlannedStop(timer, () => graceMilliseconds);
  });

  async function observe(milliseconds: number, count = 20): Promise<void> {
    for (let index = 0; index < count; index++) {
      const time = stop.routeTimes.start(ROUTE, "run");
      await timer.advance(milliseconds);
      time.end();
    }
  }

  function maySend(boundMilliseconds = UNBOUNDED): boolean {
    return stop.maySend({ route: ROUTE, step: "run", boundMilliseconds });
  }

  it("sends everything while no stop is requested", () => {
    expect(maySend()).to.equal(true);
    expect(stop.takesRequests).to.equal(true);
  });

  describe("the time of its end", () => {
    // The load balancer needs up to two health checks of 1 s to notice a stop.
    it("takes requests for 2.5 s with a grace period of 8 s", () => {
      stop.request();
      expect(stop.listeningMilliseconds).to.equal(2_500);
      expect(stop.remainingMilliseconds).to.equal(7_500);
    });

    // With constants, requests were taken at 3 s until all were cut, and with a
    // shorter grace period also behind that.
    for (const grace of [500, 1_000, 2_000, 3_000]) {
      it(`takes no request shortly before its end, with ${grace} ms`, () => {
        graceMilliseconds = grace;
        stop.request();
        expect(stop.remainingMilliseconds).to.be.within(grace / 2, grace - 80);
        expect(stop.listeningMilliseconds)
          .to.be.within(1, stop.remainingMilliseconds - 200);
      });
    }
  });

  describe("the time to exit", () => {
    // An entry that still waited for the store then was killed.
    for (const grace of [500, 2_000, 8_000]) {
      it(`comes between its end and the kill, with ${grace} ms`, async () => {
        graceMilliseconds = grace;
        stop.request();
        let isDue = false;
        void stop.exitDeadline().then(() => isDue = true);
        const untilEnd = stop.remainingMilliseconds;
        await timer.advance(untilEnd);
        expect(isDue).to.equal(false);
        await timer.advance(grace - untilEnd - 1);
        expect(isDue).to.equal(true);
      });
    }
  });

  describe("a grace period that changes behind the request to stop", () => {
    // The times were set when the stop began, so that the entry went on until
    // it was killed.
    it("moves the end of the stop, and of taking connections", async () => {
      stop.request();
      let hasEnded = false;
      let hasClosed = false;
      void stop.end().then(() => hasEnded = true);
      void stop.listeningEnd().then(() => hasClosed = true);
      await timer.advance(1_400);
      expect([hasClosed, hasEnded]).to.deep.equal([false, false]);
      graceMilliseconds = 2_000;
      await timer.advance(50);
      expect([hasClosed, hasEnded]).to.deep.equal([true, false]);
      await timer.advance(300);
      expect([hasClosed, hasEnded]).to.deep.equal([true, true]);
    });

    it("refuses what can no longer end", async () => {
      await observe(1_000);
      stop.request();
      await timer.advance(1_000);
      expect(maySend()).to.equal(true);
      graceMilliseconds = 2_000;
      expect(maySend()).to.equal(false);
    });
  });

  // A request that was refused as not run at the end was sent behind it.
  it("sends and takes nothing behind its end if the grace period grows", () => {
    stop.request();
    stop.close();
    graceMilliseconds = 60_000;
    expect(maySend(100)).to.equal(false);
    expect(stop.takesRequests).to.equal(false);
  });

  // The kernel delivers the signal at once, and the kill comes by that time.
  it("counts from the time at which the signal may have come", () => {
    stop.request({ lateMilliseconds: 900 });
    stop.request();
    expect(stop.remainingMilliseconds).to.equal(6_600);
    expect(stop.listeningMilliseconds).to.equal(1_600);
  });

  describe("a request that may be sent", () => {
    // A request that would be cut at the end was passed on: its caller can't
    // tell whether it has run, and must not repeat it if it is unsafe.
    it("is not sent if requests of its route take longer than is left", async () => {
      await observe(1_000);
      stop.request();
      await timer.advance(6_100);
      expect(maySend()).to.equal(true);
      await timer.advance(200);
      expect(maySend()).to.equal(false);
    });

    it("is sent if its caller's deadline ends it in time", async () => {
      await observe(5_000);
      stop.request();
      await timer.advance(6_500);
      expect(maySend(900)).to.equal(true);
      expect(maySend(1_000)).to.equal(false);
    });

    it("is not sent if nothing is known but its long deadline", () => {
      stop.request();
      expect(maySend()).to.equal(false);
      expect(maySend(7_000)).to.equal(true);
    });

    // A replica that has become slow shows in what is open before it shows in
    // what has ended.
    it("is not sent if an open one has taken longer than is left", async () => {
      await observe(100);
      stop.routeTimes.start(ROUTE, "run");
      await timer.advance(3_000);
      stop.request();
      await timer.advance(2_000);
      expect(maySend()).to.equal(false);
    });

    it("needs a wider margin if few times are known", async () => {
      await observe(2_000, 2);
      stop.request();
      await timer.advance(4_000);
      expect(maySend()).to.equal(false);
    });

    it("does not count sends that were given up early", async () => {
      const given = stop.routeTimes.start(ROUTE, "run");
      await timer.advance(5_000);
      given.cancel();
      await observe(100);
      stop.request();
      await timer.advance(5_000);
      expect(maySend()).to.equal(true);
    });
  });
});
