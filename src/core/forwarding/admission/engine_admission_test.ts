import { expect } from "chai";
import { type AdmissionQuestion, judgeAdmission } from "../mod.ts";

const IDLE: AdmissionQuestion = {
  onTimeMilliseconds: 20,
  lateMilliseconds: 20,
  handoverMilliseconds: 15,
  entryMilliseconds: 5,
  elapsedMilliseconds: 0,
  targetMilliseconds: 150,
  leftMilliseconds: 2_000,
};

function judge(values: Partial<AdmissionQuestion>) {
  return judgeAdmission({ ...IDLE, ...values });
}

describe("judgeAdmission", () => {
  it("lets in what comes within its target", () => {
    expect(judge({})).to.equal("on_time");
  });

  it("counts the caller's wait and the entry's own share", () => {
    expect(judge({ elapsedMilliseconds: 120 })).to.equal("late");
    expect(judge({ onTimeMilliseconds: 70, entryMilliseconds: 50 }))
      .to.equal("late");
  });

  it("refuses what engines can't read by the deadline", () => {
    expect(judge({ onTimeMilliseconds: 900, lateMilliseconds: 1_900 }))
      .to.equal("engines_full");
  });

  // Engines have room, but the prompt would wait for the entry's link. Let in
  // late, it keeps the next one from being on time; another entry may answer.
  it("sends callers elsewhere where the entry itself is what is full", () => {
    expect(judge({ entryMilliseconds: 200 })).to.equal("entry_full");
  });
});
