import { expect } from "chai";
import { hashToUnit } from "../membership/mod.ts";
import { loadStartDelay, selectWithinLoadBudget } from "./mod.ts";

describe("Load budget", () => {
  const candidates = Array.from({ length: 10 }, (_, index) => ({
    endpoint: `triage-${index}`,
    needsLoading: index !== 5,
  }));

  // New weights are published for a pool. If all engines were ordered to load
  // at once, every one would be out of service while it waits for its part of
  // the weight store's rate.
  it("limits concurrent loads and lets other changes through", () => {
    const picked = selectWithinLoadBudget(candidates, {
      loading: new Set(),
      maxConcurrentLoads: 2,
    });
    expect(picked.map((one) => one.endpoint)).to.deep.equal([
      "triage-0",
      "triage-1",
      "triage-5",
    ]);
  });

  // A planner takes over during a rollout. If it ignored the loads in progress,
  // it would allow twice as many as the store can serve.
  it("counts the loads already in progress", () => {
    const picked = selectWithinLoadBudget(candidates, {
      loading: new Set(["triage-8", "triage-9"]),
      maxConcurrentLoads: 2,
    });
    expect(picked.map((one) => one.endpoint)).to.deep.equal([
      "triage-5",
      "triage-8",
      "triage-9",
    ]);
  });
});

describe("Load start delay", () => {
  // A zone restarts with 60 empty engines whose orders are already on the log,
  // so no planner limits them. Without the delay the store gets 60 loads at
  // once.
  it("spreads the loads of a zone that restarts", () => {
    const loadMilliseconds = 60_000;
    const starts = Array.from({ length: 60 }, (_, index) =>
      loadStartDelay({
        engines: 60,
        maxConcurrentLoads: 4,
        loadMilliseconds,
        unitHash: hashToUnit(`triage-${index}`),
      }));
    const running = starts.map((at) =>
      starts.filter((other) => other <= at && at < other + loadMilliseconds)
        .length
    );
    // 4 on average; random values cluster at up to two or three times that.
    expect(Math.max(...running)).to.be.at.most(12);
  });

  it("does not delay a load if all may run concurrently", () => {
    const options = { engines: 3, maxConcurrentLoads: 4, unitHash: 0.9 };
    expect(loadStartDelay({ ...options, loadMilliseconds: 60_000 })).to.equal(
      0,
    );
  });
});
