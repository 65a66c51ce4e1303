import { expect } from "chai";
import { ForwardingHarness } from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";

function makeHarness(maxPauseMilliseconds?: number): ForwardingHarness {
  const route = makeRoute({
    repeat: "stream",
    targetMilliseconds: 514,
    shares: [{ pool: ENGINES, weight: 1 }],
    maxPauseMilliseconds,
  });
  const harness = new ForwardingHarness(makeConfiguration({ routes: [route] }));
  const { registry } = harness.dependencies;
  registry.upsert(makeEngine("prefill", "prefill"));
  registry.upsert(makeEngine("decode", "decode"));
  return harness;
}

describe("the bound on stream pauses", () => {
  // Earlier deployments send no work factor or allow any pause; their prompts
  // are still prefilled inline up to a tenth of the target.
  for (
    const { name, workFactor, maxPause, engine } of [
      { name: "both", workFactor: 1, maxPause: 200, engine: "prefill" },
      { name: "no work factor", maxPause: 200, engine: "decode" },
      { name: "no bound", workFactor: 1, engine: "decode" },
    ]
  ) {
    it(`decides on the handover of a prompt with ${name}`, async () => {
      const harness = makeHarness(maxPause);
      harness.dependencies.loadReports.record(makeEngine("decode", "decode"), {
        running: 0,
        waiting: 0,
        slots: 32,
        workFactor,
        sentAt: 0,
        receivedAt: 0,
      });
      const prompt = makePrompt("bylaw", { shared: 4_000, own: 2_000 });
      await harness.submit(makeRequest({ prompt }));
      expect(harness.sent[0].options.endpoint).to.equal(engine);
    });
  }
});
