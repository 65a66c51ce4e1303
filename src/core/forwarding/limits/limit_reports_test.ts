import { expect } from "chai";
import { decodeLimit, type LimitReport } from "./limit_reports.ts";

describe("decodeLimit", () => {
  // A limit in the future would stay in force over all later ones.
  it("dates no limit in the future", () => {
    const report: LimitReport = ["a", 0, -1e15, -1e15];
    const { observation } = decodeLimit(report, 1_000);
    expect(observation).to.include({ sentAt: 1_000, receivedAt: 1_000 });
  });
});
