import { expect } from "chai";
import { makeEngine } from "../../../../test/support/forwarding_fixtures.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  prefillShareBySlots,
  prefillShareForDemand,
  RoleDemand,
} from "../mod.ts";

const SAMPLE_MILLISECONDS = 250;

function engines(count: number, slots = 32) {
  return Array.from(
    { length: count },
    (_, index) => makeEngine(`engine-${index}`, "decode", { slots }),
  );
}

describe("RoleDemand", () => {
  let timer: ManualTimerService;
  let demand: RoleDemand;

  beforeEach(() => {
    timer = new ManualTimerService();
    demand = new RoleDemand(timer);
  });

  /** Records phases of prompts and of answers in turn. */
  async function alternate(
    phaseMilliseconds: number,
    milliseconds: number,
  ): Promise<void> {
    for (let at = 0; at < milliseconds; at += SAMPLE_MILLISECONDS) {
      const isPrefillPhase = Math.floor(at / phaseMilliseconds) % 2 === 0;
      demand.record(
        isPrefillPhase
          ? { answers: 60, busyReaders: 18 }
          : { answers: 260, busyReaders: 2 },
      );
      await timer.advance(SAMPLE_MILLISECONDS);
    }
  }

  it("is unknown after a few samples", async () => {
    await alternate(3_000, 2_000);
    expect(demand.typical).to.equal(undefined);
  });

  for (const phaseMilliseconds of [3_000, 15_000]) {
    it(`does not follow a mix that alternates every ${phaseMilliseconds} ms`, async () => {
      await alternate(phaseMilliseconds, 30_000);
      const first = demand.typical;
      await alternate(phaseMilliseconds, phaseMilliseconds);
      expect(first).to.deep.include({ answers: 260 });
      expect(demand.typical?.answers).to.equal(260);
      expect(demand.typical?.busyReaders)
        .to.be.closeTo(first?.busyReaders ?? 0, 5);
    });
  }

  it("forgets samples older than half a minute", async () => {
    await alternate(15_000, 30_000);
    for (let at = 0; at < 31_000; at += SAMPLE_MILLISECONDS) {
      demand.record({ answers: 20, busyReaders: 5 });
      await timer.advance(SAMPLE_MILLISECONDS);
    }
    expect(demand.typical).to.deep.equal({ answers: 20, busyReaders: 5 });
  });
});

describe("prefillShareForDemand", () => {
  it("depends on the slots alone while the demand is unknown", () => {
    expect(prefillShareForDemand(engines(29), undefined))
      .to.equal(prefillShareBySlots(engines(29)));
  });

  it("gives answers the engines that prefill can spare", () => {
    const share = prefillShareForDemand(engines(29), {
      answers: 260,
      busyReaders: 9,
    });
    expect(Math.round((1 - share) * 29) * 32).to.be.at.least(400);
  });

  it("takes no engine from a busy prefill role", () => {
    const typical = { answers: 160, busyReaders: 5 };
    expect(prefillShareForDemand(engines(8, 64), typical)).to.equal(0.7);
  });

  it("gives prompts at least half and at most the share by slots", () => {
    for (const answers of [0, 100, 1_000, 100_000]) {
      const typical = { answers, busyReaders: 0 };
      expect(prefillShareForDemand(engines(10), typical)).to.be.within(
        0.5,
        0.7,
      );
    }
  });
});
