import { expect } from "chai";
import { preferCapacity } from "./wait_for_choice.ts";

describe("preferCapacity", () => {
  it("chooses an engine with capacity immediately", () => {
    expect(preferCapacity(() => "one")()).to.equal("one");
  });

  // Engines are reachable but stay full, since newer requests are sent there
  // without requiring capacity. A waiting request would wait until its caller
  // gives up.
  it("chooses a full engine after several checks, and not before", () => {
    const choose = preferCapacity(({ requiresCapacity }) =>
      requiresCapacity ? undefined : "full"
    );
    const choices = Array.from({ length: 9 }, () => choose());
    expect(choices.slice(0, 8)).to.deep.equal(new Array(8).fill(undefined));
    expect(choices[8]).to.equal("full");
  });

  it("counts no check while no engine is reachable", () => {
    let isBack = false;
    const choose = preferCapacity(({ requiresCapacity }) =>
      isBack && !requiresCapacity ? "full" : undefined
    );
    for (let check = 0; check < 50; check++) choose();
    isBack = true;
    expect(choose()).to.equal(undefined);
  });
});
