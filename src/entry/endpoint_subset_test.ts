import { expect } from "chai";
import type { Inventory } from "../generated/inventory.ts";
import { chooseEndpoints } from "./endpoint_subset.ts";

const ZONES = ["a", "b", "c"];

function inventory(endpoints: number): Inventory {
  return {
    region: "klang-valley",
    availabilityZones: ["a", "b", "c"],
    pools: [{
      name: "triage-llm",
      kind: "engine",
      endpoints: Array.from({ length: endpoints }, (_, index) => ({
        id: `triage-${index}`,
        availabilityZone: ZONES[index % ZONES.length],
        side: `triage-${index}:1`,
      })),
    }],
  };
}

function choose(entry: string, endpoints = 90) {
  return chooseEndpoints(inventory(endpoints), {
    entry,
    availabilityZone: "a",
    maxPerPool: 16,
  });
}

describe("chooseEndpoints", () => {
  it("limits the size of an entry's subset", () => {
    const chosen = choose("entry-0");
    expect(chosen.sides.size).to.equal(16);
    expect(chosen.share).to.be.closeTo(16 / 90, 1e-9);
  });

  it("uses all endpoints of a small fleet", () => {
    const chosen = choose("entry-0", 10);
    expect(chosen.sides.size).to.equal(10);
    expect(chosen.share).to.equal(1);
  });

  // If the entry's whole subset were in its own availability zone, it could not
  // place any request when that zone is lost.
  it("includes some endpoints of other zones for failover", () => {
    const zones = choose("entry-0").inventory.pools[0].endpoints.map((each) =>
      each.availabilityZone
    );
    expect(zones.filter((zone) => zone === "a")).to.have.length(12);
    expect(zones.filter((zone) => zone !== "a")).to.have.length(4);
  });

  it("selects different subsets for different entries", () => {
    const [one, other] = ["entry-0", "entry-1"].map((entry) =>
      [...choose(entry).sides.keys()].join()
    );
    expect(one).not.to.equal(other);
  });

  it("excludes a withdrawn endpoint", () => {
    const withdrawn = inventory(3);
    withdrawn.pools[0].endpoints[0].state = "withdrawn";
    const { sides } = chooseEndpoints(withdrawn, {
      entry: "entry-0",
      availabilityZone: "a",
      maxPerPool: 16,
    });
    expect([...sides.keys()]).to.deep.equal(["triage-1", "triage-2"]);
  });
});
