import { expect } from "chai";
import { InProcessRegion } from "../support/in_process_region.ts";

describe("A pool that is larger than an entry's share", () => {
  // A single entry serves a pool of 32 equal engines. Engines that it never
  // uses waste capacity while requests wait for the others.
  it("has no idle engine", async () => {
    const region = new InProcessRegion({
      entries: 1,
      endpoints: 32,
      engineSlots: 64,
      tokens: 300,
      millisecondsBetweenTokens: 100,
    });
    await region.start();
    const sink = { token: () => true, response() {}, finish() {} };
    for (let index = 0; index < 800; index++) {
      region.generate({ entry: 0, workspace: `w${index % 50}` }, sink);
      if (index % 8 === 0) await region.timer.advance(20);
    }
    await region.timer.advance(3_000);
    const generations = region.engines.map((engine) => engine.generations);
    region.fleet.halt();
    expect(Math.min(...generations)).to.be.above(0);
  });
});
