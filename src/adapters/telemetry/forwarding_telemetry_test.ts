import { expect } from "chai";
import { Registry } from "prom-client";
import { identifier, type ServiceName } from "../../core/identity/mod.ts";
import { registerPlannedRolesGauges } from "./forwarding_telemetry.ts";
import { registerRetryGauges } from "./mod.ts";

describe("registerPlannedRolesGauges", () => {
  // Roles change, and operators need to see which work the plan was made for.
  it("exports the work and the plan of each pool", async () => {
    const registry = new Registry();
    registerPlannedRolesGauges(registry, () => [{
      pool: identifier<ServiceName>("engines"),
      prefillEngines: 4.5,
      decodeEngines: 2.5,
      responseSteps: 3,
      handoverShare: 1,
      openResponses: 90,
      stepMilliseconds: 12,
      observedMilliseconds: 9_000,
      plannedPrefillEngines: 6,
    }]);
    const output = await registry.metrics();
    for (
      const [name, value] of [
        ["prefill_work_engines", 4.5],
        ["decode_work_engines", 2.5],
        ["open_responses", 90],
        ["empty_step_seconds", 0.012],
        ["planned_prefill_engines", 6],
      ]
    ) {
      expect(output).to.include(
        `filbertshore_role_${name}{pool="engines"} ${value}`,
      );
    }
  });
});

describe("registerRetryGauges", () => {
  // When engines receive more retries than the fleet allows, on-call engineers
  // need to see which entry sends them and how close it is to its limit.
  it("exports the current retries of each pool and their limit", async () => {
    const registry = new Registry();
    let counted = 3;
    registerRetryGauges(
      registry,
      () => [{ pool: "engines", counted, allowed: 20.5 }],
    );
    counted = 4;
    const output = await registry.metrics();
    expect(output).to.include('filbertshore_repeats{pool="engines"} 4');
    expect(output).to.include(
      'filbertshore_repeats_allowed{pool="engines"} 20.5',
    );
  });
});
