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
    mostPerPool: 16,
  });
}

describe("chooseEndpoints", () => {
  it("keeps an entry's part of the fleet bounded", () => {
    const chosen = choose("entry-0");
    expect(chosen.sides.size).to.equal(16);
    expect(chosen.share).to.be.closeTo(16 / 90, 1e-9);
  });

  it("uses the whole of a small fleet", () => {
    const chosen = choose("entry-0", 10);
    expect(chosen.sides.size).to.equal(10);
    expect(chosen.share).to.equal(1);
  });

  // The entry's own availability zone is lost. With its whole part in there it
  // could not send its callers' requests anywhere.
  it("keeps some endpoints of other zones to spill to", () => {
    const zones = choose("entry-0").inventory.pools[0].endpoints.map((each) =>
      each.availabilityZone
    );
    expect(zones.filter((zone) => zone === "a")).to.have.length(12);
    expect(zones.filter((zone) => zone !== "a")).to.have.length(4);
  });

  it("gives different entries different parts", () => {
    const [one, other] = ["entry-0", "entry-1"].map((entry) =>
      [...choose(entry).sides.keys()].join()
    );
    expect(one).not.to.equal(other);
  });

  it("sends nothing to a withdrawn endpoint", () => {
    const withdrawn = inventory(3);
    withdrawn.pools[0].endpoints[0].state = "withdrawn";
    const { sides } = chooseEndpoints(withdrawn, {
      entry: "entry-0",
      availabilityZone: "a",
      mostPerPool: 16,
    });
    expect([...sides.keys()]).to.deep.equal(["triage-1", "triage-2"]);
  });
});
