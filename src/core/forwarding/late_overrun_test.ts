import { expect } from "chai";
import { ManualTimerService } from "../time/mod.ts";
import { LateOverrun } from "./mod.ts";

describe("LateOverrun", () => {
  let timer: ManualTimerService;
  let overrun: LateOverrun;

  beforeEach(() => {
    timer = new ManualTimerService();
    overrun = new LateOverrun(timer);
  });

  it("leaves predictions as they are where they hold", () => {
    for (let count = 0; count < 20; count++) overrun.took(90, 100);
    expect(overrun.factor).to.equal(1);
  });

  // New prompts go on overtaking those that are late. What was predicted as
  // 200 ms takes 1,600, and each caller that is let in hears nothing in time.
  it("learns within a few prompts that they are overtaken", () => {
    for (let count = 0; count < 8; count++) overrun.took(1_600, 200);
    expect(overrun.factor).to.be.within(6, 8);
  });

  it("forgets it within some seconds, so that callers are let in again", async () => {
    for (let count = 0; count < 8; count++) overrun.took(1_600, 200);
    await timer.advance(4_000);
    expect(overrun.factor).to.be.below(1.5);
  });

  it("takes the way there and back for no overrun", () => {
    overrun.took(40, 5);
    expect(overrun.factor).to.equal(1);
  });
});
