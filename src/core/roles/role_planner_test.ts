import { expect } from "chai";
import { describe, it } from "mocha";
import { type EndpointId, identifier } from "../identity/mod.ts";
import {
  allocateWork,
  type ClassDemand,
  costBasedPolicy,
  type PlannedEndpoint,
  type PlannerInput,
  type Role,
  ROLE_PROFILES,
  type RoleChange,
  RolePlanner,
  thresholdPolicy,
} from "./mod.ts";

const ENGINE = {
  slots: 16,
  prefillTokensPerSecond: 8_000,
  millisecondsBetweenTokens: 20,
  keyValueCacheTokens: 120_000,
  roleChangeSeconds: 8,
};

const LONG_PROMPTS: ClassDemand[] = [{
  className: "verdict",
  arrivalsPerSecond: 6,
  promptTokens: 9_000,
  outputTokens: 30,
  value: 1,
}];

function endpoints(roles: readonly Role[]): PlannedEndpoint[] {
  return roles.map((role, index) => ({
    endpoint: identifier<EndpointId>(`engine-${index}`),
    availabilityZone: `zone-${index % 3}`,
    role,
    serving: true,
  }));
}

const DECODE_ENGINES = endpoints(Array<Role>(9).fill("decode"));

function plannerInput(
  now: number,
  changes: {
    endpoints?: readonly PlannedEndpoint[];
    demandAgeMilliseconds?: number;
    rules?: PlannerInput["rules"];
    logAvailable?: boolean;
  } = {},
): PlannerInput {
  return {
    now,
    rules: changes.rules ?? {},
    logAvailable: changes.logAvailable ?? true,
    pools: [{
      pool: "pool",
      engine: ENGINE,
      endpoints: changes.endpoints ?? DECODE_ENGINES,
      demand: LONG_PROMPTS,
      demandAgeMilliseconds: changes.demandAgeMilliseconds ?? 0,
    }],
  };
}

/** Plans every two seconds and returns all changes. */
function planFor(
  seconds: number,
  changes: Parameters<typeof plannerInput>[1] = {},
  planner = new RolePlanner(),
): RoleChange[] {
  const all: RoleChange[] = [];
  for (let now = 0; now < seconds * 1_000; now += 2_000) {
    all.push(...planner.plan(plannerInput(now, changes)));
  }
  return all;
}

describe("RolePlanner", () => {
  it("moves engines to the roles that the mix needs", () => {
    const [first] = planFor(60);
    expect(first.from).to.equal("decode");
    expect(first.to).to.be.oneOf(["prefill", "mixed"]);
  });

  // The entries can't reach the planner, or the log accepts no orders. Planning
  // on old demand would take engines out of service for a mix that no longer
  // exists.
  it("plans nothing on old demand, without the log, or when disabled", () => {
    expect(planFor(60, { demandAgeMilliseconds: 20_000 })).to.deep.equal([]);
    expect(planFor(60, { logAvailable: false })).to.deep.equal([]);
    expect(planFor(60, { rules: { enabled: false } })).to.deep.equal([]);
  });

  // An order is issued and the engine still drains, so the reports have not
  // changed. A planner that reacts to the missing effect orders engine after
  // engine until the whole zone is out of service.
  it("counts changes in progress as complete and as out of service", () => {
    const inProgress = DECODE_ENGINES.map((one, index) => ({
      ...one,
      changingTo: index < 1 ? "prefill" as const : undefined,
    }));
    const rules = { mostOutAtOnceShare: 0.1 };
    expect(planFor(60, { endpoints: inProgress, rules })).to.deep.equal([]);
  });

  it("keeps the minimum of a role and does not move fixed engines", () => {
    const fixed = DECODE_ENGINES.map((one) => ({ ...one, fixedRole: true }));
    expect(planFor(60, { endpoints: fixed })).to.deep.equal([]);
    expect(planFor(60, { rules: { fewestPerRole: 9 } })).to.deep.equal([]);
  });

  it("makes fewer changes at a higher weight", () => {
    const light = planFor(60, { rules: { roleChangeWeight: 0 } });
    const heavy = planFor(60, { rules: { roleChangeWeight: 1_000 } });
    expect(light.length).to.be.greaterThan(0);
    expect(heavy).to.deep.equal([]);
  });

  it("accepts other policies", () => {
    const planner = new RolePlanner({ policy: () => thresholdPolicy() });
    expect(planFor(4, {}, planner)[0].to).to.equal("mixed");
  });

  // A class ends. Kept at its last rate, it would attract engines indefinitely.
  it("decays a class that is no longer reported", () => {
    const policy = costBasedPolicy();
    const planner = new RolePlanner({ policy: () => policy });
    planFor(6, {}, planner);
    const laterPlans = Array.from({ length: 40 }, (_, index) => {
      const { pools, ...rest } = plannerInput(10_000 + index * 2_000);
      return planner.plan({
        ...rest,
        pools: pools.map((pool) => ({ ...pool, demand: [] })),
      });
    });
    expect(laterPlans.slice(20).flat()).to.deep.equal([]);
  });
});

describe("allocateWork", () => {
  it("allocates each class to the roles that suit it", () => {
    const letters = {
      ...LONG_PROMPTS[0],
      className: "letter",
      promptTokens: 100,
      outputTokens: 600,
    };
    const { rates, value } = allocateWork(
      [{ ...LONG_PROMPTS[0], arrivalsPerSecond: 1.5 }, {
        ...letters,
        arrivalsPerSecond: 2,
      }],
      { mixed: 0, prefill: 2, decode: 2 },
      { engine: ENGINE, profiles: ROLE_PROFILES, usableShare: 1 },
    );
    expect(value).to.be.closeTo(3.5, 1e-6);
    expect(rates[0][1]).to.be.greaterThan(1.2);
    expect(rates[1][2]).to.be.greaterThan(1.2);
  });
});
