import { expect } from "chai";
import { describe, it } from "mocha";
import { type EndpointId, identifier } from "../identity/mod.ts";
import { chooseSubset, EndpointHealth, PrefixIndex } from "./mod.ts";

const HEALTH_LIMITS = {
  maxFailureShare: 0.4,
  minAttempts: 8,
  maxSlowness: 3,
  initialEjectionMilliseconds: 2_000,
  maxEjectionMilliseconds: 60_000,
};

describe("chooseSubset", () => {
  const candidates = Array.from({ length: 1_000 }, (_, index) => ({
    endpoint: `endpoint-${index}`,
    availabilityZone: `zone-${index % 4}`,
  }));
  const options = {
    salt: "entry-1",
    availabilityZone: "zone-2",
    maxEndpoints: 24,
    ownZoneShare: 0.67,
  };

  it("is small and mostly in the entry's own zone", () => {
    const subset = chooseSubset(candidates, options);
    const own = subset.filter((one) => one.availabilityZone === "zone-2");
    expect(subset.length).to.equal(24);
    expect(own.length).to.equal(16);
  });

  // A replica is replaced. If that changed every entry's subset, all of them
  // would lose their views of their endpoints at the same moment.
  it("keeps the other endpoints when one is removed", () => {
    const before = chooseSubset(candidates, options);
    const left = candidates.filter((one) => one !== before[3]);
    const after = new Set(chooseSubset(left, options));
    expect(before.filter((one) => !after.has(one)).length).to.equal(1);
  });

  it("fills up from the own zone if the others have too few", () => {
    const own = candidates.filter((one) => one.availabilityZone === "zone-2");
    expect(chooseSubset(own, options).length).to.equal(24);
  });
});

describe("PrefixIndex", () => {
  const one = identifier<EndpointId>("one");
  const other = identifier<EndpointId>("other");

  it("finds the endpoint of the longest known prefix", () => {
    const index = new PrefixIndex(10);
    index.record(one, ["a", "ab"]);
    index.record(other, ["a"]);
    expect(index.find(["a", "ab", "abc", "abcd"])).to.deep.equal({
      endpoint: one,
      share: 0.5,
    });
  });

  it("removes a prefix only for the endpoint that dropped it", () => {
    const index = new PrefixIndex(10);
    index.record(one, ["a"]);
    index.remove(other, ["a"]);
    expect(index.find(["a"])?.endpoint).to.equal(one);
    index.remove(one, ["a"]);
    expect(index.find(["a"])).to.equal(undefined);
  });

  it("bounds the number of prefixes", () => {
    const index = new PrefixIndex(3);
    index.record(one, ["a", "b", "c", "d", "e"]);
    expect(index.size).to.equal(3);
  });
});

describe("EndpointHealth", () => {
  const fast = { ratioToPredicted: 1, ratioToRated: 1 };
  const slow = { ratioToPredicted: 1, ratioToRated: 6 };

  it("ejects a failing endpoint", () => {
    const health = new EndpointHealth(HEALTH_LIMITS);
    for (let index = 0; index < 10; index++) health.recordFailure(0);
    expect(health.shouldEject(1)).to.equal(true);
  });

  it("ejects a slow endpoint even if its reports predict it", () => {
    const health = new EndpointHealth(HEALTH_LIMITS);
    for (let index = 0; index < 20; index++) health.recordSuccess(slow, 0);
    expect(health.shouldEject(1)).to.equal(true);
  });

  // The whole pool is slow because it is loaded. Ejecting endpoints then slows
  // the others further.
  it("does not eject an endpoint that is like the others", () => {
    const health = new EndpointHealth(HEALTH_LIMITS);
    for (let index = 0; index < 20; index++) health.recordSuccess(slow, 0);
    expect(health.shouldEject(5)).to.equal(false);
  });

  // Nothing ever completes at the endpoint: callers give up at their deadlines.
  it("learns from callers that gave up", () => {
    const health = new EndpointHealth(HEALTH_LIMITS);
    for (let index = 0; index < 20; index++) health.recordCancellation(slow, 0);
    expect(health.shouldEject(1)).to.equal(true);
  });

  it("probes with one attempt at a time and follows its outcome", () => {
    const health = new EndpointHealth(HEALTH_LIMITS);
    health.eject(0);
    expect(health.mayProbe(1_999)).to.equal(false);
    expect(health.mayProbe(2_000)).to.equal(true);
    health.recordProbeStart();
    expect(health.mayProbe(2_000)).to.equal(false);
    health.recordSuccess(slow, 2_500);
    expect(health.mayProbe(6_000)).to.equal(false);
    expect(health.mayProbe(6_500)).to.equal(true);
    health.recordProbeStart();
    health.recordSuccess(fast, 7_000);
    expect(health.ejected).to.equal(false);
  });
});
