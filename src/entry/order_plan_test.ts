import { expect } from "chai";
import type { EndpointOrder } from "../core/authority/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { RoleChange } from "../core/roles/mod.ts";
import type { Inventory, Pool } from "../generated/inventory.ts";
import type { SideReport } from "../generated/messages.ts";
import { missingOrders } from "./order_plan.ts";
import type { OrderPlanOptions } from "./order_plan.ts";

function inventory(pool: Partial<Pool> = {}): Inventory {
  return {
    region: "klang-valley",
    availabilityZones: ["petaling"],
    pools: [{
      name: "triage-llm",
      kind: "engine",
      endpoints: ["t-0", "t-1", "t-2", "t-3"].map((id) => ({
        id,
        availabilityZone: "petaling",
        side: `${id}:1`,
      })),
      ...pool,
    }],
  };
}

function report(endpoint: string, more: Partial<SideReport> = {}): SideReport {
  return {
    side: endpoint,
    incarnation: "1",
    endpoint,
    state: "serving",
    role: "mixed",
    load: { running: 0, waiting: 0, limit: 1, millisecondsBetweenTokens: 0 },
    configurationVersion: 1,
    ordersRead: 0,
    orderTaken: -1,
    orderApplied: -1,
    ...more,
  };
}

function order(more: Partial<EndpointOrder> = {}): EndpointOrder {
  return { offset: 5, claim: 1, number: 0, target: { role: "mixed" }, ...more };
}

function plan(options: Partial<OrderPlanOptions>) {
  return missingOrders({
    inventory: inventory(),
    currentOrders: new Map(),
    reports: new Map(
      ["t-0", "t-1", "t-2", "t-3"].map((id) => [id, report(id)]),
    ),
    roleChanges: [],
    maxConcurrentLoads: 2,
    ...options,
  });
}

const TO_PREFILL: RoleChange = {
  pool: "triage-llm",
  endpoint: identifier("t-1"),
  from: "mixed",
  to: "prefill",
  netGain: 1,
};

describe("missingOrders", () => {
  it("creates no order if every engine matches its target", () => {
    expect(plan({})).to.deep.equal([]);
  });

  // Guards against a role change of an engine whose state is only unknown yet,
  // which takes it out of service.
  it("creates no order for an engine that its side has not observed", () => {
    const unobserved = report("t-0", { role: undefined });
    const reports = new Map([["t-0", unobserved]]);
    expect(plan({ reports })).to.deep.equal([]);
    expect(plan({ reports, roleChanges: [TO_PREFILL] })).to.deep.equal([]);
    const loaded = inventory({ weights: "w-2" });
    expect(plan({ reports, inventory: loaded })).to.deep.equal([]);
  });

  it("orders a requested role change", () => {
    expect(plan({ roleChanges: [TO_PREFILL] })).to.deep.equal([
      { endpoint: "t-1", number: 0, target: { role: "prefill" } },
    ]);
  });

  // A planner fails after it has ordered a change, and another takes over while
  // the engine is still draining. A second order for the same change would take
  // the engine out of service twice.
  it("does not repeat an order that is being carried out", () => {
    const standing = new Map([["t-1", order({ target: { role: "prefill" } })]]);
    expect(plan({ currentOrders: standing })).to.deep.equal([]);
  });

  it("numbers an order after the endpoint's last one", () => {
    const standing = new Map([["t-1", order({ number: 4 })]]);
    const [next] = plan({ currentOrders: standing, roleChanges: [TO_PREFILL] });
    expect(next.number).to.equal(5);
  });

  // New weights are published for a whole pool. If every engine loaded them at
  // once, the pool would be out of service and the weight store would get all
  // requests at once.
  it("limits the engines that load weights at the same time", () => {
    const wanted = inventory({ weights: "v2" });
    expect(plan({ inventory: wanted })).to.have.length(2);
    const standing = new Map([
      ["t-0", order({ target: { role: "mixed", weights: "v2" } })],
    ]);
    expect(
      plan({ inventory: wanted, currentOrders: standing }).map((each) =>
        each.endpoint
      ),
    )
      .to.deep.equal(["t-1"]);
  });

  it("ignores role changes for an engine with a fixed role", () => {
    const fixed = inventory();
    fixed.pools[0].endpoints[1].fixedRole = true;
    expect(plan({ inventory: fixed, roleChanges: [TO_PREFILL] })).to.deep.equal(
      [],
    );
  });

  it("creates no order for a withdrawn engine", () => {
    const withdrawn = inventory({ weights: "v2" });
    for (const endpoint of withdrawn.pools[0].endpoints) {
      endpoint.state = "withdrawn";
    }
    expect(plan({ inventory: withdrawn })).to.deep.equal([]);
  });
});
