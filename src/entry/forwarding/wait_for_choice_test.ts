import { expect } from "chai";
import { preferCapacity } from "./wait_for_choice.ts";

describe("pacedByRoom", () => {
  it("takes what has room at once", () => {
    expect(preferCapacity(() => "one")()).to.equal("one");
  });

  // Engines can be reached and stay full for newer requests go there without
  // asking for room. What has waited would wait on until its caller leaves.
  it("takes a full engine after some looks, and not before", () => {
    const choose = preferCapacity(({ withRoom }) =>
      withRoom ? undefined : "full"
    );
    const looks = Array.from({ length: 9 }, () => choose());
    expect(looks.slice(0, 8)).to.deep.equal(new Array(8).fill(undefined));
    expect(looks[8]).to.equal("full");
  });

  it("counts no look while nothing can be reached", () => {
    let isBack = false;
    const choose = preferCapacity(({ withRoom }) =>
      isBack && !withRoom ? "full" : undefined
    );
    for (let look = 0; look < 50; look++) choose();
    isBack = true;
    expect(choose()).to.equal(undefined);
  });
});
