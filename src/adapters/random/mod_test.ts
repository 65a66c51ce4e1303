import { expect } from "chai";
import { hashText, newIncarnation, systemRandom } from "./mod.ts";

describe("system randomness", () => {
  describe("newIncarnation", () => {
    // After a restart of a side, a late report of its earlier run may arrive.
    // If ids did not sort by time, that run could be taken for the current one.
    it("creates ids that sort by start time", async () => {
      const first = newIncarnation();
      await new Promise((resolve) => setTimeout(resolve, 3));
      const second = newIncarnation();
      expect(second > first).to.equal(true);
    });
  });

  describe("systemRandom", () => {
    it("returns numbers in [0, 1)", () => {
      for (let draw = 0; draw < 100; draw++) {
        expect(systemRandom()).to.be.within(0, 1).and.not.equal(1);
      }
    });
  });

  describe("hashText", () => {
    it("returns equal hashes for equal texts only", () => {
      expect(hashText("a")).to.equal(hashText("a"));
      expect(hashText("a")).not.to.equal(hashText("b"));
    });
  });
});
