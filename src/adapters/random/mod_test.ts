import { expect } from "chai";
import { hashText, newIncarnation, systemRandom } from "./mod.ts";

describe("The machine's randomness", () => {
  describe("newIncarnation", () => {
    // A side restarts, and a late report of its earlier run arrives. If names
    // did not sort by time, the earlier run could pass for the present one.
    it("sorts runs by the time of their start", async () => {
      const first = newIncarnation();
      await new Promise((resolve) => setTimeout(resolve, 3));
      const second = newIncarnation();
      expect(second > first).to.equal(true);
    });
  });

  describe("systemRandom", () => {
    it("draws from 0 up to 1", () => {
      for (let draw = 0; draw < 100; draw++) {
        expect(systemRandom()).to.be.within(0, 1).and.not.equal(1);
      }
    });
  });

  describe("hashText", () => {
    it("is the same for the same text only", () => {
      expect(hashText("a")).to.equal(hashText("a"));
      expect(hashText("a")).not.to.equal(hashText("b"));
    });
  });
});
