import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { RequestArrivals, RetryAllowance } from "../mod.ts";

const POOL = "engines";

describe("RequestArrivals", () => {
  let allowance: RetryAllowance;
  let arrivals: RequestArrivals;

  beforeEach(async () => {
    allowance = await allowanceOf(10);
    arrivals = new RequestArrivals(allowance, POOL);
  });

  /** A grown allowance with so many repeats; an entry uses 0.8 of its part. */
  async function allowanceOf(repeats: number): Promise<RetryAllowance> {
    const timer = new ManualTimerService();
    const windowMilliseconds = 10_000;
    const grown = new RetryAllowance({
      timer,
      ratio: 0,
      windowMilliseconds,
      minimum: repeats / 0.8,
      entries: () => 1,
    });
    await timer.advance(windowMilliseconds);
    return grown;
  }

  function counted(): number {
    return allowance.use(POOL).counted;
  }

  function read(accepted: boolean): void {
    arrivals.readingSent();
    arrivals.readingEnded({ accepted });
  }

  // Engines of a zone that has died refuse their connections. Counted as
  // arrivals they use up the repeats that other requests need.
  it("cost nothing where readings found no connection", () => {
    for (let reading = 0; reading < 3; reading++) {
      expect(arrivals.cover({ reading: true })).to.equal(true);
      arrivals.readingSent();
      arrivals.readingNotSent();
    }
    read(true);
    arrivals.sent();
    arrivals.release();
    expect(counted()).to.equal(0);
  });

  describe("without a reading", () => {
    it("are free once", () => {
      expect(arrivals.cover({ reading: false })).to.equal(true);
      arrivals.sent();
      expect(counted()).to.equal(0);
    });

    it("cost a repeat from the second on", () => {
      for (let send = 0; send < 3; send++) {
        arrivals.cover({ reading: false });
        arrivals.sent();
      }
      expect(counted()).to.equal(2);
    });

    it("cost nothing where a send never arrived", () => {
      arrivals.sent();
      arrivals.cover({ reading: false });
      arrivals.sent();
      arrivals.notArrived();
      expect(counted()).to.equal(0);
    });
  });

  describe("with a reading", () => {
    it("are free for the first one that an engine accepts", () => {
      read(true);
      arrivals.sent();
      expect(counted()).to.equal(0);
    });

    // The engine that should read rejects the prompt. That was an arrival: the
    // answer, which is sent after another engine has read it, is the second.
    it("count a reading that is rejected", () => {
      read(false);
      expect(arrivals.cover({ reading: true })).to.equal(true);
      read(true);
      arrivals.sent();
      expect(counted()).to.equal(1);
    });

    // An engine crashes with the answer's cache. The prompt is read once more
    // and sent once more: two arrivals, which a single repeat does not cover.
    it("need two repeats where the prompt is read anew", async () => {
      allowance = await allowanceOf(1);
      arrivals = new RequestArrivals(allowance, POOL);
      read(true);
      arrivals.sent();
      expect(arrivals.cover({ reading: true })).to.equal(false);
      allowance = await allowanceOf(2);
      arrivals = new RequestArrivals(allowance, POOL);
      read(true);
      arrivals.sent();
      expect(arrivals.cover({ reading: true })).to.equal(true);
    });

    // The caller leaves while its prompt is read anew. The engine has had the
    // prompt; given back, the repeat would be made once more by another.
    it("count a reading that is given up, and give back the rest", () => {
      read(true);
      arrivals.sent();
      arrivals.cover({ reading: true });
      arrivals.readingSent();
      arrivals.release();
      expect(counted()).to.equal(1);
    });
  });

  it("give back what was granted and not sent", () => {
    arrivals.sent();
    arrivals.cover({ reading: true });
    expect(counted()).to.equal(1);
    arrivals.release();
    expect(counted()).to.equal(0);
  });
});
