import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { RetryAllowance } from "../mod.ts";

const WINDOW_MILLISECONDS = 10_000;

describe("RetryAllowance", () => {
  let timer: ManualTimerService;
  let entries: number;
  let allowance: RetryAllowance;

  beforeEach(async () => {
    timer = new ManualTimerService();
    entries = 5;
    allowance = new RetryAllowance({
      timer,
      ratio: 0.2,
      windowMilliseconds: WINDOW_MILLISECONDS,
      minimum: 50,
      entries: () => entries,
    });
    await timer.advance(WINDOW_MILLISECONDS);
  });

  function takeAll(pool: string): number {
    let taken = 0;
    for (;;) {
      const permit = allowance.grant(pool);
      if (permit === undefined) return taken;
      permit.use();
      taken += 1;
    }
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
    expect(allowance.grant("portal")).to.not.equal(undefined);
  });

  it("gives back what is older than the window", async () => {
    const first = takeAll("engines");
    await timer.advance(10_001);
    expect(takeAll("engines")).to.equal(first);
  });

  // What is granted waits for an engine. Not counted meanwhile, it would be
  // granted to others as well, and all are sent when the engine is back.
  it("counts a repeat from its grant on, however long it waits", async () => {
    const before = takeAll("engines");
    await timer.advance(10_001);
    const waiting = allowance.grant("engines");
    await timer.advance(10_001);
    expect(takeAll("engines")).to.equal(before - 1);
    waiting?.giveBack();
    expect(allowance.grant("engines")).to.not.equal(undefined);
  });

  // Counted from its grant alone, a repeat that has waited for nine seconds is
  // forgotten a second after it was sent.
  it("counts a repeat for a whole window from its sending", async () => {
    const permit = allowance.grant("engines");
    await timer.advance(9_000);
    permit?.use();
    await timer.advance(9_000);
    expect(allowance.use("engines").counted).to.equal(1);
    await timer.advance(1_001);
    expect(allowance.use("engines").counted).to.equal(0);
  });

  it("takes back a repeat that has not reached its endpoint, once", () => {
    const [one, other] = [
      allowance.grant("engines"),
      allowance.grant("engines"),
    ];
    one?.use();
    other?.use();
    one?.giveBack();
    one?.giveBack();
    expect(allowance.use("engines").counted).to.equal(1);
  });
});
