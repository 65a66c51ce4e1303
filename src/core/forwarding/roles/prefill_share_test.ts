import { expect } from "chai";
import { type ObservedWork, planPrefillShare } from "../mod.ts";

/** Half of the capacity of ten engines with 32 slots in each role. */
const WORK: ObservedWork = {
  prefillEngines: 2.5,
  decodeEngines: 1.5,
  responseSteps: 2,
  handoverShare: 0.2,
  openResponses: 50,
  stepMilliseconds: 12,
  maxPauseMilliseconds: 200,
  observedMilliseconds: 20_000,
};

function plannedEngines(
  prefill: number,
  { count = 10, work = {}, speed }: {
    readonly count?: number;
    readonly work?: Partial<ObservedWork>;
    /** Learned speed of the engines that prefill now. */
    readonly speed?: number;
  } = {},
): number {
  const engines = Array.from({ length: count }, (_, index) => ({
    role: index < prefill ? "prefill" as const : "decode" as const,
    slots: 32,
    speed: index < prefill ? speed : undefined,
  }));
  const share = planPrefillShare({ ...WORK, ...work }, engines) ?? NaN;
  return Math.round(share * count);
}

describe("planPrefillShare", () => {
  it("is unknown without work or with a single engine", () => {
    expect(planPrefillShare(undefined, [])).to.equal(undefined);
    expect(planPrefillShare(WORK, [{ role: "decode", slots: 32 }]))
      .to.equal(undefined);
  });

  it("keeps every split in which both roles cope with the work", () => {
    for (const prefill of [3, 4, 5, 6]) {
      expect(plannedEngines(prefill)).to.equal(prefill);
    }
  });

  it("follows the work in both directions", () => {
    expect(plannedEngines(2, { work: { prefillEngines: 5 } }))
      .to.be.within(6, 8);
    const answers = { decodeEngines: 4, responseSteps: 5, openResponses: 130 };
    expect(plannedEngines(7, { work: answers })).to.be.within(2, 4);
  });

  // Inline prefills take the time of the steps. By open responses alone, decode
  // engines whose streams pause would look nearly idle.
  it("gives engines to inline prefills on decode engines", () => {
    expect(plannedEngines(7, { work: { decodeEngines: 3.5 } }))
      .to.be.below(6);
  });

  it("gives answers more engines where routes allow shorter pauses", () => {
    const planned = (maxPauseMilliseconds: number) =>
      plannedEngines(7, {
        work: { decodeEngines: 3, maxPauseMilliseconds },
      });
    expect(planned(70)).to.be.below(planned(1_000));
  });

  // The load ends before the engines have changed their roles.
  it("makes no change whose cost exceeds its gain", () => {
    expect(plannedEngines(3, { work: { prefillEngines: 2.74 } })).to.equal(3);
    expect(plannedEngines(3, { work: { prefillEngines: 3.2 } })).to.equal(5);
  });

  // Role orders are costly: one engine is short, and the balance of a pool with
  // many idle engines would take a dozen.
  it("changes no more engines than the work needs", () => {
    const work = { prefillEngines: 2.95 };
    expect(plannedEngines(3, { work, count: 40 })).to.equal(4);
  });

  it("counts slow engines for less", () => {
    const work = { prefillEngines: 4 };
    expect(plannedEngines(5, { work })).to.equal(5);
    expect(plannedEngines(5, { work, speed: 0.5 })).to.be.greaterThan(5);
  });

  it("leaves at least one engine to each role, and fills a missing one", () => {
    const prompts = {
      prefillEngines: 50,
      decodeEngines: 0,
      responseSteps: 0,
      openResponses: 0,
    };
    for (const prefill of [0, 1, 10]) {
      expect(plannedEngines(prefill, { work: prompts })).to.equal(9);
      const answers = { prefillEngines: 0, decodeEngines: 20 };
      expect(plannedEngines(prefill, { work: answers })).to.equal(1);
    }
  });
});
