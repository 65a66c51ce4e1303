import { expect } from "chai";
import type { SideReport, StandingOrder } from "../../generated/messages.ts";
import { OrderWatermarks } from "./mod.ts";

function report(incarnation: string, orderTaken: number): SideReport {
  return {
    side: "triage-1",
    incarnation,
    endpoint: "triage-1",
    state: "serving",
    load: { running: 0, waiting: 0, limit: 4, millisecondsBetweenTokens: 25 },
    configurationVersion: 1,
    ordersRead: orderTaken,
    orderTaken,
  };
}

function order(offset: number): StandingOrder {
  return { offset, claim: 0, target: { role: "decode" } };
}

describe("Order watermarks", () => {
  // A side is killed after order 9, and its next run asks an entry that has
  // read the log only up to order 5. Given that order, an engine that ignores
  // fencing returns to a state that the planner has left.
  it("answers with no order older than one of an earlier run", () => {
    const watermarks = new OrderWatermarks();
    watermarks.recordReport(report("run-1", 9));
    watermarks.recordReport(report("run-2", -1));
    expect(watermarks.selectOrder("triage-1", order(5))).to.equal(undefined);
    expect(watermarks.selectOrder("triage-1", order(9))?.offset).to.equal(9);
    expect(watermarks.selectOrder("triage-1", order(12))?.offset).to.equal(12);
  });

  it("answers a side without reports with the order it has", () => {
    const watermarks = new OrderWatermarks();
    expect(watermarks.selectOrder("triage-1", order(5))?.offset).to.equal(5);
    expect(watermarks.selectOrder("triage-1", undefined)).to.equal(undefined);
  });

  it("removes endpoints that are gone", () => {
    const watermarks = new OrderWatermarks();
    watermarks.recordReport(report("run-1", 9));
    watermarks.retainEndpoints(new Set());
    expect(watermarks.selectOrder("triage-1", order(5))?.offset).to.equal(5);
  });
});
