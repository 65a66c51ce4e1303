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
      slowness.took(other, { milliseconds: 100, predicted: 100 });
    }
  });

  function recordPrefills(ratio: number, times: number): void {
    for (let count = 0; count < times; count++) {
      slowness.took(engine, { milliseconds: 100 * ratio, predicted: 100 });
    }
  }

  // An engine takes five times as long for some seconds. Reckoned at the speed
  // of its kind it gets its full share of the prompts, and each of them late.
  it("tells an engine that has turned slow within a few readings", () => {
    recordPrefills(5, 4);
    expect(slowness.factor(engine)).to.be.within(2.5, 5.5);
  });

  // Engines drop the parts of prompts that are taken for kept, and every reading
  // takes three times as long as predicted. Taken for slow, all of them seem
  // full and callers are refused beside engines that have room.
  it("takes no engine for slow where all take as much longer", () => {
    for (let count = 0; count < 10; count++) {
      recordPrefills(3, 1);
      for (const other of others) {
        slowness.took(other, { milliseconds: 300, predicted: 100 });
      }
    }
    expect(slowness.factor(engine)).to.equal(1);
  });

  it("leaves ordinary errors of prediction alone", () => {
    for (let count = 0; count < 30; count++) {
      recordPrefills(count % 3 === 0 ? 1.9 : 0.9, 1);
    }
    expect(slowness.factor(engine)).to.equal(1);
  });

  it("gives an engine another chance that nothing is seen of", async () => {
    recordPrefills(5, 6);
    await timer.advance(4_000);
    expect(slowness.factor(engine)).to.equal(1);
  });

  it("knows nothing of an engine that has started anew", () => {
    recordPrefills(5, 6);
    slowness.forget({ id: engine });
    expect(slowness.factor(engine)).to.equal(1);
  });
});
