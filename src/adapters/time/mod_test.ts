import { expect } from "chai";
import { SystemTimerService } from "./mod.ts";

describe("SystemTimerService", () => {
  const timer = new SystemTimerService();

  describe("after", () => {
    // A timeout that expires early refuses a request that was still on time.
    it("fires once, never before the delay", async () => {
      const waits = Array.from({ length: 40 }, async (_, index) => {
        const delay = 5 + index * 0.37;
        const started = timer.now();
        await new Promise<void>((resolve) => timer.after(delay, resolve));
        return timer.now() - started - delay;
      });
      for (const delay of await Promise.all(waits)) {
        expect(delay).to.be.at.least(0);
      }
    });

    it("does not fire after it is cancelled", async () => {
      let fired = false;
      timer.after(1, () => fired = true).cancel();
      await new Promise<void>((resolve) => timer.after(15, resolve));
      expect(fired).to.equal(false);
    });

    // Node's timers have 31-bit delays. A timeout of a month would expire after
    // a millisecond, and so would an idempotency key that still protects a
    // booking.
    it("supports delays longer than Node's maximum", async () => {
      let fired = false;
      const subscription = timer.after(2 ** 31 + 1000, () => fired = true);
      await new Promise<void>((resolve) => timer.after(15, resolve));
      subscription.cancel();
      expect(fired).to.equal(false);
    });
  });

  describe("the owner of what listeners throw", () => {
    // A throw in a timer ends the process, with all requests that it has open.
    it("gets throws and rejections of timers, which go on", async () => {
      const thrown: unknown[] = [];
      const owned = new SystemTimerService({
        onThrow: (cause) => void thrown.push(cause),
      });
      owned.after(1, () => {
        throw "after";
      });
      owned.run(() => Promise.reject("run"));
      const subscription = owned.every(2, () => Promise.reject("every"));
      await new Promise<void>((resolve) => owned.after(30, resolve));
      subscription.cancel();
      expect(thrown).to.include("after").and.to.include("run");
      expect(thrown.filter((each) => each === "every").length)
        .to.be.greaterThan(1);
    });
  });

  describe("every", () => {
    it("fires until cancelled", async () => {
      let calls = 0;
      const subscription = timer.every(3, () => calls++);
      await new Promise<void>((resolve) => timer.after(30, resolve));
      subscription.cancel();
      const seen = calls;
      await new Promise<void>((resolve) => timer.after(15, resolve));
      expect(seen).to.be.at.least(2);
      expect(calls).to.equal(seen);
    });
  });
});
