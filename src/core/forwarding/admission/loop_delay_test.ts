import { expect } from "chai";
import { LoopDelay } from "./loop_delay.ts";

describe("LoopDelay", () => {
  function delayAfter(samples: readonly number[], current = 0): number {
    const delay = new LoopDelay();
    for (const sample of samples) delay.record(sample);
    return delay.lastingMilliseconds(current);
  }

  // A garbage collection takes 60 ms. The entry is otherwise idle, and its
  // callers would be refused.
  it("ignores a single late sample", () => {
    expect(delayAfter([0, 1, 60])).to.equal(1);
    expect(delayAfter([1, 60, 0])).to.equal(1);
    expect(delayAfter([0, 1, 0], 200)).to.equal(1);
  });

  // Two intervals of 50 ms and the delays themselves pass until the delay
  // shows; later, callers would wait at an overloaded entry.
  it("shows a delay that lasts", () => {
    expect(delayAfter([0, 60, 80])).to.equal(60);
    expect(delayAfter([0, 0, 80], 90)).to.equal(80);
  });

  it("is zero at the start", () => {
    expect(delayAfter([500, 500])).to.equal(0);
  });
});
