import { expect } from "chai";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { EngineSlowness } from "./engine_slowness.ts";

describe("EngineSlowness", () => {
  const engine = identifier<EndpointId>("engine");
  const others = ["second", "third"].map((id) => identifier<EndpointId>(id));
  let timer: ManualTimerService;
  let slowness: EngineSlowness;

  beforeEach(() => {
    timer = new ManualTimerService();
    slowness = new EngineSlowness(timer);
    for (const other of others) {
      slowness.record(other, { milliseconds: 100, predicted: 100 });
    }
  });

  function recordPrefills(ratio: number, times: number): void {
    for (let count = 0; count < times; count++) {
      slowness.record(engine, { milliseconds: 100 * ratio, predicted: 100 });
    }
  }

  // An engine takes five times as long for some seconds. Predicted at the speed
  // of its pool it would get its full share of the prompts, and all of them be
  // late.
  it("detects a slow engine within a few prefills", () => {
    recordPrefills(5, 4);
    expect(slowness.factor(engine)).to.be.within(2.5, 5.5);
  });

  // Engines evict parts that are assumed to be cached, and every prefill takes
  // three times as long as predicted. Counted as slow, all engines would look
  // full, and callers would be refused while engines have capacity.
  it("detects no slow engine where all take equally longer", () => {
    for (let count = 0; count < 10; count++) {
      recordPrefills(3, 1);
      for (const other of others) {
        slowness.record(other, { milliseconds: 300, predicted: 100 });
      }
    }
    expect(slowness.factor(engine)).to.equal(1);
  });

  it("ignores ordinary prediction errors", () => {
    for (let count = 0; count < 30; count++) {
      recordPrefills(count % 3 === 0 ? 1.9 : 0.9, 1);
    }
    expect(slowness.factor(engine)).to.equal(1);
  });

  it("retries a slow engine after a time without measurements", async () => {
    recordPrefills(5, 6);
    await timer.advance(4_000);
    expect(slowness.factor(engine)).to.equal(1);
  });

  it("forgets an engine that has restarted", () => {
    recordPrefills(5, 6);
    slowness.forget({ id: engine });
    expect(slowness.factor(engine)).to.equal(1);
  });
});
