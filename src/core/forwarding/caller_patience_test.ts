import { expect } from "chai";
import { ManualTimerService } from "../time/mod.ts";
import { CallerPatience } from "./mod.ts";

describe("CallerPatience", () => {
  let timer: ManualTimerService;
  let patience: CallerPatience;

  beforeEach(() => {
    timer = new ManualTimerService();
    patience = new CallerPatience(timer);
  });

  // A caller was refused, waits and returns with what is left of its two
  // seconds. Taken for a new one, it would be promised an answer within the
  // target, which it has missed already.
  it("sees how long a returning caller has waited", () => {
    expect(patience.waited("r", 2_000)).to.equal(0);
    expect(patience.waited("r", 1_500)).to.equal(500);
    expect(patience.waited("r", 2_000)).to.equal(0);
  });

  it("knows each route by itself", () => {
    patience.waited("long", 15_000);
    expect(patience.waited("short", 1_000)).to.equal(0);
  });

  it("takes small differences for the way, not for a wait", () => {
    patience.waited("r", 2_000);
    expect(patience.waited("r", 1_990)).to.equal(0);
  });

  // One caller allowed much more time than all others. Remembered for good,
  // everybody else would count as late.
  it("forgets a long deadline that does not come again", async () => {
    patience.waited("r", 60_000);
    await timer.advance(30_001);
    expect(patience.waited("r", 2_000)).to.equal(0);
  });
});
