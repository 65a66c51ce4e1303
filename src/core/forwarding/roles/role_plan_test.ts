import { expect } from "chai";
import { makeEngine } from "../../../../test/support/forwarding_fixtures.ts";
import { type AvailabilityZoneId, identifier } from "../../identity/mod.ts";
import { planRoles, type RegisteredEndpoint } from "../mod.ts";
import { prefillShareBySlots } from "./role_plan.ts";

const NO_CHANGES = new Map();
const NO_OPEN_REQUESTS = () => 0;

function engineInZone(id: string, role: "prefill" | "decode", zone: string) {
  return makeEngine(id, role, {
    availabilityZone: identifier<AvailabilityZoneId>(zone),
  });
}

function planHalfPrefill(engines: readonly RegisteredEndpoint[]) {
  return planRoles({
    engines,
    openRequests: NO_OPEN_REQUESTS,
    changing: NO_CHANGES,
    prefillShare: 0.5,
  });
}

describe("planRoles", () => {
  it("changes nothing while the counts are within tolerance", () => {
    expect(
      planHalfPrefill([makeEngine("a", "prefill"), makeEngine("b", "decode")]),
    )
      .to.deep.equal([]);
  });

  it("leaves a single engine unchanged", () => {
    expect(planHalfPrefill([makeEngine("a", "decode")])).to.deep.equal([]);
  });

  // All prefill engines are in one zone. When that zone fails, every long
  // prompt would be refused until roles have changed.
  it("picks engines of the zone that has none of the role", () => {
    const changes = planHalfPrefill([
      engineInZone("a", "prefill", "one"),
      engineInZone("b", "decode", "one"),
      engineInZone("c", "decode", "two"),
      engineInZone("d", "decode", "two"),
    ]);
    expect(changes.map(({ endpoint, role }) => [endpoint.id, role]))
      .to.deep.equal([["c", "prefill"]]);
  });

  it("orders 3,000 engines by zone with at most two lookups for each", () => {
    const engines = Array.from(
      { length: 3_000 },
      (_, index) => engineInZone(`i-${index}`, "decode", `zone-${index % 5}`),
    );
    let lookups = 0;
    const changes = planRoles({
      engines,
      openRequests: () => {
        lookups += 1;
        return 0;
      },
      changing: NO_CHANGES,
      prefillShare: 0.5,
    });
    expect(changes).to.have.length(1_500);
    expect(lookups).to.be.at.most(2 * engines.length);
  });

  it("counts engines whose change is in progress by their new role", () => {
    const engines = ["a", "b", "c", "d"].map((id) => makeEngine(id, "decode"));
    const changes = planRoles({
      engines,
      openRequests: NO_OPEN_REQUESTS,
      changing: new Map([[engines[0].id, "prefill"], [
        engines[1].id,
        "prefill",
      ]]),
      prefillShare: 0.5,
    });
    expect(changes).to.deep.equal([]);
  });

  it("picks the least busy engine, which drains first", () => {
    const engines = ["a", "b"].map((id) => makeEngine(id, "decode"));
    const [change] = planRoles({
      engines,
      openRequests: (id) => id === "a" ? 9 : 1,
      changing: NO_CHANGES,
      prefillShare: 0.5,
    });
    expect(change.endpoint.id).to.equal("b");
  });
});

describe("planRoles after a loss", () => {
  // One of six engines crashes for five seconds. If another one changed its
  // role, urgent streams would wait for slots on the only remaining decode
  // engine.
  it("leaves the other engines unchanged", () => {
    const engines = [
      ...["a", "b", "c"].map((id) => makeEngine(id, "prefill")),
      ...["d", "e"].map((id) => makeEngine(id, "decode")),
    ];
    const changes = planRoles({
      engines,
      openRequests: NO_OPEN_REQUESTS,
      changing: NO_CHANGES,
      prefillShare: 0.7,
    });
    expect(changes).to.deep.equal([]);
  });

  // Every prefill engine is lost. Without a change each long prompt would be
  // refused until they are back.
  it("replaces a role that has no engine left", () => {
    const engines = ["d", "e"].map((id) => makeEngine(id, "decode"));
    const changes = planRoles({
      engines,
      openRequests: NO_OPEN_REQUESTS,
      changing: NO_CHANGES,
      prefillShare: 0.7,
    });
    expect(changes).to.have.length(1);
  });

  it("takes no engine from answers that need its slots", () => {
    const engines = ["a", "b", "c", "d"].map((id) => makeEngine(id, "decode"));
    const changes = planRoles({
      engines,
      openRequests: () => 20,
      changing: NO_CHANGES,
      prefillShare: 0.7,
    });
    expect(changes).to.deep.equal([]);
  });
});

describe("prefillShareBySlots", () => {
  function engines(count: number, slots: number) {
    return Array.from(
      { length: count },
      (_, index) => makeEngine(`engine-${index}`, "decode", { slots }),
    );
  }

  it("gives prompts 70% of the engines where slots are many", () => {
    expect(prefillShareBySlots(engines(8, 64))).to.equal(0.7);
    expect(prefillShareBySlots(engines(8, 128))).to.equal(0.7);
  });

  // 42 answers per second take three seconds each, with three times as many in
  // a burst. On nine of 29 engines they would wait for slots.
  it("gives answers 40% of the engines at 32 slots", () => {
    expect(prefillShareBySlots(engines(29, 32))).to.be.closeTo(0.6, 0.001);
  });

  // Engines run eight answers at once, and 90 urgent ones of three seconds each
  // are open. On three of ten engines urgent callers would wait for a second,
  // while the prefill engines are idle for 80% of the time.
  it("gives answers more engines where each has few slots", () => {
    const share = prefillShareBySlots(engines(34, 8));
    expect(Math.round((1 - share) * 34) * 8).to.be.at.least(100);
  });

  it("falls with the slots, but not below 60%", () => {
    let previousShare = 0;
    for (const slots of [1, 4, 8, 16, 24, 32, 64]) {
      const share = prefillShareBySlots(engines(34, slots));
      expect(share).to.be.within(Math.max(0.6, previousShare), 0.7);
      previousShare = share;
    }
  });
});
