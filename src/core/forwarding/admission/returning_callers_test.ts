import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { ReturningCallers } from "../mod.ts";

describe("ReturningCallers", () => {
  let timer: ManualTimerService;
  let callers: ReturningCallers;

  beforeEach(() => {
    timer = new ManualTimerService();
    callers = new ReturningCallers(timer);
  });

  it("sees how long a returning caller has waited", async () => {
    callers.refused("a", 20);
    await timer.advance(300);
    expect(callers.waited("a")).to.equal(320);
  });

  it("adds up the waits of several attempts", async () => {
    callers.refused("a", 0);
    await timer.advance(300);
    callers.refused("a", callers.waited("a"));
    await timer.advance(300);
    expect(callers.waited("a")).to.equal(600);
  });

  // Callers' time budgets differ. A caller with little time of its own passed
  // for one that had waited, and its prompt was read behind all others.
  it("takes nobody for returning who was not refused", () => {
    callers.refused("a", 0);
    expect(callers.waited("b")).to.equal(0);
    expect(callers.waited(undefined)).to.equal(0);
  });

  // Returns go through the balancer, mostly to another entry.
  it("knows callers that a peer has refused", async () => {
    const peer = new ReturningCallers(timer);
    callers.refused("a", 20);
    for (const told of callers.takeUntold()) peer.peerRefused(told);
    await timer.advance(300);
    expect(peer.waited("a")).to.equal(320);
    expect(peer.takeUntold()).to.deep.equal([]);
    expect(callers.takeUntold()).to.deep.equal([]);
  });

  it("forgets a refusal after some seconds", async () => {
    callers.refused("a", 0);
    await timer.advance(3_001);
    expect(callers.waited("a")).to.equal(0);
  });

  it("remembers a bounded number of refusals, the newest", () => {
    for (let index = 0; index < 5_001; index++) callers.refused(`${index}`, 10);
    expect(callers.waited("0")).to.equal(0);
    expect(callers.waited("5000")).to.equal(10);
  });
});
