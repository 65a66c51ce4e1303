import { expect } from "chai";
import { ForwardingHarness } from "../../../test/support/forwarding_harness.ts";
import { SimulatedEngines } from "../../../test/support/simulated_engines.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  prefillShareForDemand,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import { identifier, type RequestId } from "../../core/identity/mod.ts";

const ENGINE_COUNT = 29;
const URGENT_PER_SECOND = 160;
const SECONDS = 4;
const TARGET_MILLISECONDS = 156;

function makeEngines(prefillShare: number): RegisteredEndpoint[] {
  const prefillEngines = Math.round(prefillShare * ENGINE_COUNT);
  return Array.from(
    { length: ENGINE_COUNT },
    (_, index) =>
      makeEngine(
        `engine-${index}`,
        index < prefillEngines ? "prefill" : "decode",
      ),
  );
}

/** Share of a burst of urgent responses that start within their target. */
async function onTimeShare(prefillShare: number): Promise<number> {
  const harness = new ForwardingHarness(
    makeConfiguration({
      routes: [makeRoute({
        repeat: "stream",
        timeoutMilliseconds: 15_000,
        targetMilliseconds: TARGET_MILLISECONDS,
        shares: [{ pool: ENGINES, weight: 1 }],
      })],
    }),
    { repeats: 1_000 },
  );
  new SimulatedEngines(harness);
  for (const engine of makeEngines(prefillShare)) {
    harness.dependencies.registry.upsert(engine);
  }
  let asked = 0;
  let onTime = 0;
  for (let time = 0; time < SECONDS * 1_000; time += 10) {
    const due = Math.floor((time + 10) * URGENT_PER_SECOND / 1_000);
    for (; asked < due; asked++) {
      const sink = await harness.submit(makeRequest({
        id: identifier<RequestId>(`request-${asked}`),
        prompt: makePrompt(`subject-${asked}`, { shared: 80, own: 140 }),
        deadlineMilliseconds: 15_000,
      }));
      harness.timer.after(TARGET_MILLISECONDS, () => {
        if (sink.status === 200) onTime += 1;
      });
    }
    await harness.timer.advance(10);
  }
  await harness.timer.advance(TARGET_MILLISECONDS);
  return onTime / asked;
}

describe("roles in a burst of urgent answers", () => {
  const share = prefillShareForDemand(makeEngines(0.7), undefined);

  it("provide a slot for nearly every one from the start", async () => {
    expect(await onTimeShare(share)).to.be.at.least(0.95);
  });

  it("would leave many without a slot with seven of ten as prefill engines", async () => {
    expect(await onTimeShare(0.7)).to.be.below(0.95);
  });
});
