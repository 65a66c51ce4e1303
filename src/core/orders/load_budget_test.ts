import { expect } from "chai";
import { hashToUnit } from "../membership/mod.ts";
import { loadSpread, pickLoads } from "./mod.ts";

describe("pickLoads", () => {
  const candidates = Array.from({ length: 10 }, (_, index) => ({
    endpoint: `triage-${index}`,
    needsLoading: index !== 5,
  }));

  // New weights are published for a pool. Ordered all at once, every engine
  // would be out of service while it waits for its sliver of the weight store.
  it("lets a few load at a time and the others change at once", () => {
    const picked = pickLoads(candidates, {
      loading: new Set(),
      mostAtOnce: 2,
    });
    expect(picked.map((one) => one.endpoint)).to.deep.equal([
      "triage-0",
      "triage-1",
      "triage-5",
    ]);
  });

  // A planner takes over in the middle of a roll-out. Counting from nothing it
  // would let twice as many load as the store can serve.
  it("counts the loads that are under way already", () => {
    const picked = pickLoads(candidates, {
      loading: new Set(["triage-8", "triage-9"]),
      mostAtOnce: 2,
    });
    expect(picked.map((one) => one.endpoint)).to.deep.equal([
      "triage-5",
      "triage-8",
      "triage-9",
    ]);
  });
});

describe("loadSpread", () => {
  // A zone comes back with 60 empty engines whose orders stand on the log, so
  // no planner paces them; the store would get 60 loads at once.
  it("spreads the loads of a zone that comes back", () => {
    const loadMilliseconds = 60_000;
    const starts = Array.from({ length: 60 }, (_, index) =>
      loadSpread({
        engines: 60,
        mostAtOnce: 4,
        loadMilliseconds,
        place: hashToUnit(`triage-${index}`),
      }));
    const running = starts.map((at) =>
      starts.filter((other) => other <= at && at < other + loadMilliseconds)
        .length
    );
    // 4 on average; random places bunch up to two or three times as many.
    expect(Math.max(...running)).to.be.at.most(12);
  });

  it("makes nobody wait where all may load", () => {
    const options = { engines: 3, mostAtOnce: 4, place: 0.9 };
    expect(loadSpread({ ...options, loadMilliseconds: 60_000 })).to.equal(0);
  });
});
