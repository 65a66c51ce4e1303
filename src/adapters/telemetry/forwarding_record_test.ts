import { expect } from "chai";
import { Registry } from "prom-client";
import { showRepeats } from "./mod.ts";

describe("showRepeats", () => {
  // The engines get more repeats than the fleet allows, and on-call engineers
  // look which entry sends them and whether it knows.
  it("tells how far each pool's part is used up at that moment", async () => {
    const registry = new Registry();
    let counted = 3;
    showRepeats(registry, () => [{ pool: "engines", counted, allowed: 20.5 }]);
    counted = 4;
    const output = await registry.metrics();
    expect(output).to.include('filbertshore_repeats{pool="engines"} 4');
    expect(output).to.include(
      'filbertshore_repeats_allowed{pool="engines"} 20.5',
    );
  });
});
