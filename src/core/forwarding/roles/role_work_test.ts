import { expect } from "chai";
import { ENGINES } from "../../../../test/support/forwarding_fixtures.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  isRoleWorkReport,
  type ObservedWork,
  RoleWork,
  type RoleWorkReport,
} from "../mod.ts";
import { DecodeStepCosts } from "./decode_step_costs.ts";

const PROMPT = {
  prefillMilliseconds: 30,
  inlineMilliseconds: 0,
  inputTokens: 9_000,
  outputTokens: 2,
};
const PEER = { entry: "peer", incarnation: "1" };

describe("RoleWork", () => {
  let timer: ManualTimerService;
  let work: RoleWork;
  let peer: RoleWork;

  beforeEach(() => {
    timer = new ManualTimerService();
    work = new RoleWork(timer);
    peer = new RoleWork(timer);
    for (let steps = 0; steps < 30; steps++) {
      work.recordSteps(ENGINES, {
        steps: 10,
        milliseconds: 200,
        responses: 2,
        tokens: 18_000,
        prefillMilliseconds: 0,
      });
    }
  });

  /** One prompt per 100 ms at either entry; the peer reports every 700 ms. */
  async function ask(
    seconds: number,
    { isLost = () => false, isOwn = () => true }: {
      readonly isLost?: (report: number) => boolean;
      readonly isOwn?: (at: number) => boolean;
    } = {},
  ): Promise<ObservedWork | undefined> {
    for (let at = 0; at < seconds * 1_000; at += 100) {
      if (isOwn(at)) work.recordPrompt(ENGINES, PROMPT);
      peer.recordPrompt(ENGINES, PROMPT);
      await timer.advance(100);
      if (at % 700 === 0 && !isLost(at / 700)) {
        work.recordPeerReport(PEER, peer.report());
      }
    }
    return work.observed(ENGINES);
  }

  it("is unknown without work and in the first seconds of it", async () => {
    await timer.advance(20_000);
    expect(work.observed(ENGINES)).to.equal(undefined);
    expect(await ask(3)).to.equal(undefined);
  });

  it("adds up the work of the entries", async () => {
    const observed = await ask(12);
    expect(observed?.prefillEngines).to.be.closeTo(0.6, 0.05);
    expect(observed?.responseSteps).to.be.closeTo(0.04, 0.004);
    expect(observed?.handoverShare).to.equal(1);
  });

  // Callers ask for up to a thousand tokens and get ten. By the tokens asked
  // for, the plan would give nearly all engines to answers.
  it("counts the tokens that responses have, not those asked for", async () => {
    for (let count = 0; count < 50; count++) {
      work.recordResponse(ENGINES, { asked: 2, events: 1 });
    }
    expect((await ask(12))?.responseSteps).to.be.closeTo(0.02, 0.002);
  });

  // Reports are datagrams. If the work of a lost one were missing, a fleet that
  // loses a fifth of them would plan for a fifth less.
  it("loses no work with a lost or late report", async () => {
    const observed = await ask(12, { isLost: (report) => report % 3 === 1 });
    expect(observed?.prefillEngines).to.be.closeTo(0.6, 0.07);
  });

  // A report that was overtaken has lower totals. Counted, it would subtract
  // work, and the next report would add it twice.
  it("ignores a report that was overtaken", async () => {
    const early = peer.report();
    await ask(8);
    const before = work.observed(ENGINES);
    work.recordPeerReport(PEER, early);
    expect(work.observed(ENGINES)).to.deep.equal(before);
  });

  // The totals of a peer that has run for an hour arrive at an entry that has
  // just started. Taken as new work, they would move all engines.
  it("takes the first totals of a peer's run as its baseline", async () => {
    const report: RoleWorkReport = [ENGINES, 1e5, 3e6, 0, 2e5, 2e6, 2e5];
    work.recordPeerReport({ ...PEER, entry: "older" }, [report]);
    work.recordPeerReport({ ...PEER, incarnation: "0" }, [report]);
    const observed = await ask(12);
    expect(observed?.prefillEngines).to.be.closeTo(0.6, 0.05);
  });

  // An entry that plans roles again after ten minutes has old totals of its
  // peers. Within the window, all their work since then would be twenty times
  // the present work.
  it("drops work from before the window", async () => {
    await ask(3);
    await ask(120, { isLost: () => true });
    const observed = await ask(3);
    expect(observed?.prefillEngines).to.be.closeTo(0.6, 0.07);
  });

  // With the mean, neither half of a burst would be served.
  it("keeps the high work of bursts that alternate", async () => {
    const isOwn = (at: number) => Math.floor(at / 2_800) % 2 === 0;
    const first = await ask(14, { isOwn });
    const second = await ask(2.8, { isOwn: () => false });
    expect(first?.prefillEngines).to.be.closeTo(0.6, 0.07);
    expect(second?.prefillEngines).to.be.closeTo(0.6, 0.07);
  });

  it("accepts only complete reports of finite totals", () => {
    const valid = [ENGINES, 1, 2, 3, 4, 5, 6];
    expect(isRoleWorkReport(valid)).to.equal(true);
    for (const wrong of [-1, NaN, "1", undefined, null, Infinity]) {
      expect(isRoleWorkReport([...valid.slice(0, 6), wrong])).to.equal(false);
    }
    expect(isRoleWorkReport([7, ...valid.slice(1)])).to.equal(false);
    expect(isRoleWorkReport(valid.slice(0, 6))).to.equal(false);
  });
});

describe("DecodeStepCosts", () => {
  const COSTS = { step: 12, perResponse: 0.66, perThousandTokens: 0.15 };

  /** Records steps of varied load; some take longer by a factor. */
  function learn(stall: (index: number) => number, count = 400) {
    const costs = new DecodeStepCosts();
    for (let index = 0; index < count; index++) {
      const responses = 1 + index % 23;
      const tokens = (index * 7 % 40) * 8_000;
      const milliseconds = COSTS.step + COSTS.perResponse * responses +
        COSTS.perThousandTokens * tokens / 1_000;
      costs.record({
        steps: 5,
        milliseconds: 5 * milliseconds * stall(index),
        responses,
        tokens,
        prefillMilliseconds: 0,
      });
    }
    return costs.costs;
  }

  it("separates the empty step from what responses and contexts add", () => {
    const learned = learn(() => 1);
    expect(learned?.stepMilliseconds).to.be.closeTo(12, 0.5);
    expect(learned?.millisecondsPerResponse).to.be.closeTo(0.66, 0.05);
    expect(learned?.millisecondsPerThousandTokens).to.be.closeTo(0.15, 0.01);
  });

  // An engine freezes for some steps. Negative costs would follow for the load
  // that it had at that time, and the plan would divide by them.
  it("has no negative costs after stalls", () => {
    const learned = learn((index) => index % 40 === 1 ? 20 : 1);
    for (const cost of Object.values(learned ?? {})) {
      expect(cost).to.be.at.least(0);
    }
    expect(learned?.stepMilliseconds).to.be.greaterThan(0);
  });

  it("are unknown after a few steps", () => {
    expect(learn(() => 1, 3)).to.equal(undefined);
  });
});
