import { expect } from "chai";
import { Registry } from "prom-client";
import { registerRetryGauges } from "./mod.ts";

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
