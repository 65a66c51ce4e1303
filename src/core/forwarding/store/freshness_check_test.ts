import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { FreshnessCheck } from "../mod.ts";

const INTERVAL_MILLISECONDS = 500;
const RETRY_MILLISECONDS = 200;

describe("FreshnessCheck", () => {
  let timer: ManualTimerService;
  let check: FreshnessCheck;
  let checkedAt: number[];
  let isReachable: boolean;
  let fault: Error | undefined;

  beforeEach(() => {
    timer = new ManualTimerService(undefined, { onThrow() {} });
    checkedAt = [];
    isReachable = true;
    fault = undefined;
    check = new FreshnessCheck({
      timer,
      intervalMilliseconds: () => INTERVAL_MILLISECONDS,
      retryMilliseconds: () => RETRY_MILLISECONDS,
      check: () => {
        checkedAt.push(timer.now());
        if (fault !== undefined) return Promise.reject(fault);
        return Promise.resolve(isReachable);
      },
    });
    check.start();
  });

  afterEach(() => check.stop());

  it("checks once per interval", async () => {
    await timer.advance(1_100);
    expect(checkedAt).to.deep.equal([500, 1_000]);
  });

  it("does not check while confirmations arrive", async () => {
    for (let count = 0; count < 5; count++) {
      await timer.advance(400);
      check.confirm();
    }
    expect(checkedAt).to.deep.equal([]);
  });

  it("retries sooner after a failed check", async () => {
    isReachable = false;
    await timer.advance(800);
    expect(checkedAt).to.deep.equal([500, 700]);
  });

  // A check that never runs again leaves an old configuration in force.
  it("retries after a check that throws", async () => {
    fault = new Error("checking");
    await timer.advance(800);
    expect(checkedAt).to.deep.equal([500, 700]);
  });

  it("checks at once on request and not after stop", async () => {
    check.checkNow();
    expect(checkedAt).to.deep.equal([0]);
    check.stop();
    check.checkNow();
    check.confirm();
    await timer.advance(1_000);
    expect(checkedAt).to.deep.equal([0]);
  });
});
