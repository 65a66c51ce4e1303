import { expect } from "chai";
import { SmallPieceBudget } from "./small_piece_budget.ts";

/** Pieces that are accepted before one exceeds the bound, at most `most`. */
function accepted(
  budget: SmallPieceBudget,
  { bytes = 1, most, now }: {
    readonly bytes?: number;
    readonly most: number;
    readonly now: number;
  },
): number {
  for (let count = 0; count < most; count++) {
    if (budget.spend(bytes, () => now) !== undefined) return count;
  }
  return most;
}

describe("SmallPieceBudget", () => {
  it("ends a body of chunks of one byte without an end", () => {
    const budget = new SmallPieceBudget(0);
    expect(accepted(budget, { most: 100_000, now: 0 })).to.equal(4_096);
  });

  it("accepts small pieces at a rate that lasts", () => {
    const budget = new SmallPieceBudget(0);
    for (let second = 1; second <= 60; second++) {
      expect(accepted(budget, { most: 4_000, now: second * 1_000 }))
        .to.equal(4_000);
    }
  });

  it("does not save up more than one burst in a long stream", () => {
    const budget = new SmallPieceBudget(0);
    expect(accepted(budget, { most: 100_000, now: 3_600_000 }))
      .to.be.at.most(2 * 4_096);
  });

  it("accepts whole events at any rate", () => {
    const budget = new SmallPieceBudget(0);
    const bytes = Buffer.byteLength("id: 1\ndata: x\n\n");
    expect(accepted(budget, { bytes, most: 100_000, now: 0 }))
      .to.equal(100_000);
  });
});
