import { expect } from "chai";
import { maxMinLevel } from "../mod.ts";

describe("maxMinLevel", () => {
  it("is infinite while the capacity covers everything", () => {
    expect(maxMinLevel([1, 2, 3], 6)).to.equal(Infinity);
    expect(maxMinLevel([], 0)).to.equal(Infinity);
  });

  // Dividing the capacity by the number of workspaces would limit the middle
  // one to 4, although the small one leaves 3 of its equal share.
  it("gives to others what small demands leave", () => {
    expect(maxMinLevel([20, 5, 1], 12)).to.equal(6);
    expect(maxMinLevel([20, 8, 1], 12)).to.equal(5.5);
  });

  it("gives a single demand the whole capacity", () => {
    expect(maxMinLevel([30], 12)).to.equal(12);
  });
});
