import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { RequestArrivals, SharedRetryBudget } from "../mod.ts";

const POOL = "engines";

describe("RequestArrivals", () => {
  let budget: SharedRetryBudget;
  let arrivals: RequestArrivals;

  beforeEach(async () => {
    budget = await createBudget(10);
    arrivals = new RequestArrivals(budget, POOL);
  });

  /** A budget of this many retries past its start-up; an entry may use 80%. */
  async function createBudget(retries: number): Promise<SharedRetryBudget> {
    const timer = new ManualTimerService();
    const windowMilliseconds = 10_000;
    const budget = new SharedRetryBudget({
      timer,
      ratio: 0,
      windowMilliseconds,
      minimum: retries / 0.8,
      entries: () => 1,
    });
    await timer.advance(windowMilliseconds);
    return budget;
  }

  function countedRetries(): number {
    return budget.usageOf(POOL).counted;
  }

  function prefill(accepted: boolean): void {
    arrivals.prefillSent();
    arrivals.prefillEnded({ accepted });
  }

  // Engines of a failed zone refuse connections. Counted as arrivals, these
  // attempts would use up the retries that other requests need.
  it("cost nothing where prefills were refused a connection", () => {
    for (let attempt = 0; attempt < 3; attempt++) {
      expect(arrivals.reserve({ prefill: true })).to.equal(true);
      arrivals.prefillSent();
      arrivals.prefillNotSent();
    }
    prefill(true);
    arrivals.recordSend();
    arrivals.release();
    expect(countedRetries()).to.equal(0);
  });

  describe("without a prefill", () => {
    it("are free once", () => {
      expect(arrivals.reserve({ prefill: false })).to.equal(true);
      arrivals.recordSend();
      expect(countedRetries()).to.equal(0);
    });

    it("cost a retry from the second on", () => {
      for (let send = 0; send < 3; send++) {
        arrivals.reserve({ prefill: false });
        arrivals.recordSend();
      }
      expect(countedRetries()).to.equal(2);
    });

    it("cost nothing where a send did not reach the endpoint", () => {
      arrivals.recordSend();
      arrivals.reserve({ prefill: false });
      arrivals.recordSend();
      arrivals.revertSend();
      expect(countedRetries()).to.equal(0);
    });
  });

  describe("with a prefill", () => {
    it("are free for the first prefill that an engine accepts", () => {
      prefill(true);
      arrivals.recordSend();
      expect(countedRetries()).to.equal(0);
    });

    // The first prefill engine rejects the prompt, which counts as an arrival.
    // The send after another engine's prefill is the second.
    it("count a rejected prefill", () => {
      prefill(false);
      expect(arrivals.reserve({ prefill: true })).to.equal(true);
      prefill(true);
      arrivals.recordSend();
      expect(countedRetries()).to.equal(1);
    });

    // An engine crashes and loses the response's cache. The prompt is prefilled
    // and sent once more: two arrivals, which a single retry does not cover.
    it("need two retries for a repeated prefill", async () => {
      budget = await createBudget(1);
      arrivals = new RequestArrivals(budget, POOL);
      prefill(true);
      arrivals.recordSend();
      expect(arrivals.reserve({ prefill: true })).to.equal(false);
      budget = await createBudget(2);
      arrivals = new RequestArrivals(budget, POOL);
      prefill(true);
      arrivals.recordSend();
      expect(arrivals.reserve({ prefill: true })).to.equal(true);
    });

    // The caller disconnects during a repeated prefill. The engine has received
    // the prompt; a returned permit would allow one retry too many.
    it("count a cancelled prefill and return the other permits", () => {
      prefill(true);
      arrivals.recordSend();
      arrivals.reserve({ prefill: true });
      arrivals.prefillSent();
      arrivals.release();
      expect(countedRetries()).to.equal(1);
    });
  });

  it("return permits that were granted and not consumed", () => {
    arrivals.recordSend();
    arrivals.reserve({ prefill: true });
    expect(countedRetries()).to.equal(1);
    arrivals.release();
    expect(countedRetries()).to.equal(0);
  });
});
