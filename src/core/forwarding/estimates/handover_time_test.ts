import { expect } from "chai";
import { HandoverTime } from "./handover_time.ts";

describe("HandoverTime", () => {
  // Engines with long decode steps respond 60 ms after the prefill. Predicted
  // at the speed of faster ones, every response near its target would be late.
  for (const milliseconds of [2, 15, 60]) {
    it(`learns that engines take ${milliseconds} ms`, () => {
      const handover = new HandoverTime();
      for (let count = 0; count < 40; count++) {
        handover.record(milliseconds + 20, 20);
      }
      expect(handover.meanMilliseconds)
        .to.be.closeTo(milliseconds, 0.1 * milliseconds + 0.5);
    });
  }

  it("changes little with an engine that is unresponsive", () => {
    const handover = new HandoverTime();
    for (let count = 0; count < 60; count++) handover.record(20, 0);
    for (let count = 0; count < 3; count++) handover.record(3_000, 0);
    expect(handover.conservativeMilliseconds).to.be.below(35);
  });

  it("allows for the deviation of responses", () => {
    const handover = new HandoverTime();
    for (let count = 0; count < 100; count++) {
      handover.record(count % 2 === 0 ? 10 : 30, 0);
    }
    expect(handover.meanMilliseconds).to.be.closeTo(20, 3);
    expect(handover.conservativeMilliseconds).to.be.closeTo(30, 5);
  });
});
