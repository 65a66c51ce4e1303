import { expect } from "chai";
import { type AdmissionInput, decideAdmission } from "../mod.ts";

const IDLE_INPUT: AdmissionInput = {
  onTimeMilliseconds: 20,
  lateMilliseconds: 20,
  handoverMilliseconds: 15,
  entryMilliseconds: 5,
  elapsedMilliseconds: 0,
  targetMilliseconds: 150,
  leftMilliseconds: 2_000,
};

function decide(values: Partial<AdmissionInput>) {
  return decideAdmission({ ...IDLE_INPUT, ...values });
}

describe("decideAdmission", () => {
  it("admits a request that is expected within its target", () => {
    expect(decide({})).to.equal("on_time");
  });

  it("counts the caller's elapsed time and the delay in the entry", () => {
    expect(decide({ elapsedMilliseconds: 120 })).to.equal("late");
    expect(decide({ onTimeMilliseconds: 70, entryMilliseconds: 50 }))
      .to.equal("late");
  });

  it("refuses a prompt that engines can't prefill before the deadline", () => {
    expect(decide({ onTimeMilliseconds: 900, lateMilliseconds: 1_900 }))
      .to.equal("engines_full");
  });

  // Engines have capacity, but the prompt would queue for the entry's link.
  // Admitted late, it would delay the next request, which could be on time.
  it("refuses with entry_full where the entry is the bottleneck", () => {
    expect(decide({ entryMilliseconds: 200 })).to.equal("entry_full");
  });

  it("does not refuse for a delay that a retry would meet again", () => {
    expect(decide({ entryMilliseconds: 200, unavoidableMilliseconds: 150 }))
      .to.equal("late");
  });
});
