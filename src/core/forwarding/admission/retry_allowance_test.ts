import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { RetryAllowance } from "../mod.ts";

describe("RetryAllowance", () => {
  let timer: ManualTimerService;
  let entries: number;
  let allowance: RetryAllowance;

  beforeEach(() => {
    timer = new ManualTimerService();
    entries = 5;
    allowance = new RetryAllowance({
      timer,
      ratio: 0.2,
      windowMilliseconds: 10_000,
      minimum: 50,
      entries: () => entries,
    });
  });

  function takeAll(pool: string): number {
    let taken = 0;
    while (allowance.take(pool)) taken += 1;
    return taken;
  }

  // Every engine fails, and five entries resend what they get. Without a
  // common limit the engines that are left get twice the load and fail too.
  it("keeps all entries together under the fleet's limit", () => {
    for (let request = 0; request < 100; request++) {
      allowance.requestArrived("engines");
    }
    const fleet = entries * takeAll("engines");
    expect(fleet).to.be.at.most(0.2 * 500 + 50);
    expect(fleet).to.be.at.least(0.7 * (0.2 * 500 + 50));
  });

  it("counts each pool by itself", () => {
    takeAll("engines");
    expect(allowance.take("portal")).to.equal(true);
  });

  it("gives back what is older than the window", async () => {
    const first = takeAll("engines");
    await timer.advance(10_001);
    expect(takeAll("engines")).to.equal(first);
  });

  // Engines reject readings of prompts that were sent unasked. Left out of the
  // count, the fleet exceeds its limit by as many.
  it("counts what was rejected against what may be repeated", () => {
    const before = allowance.left("engines");
    allowance.note("engines");
    expect(allowance.left("engines")).to.equal(before - 1);
  });
});
