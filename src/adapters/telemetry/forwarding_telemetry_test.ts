import { expect } from "chai";
import { Registry } from "prom-client";
import { registerRetryGauges, registerShareGauge } from "./mod.ts";

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

describe("registerShareGauge", () => {
  // Workspaces that are no longer among the largest must leave the output, or
  // its size grows with every workspace of the day.
  it("exports only the workspaces that are the largest now", async () => {
    const registry = new Registry();
    let workspace = "first";
    registerShareGauge(
      registry,
      () => [{ pool: "engines", workspace, share: 0.5 }],
    );
    await registry.metrics();
    workspace = "second";
    const output = await registry.metrics();
    expect(output).to.include(
      'filbertshore_workspace_share{pool="engines",workspace="second"} 0.5',
    );
    expect(output).to.not.include("first");
  });
});
