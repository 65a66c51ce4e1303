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

  it("measures the wait of a returning caller", async () => {
    callers.record("a", 20);
    await timer.advance(300);
    expect(callers.elapsedSinceFirstAttempt("a")).to.equal(320);
  });

  it("sums up the waits of several attempts", async () => {
    callers.record("a", 0);
    await timer.advance(300);
    callers.record("a", callers.elapsedSinceFirstAttempt("a"));
    await timer.advance(300);
    expect(callers.elapsedSinceFirstAttempt("a")).to.equal(600);
  });

  // Deadlines differ between callers. A new caller with a short deadline that
  // is taken for a returning one would be queued behind all others.
  it("reports no wait for callers that were not refused", () => {
    callers.record("a", 0);
    expect(callers.elapsedSinceFirstAttempt("b")).to.equal(0);
    expect(callers.elapsedSinceFirstAttempt(undefined)).to.equal(0);
  });

  // The load balancer sends most retries to another entry.
  it("recognizes callers that a peer has refused", async () => {
    const peer = new ReturningCallers(timer);
    callers.record("a", 20);
    for (const report of callers.takeUnreported()) peer.recordPeer(report);
    await timer.advance(300);
    expect(peer.elapsedSinceFirstAttempt("a")).to.equal(320);
    expect(peer.takeUnreported()).to.deep.equal([]);
    expect(callers.takeUnreported()).to.deep.equal([]);
  });

  it("forgets a refusal after its retention time", async () => {
    callers.record("a", 0);
    await timer.advance(3_001);
    expect(callers.elapsedSinceFirstAttempt("a")).to.equal(0);
  });

  it("keeps a bounded number of the newest refusals", () => {
    for (let index = 0; index < 5_001; index++) callers.record(`${index}`, 10);
    expect(callers.elapsedSinceFirstAttempt("0")).to.equal(0);
    expect(callers.elapsedSinceFirstAttempt("5000")).to.equal(10);
  });

  describe("isDue", () => {
    it("recognizes a caller at its retry time, at another entry as well", async () => {
      const peer = new ReturningCallers(timer);
      callers.record("a", 20, 300);
      await timer.advance(100);
      for (const report of callers.takeUnreported()) peer.recordPeer(report);
      for (const each of [callers, peer]) {
        expect(each.isDue("a")).to.equal(false);
      }
      await timer.advance(200);
      for (const each of [callers, peer]) {
        expect(each.isDue("a")).to.equal(true);
      }
    });

    // Capacity is kept for callers that wait, not for those that ask again at
    // once or come back when it has been used by others.
    it("is false for callers that retry too early or too late", async () => {
      callers.record("a", 0, 300);
      callers.record("b", 0);
      await timer.advance(280);
      expect(callers.isDue("a")).to.equal(false);
      await timer.advance(280);
      expect(callers.isDue("a")).to.equal(false);
      expect(callers.isDue("b")).to.equal(false);
      expect(callers.isDue(undefined)).to.equal(false);
    });
  });
});
