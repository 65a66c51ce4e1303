import { expect } from "chai";
import { ManualTimerService } from "./mod.ts";

describe("ManualTimerService", () => {
  describe("advance", () => {
    it("fires timers in the order of their due times", async () => {
      const timer = new ManualTimerService();
      const fired: string[] = [];
      timer.after(20, () => fired.push("late"));
      timer.after(10, () => fired.push("early"));
      timer.after(10, () => fired.push("early, second"));
      await timer.advance(20);
      expect(fired).to.deep.equal(["early", "early, second", "late"]);
    });

    it("does not fire cancelled timers", async () => {
      const timer = new ManualTimerService();
      let fired = 0;
      const subscription = timer.every(5, () => fired++);
      await timer.advance(12);
      subscription.cancel();
      await timer.advance(100);
      expect(fired).to.equal(2);
    });
  });
});
