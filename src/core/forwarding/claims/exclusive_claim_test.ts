import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { ExclusiveClaim } from "../mod.ts";

describe("ExclusiveClaim", () => {
  let timer: ManualTimerService;
  let claim: ExclusiveClaim;

  beforeEach(() => {
    timer = new ManualTimerService();
    claim = new ExclusiveClaim({ timer, self: "me", leaseMilliseconds: 3_000 });
  });

  it("may be claimed if there is no other claim", () => {
    expect(claim.canClaim()).to.equal(true);
  });

  // Another entry has just sent orders. Orders from two holders within the
  // lease conflict at engines that do not check fencing tokens.
  it("waits until the lease of another holder has expired", async () => {
    claim.observe({ holder: "other", offset: 4 });
    await timer.advance(4_000);
    expect(claim.canClaim()).to.equal(false);
    await timer.advance(2_000);
    expect(claim.canClaim()).to.equal(true);
  });

  it("uses the offset of its record as the fencing token", () => {
    claim.recordAcquired(7, timer.now());
    expect(claim.fencing).to.equal(7);
  });

  // The append was slow, or the process was suspended after it. Meanwhile
  // another entry may have waited for the lease to expire and sent orders.
  it("returns no fencing token once the claim has expired", async () => {
    const sentAt = timer.now();
    await timer.advance(1_400);
    claim.recordAcquired(7, sentAt);
    expect(claim.fencing).to.equal(7);
    await timer.advance(200);
    expect(claim.fencing).to.equal(undefined);
  });

  it("returns no fencing token once another holder has a newer claim", () => {
    claim.recordAcquired(7, timer.now());
    claim.observe({ holder: "other", offset: 9 });
    expect(claim.fencing).to.equal(undefined);
    expect(claim.canClaim()).to.equal(false);
  });

  // The store was restored while the append was pending, and another holder has
  // claimed in its new epoch.
  it("returns no fencing token lower than that of a known claim", () => {
    claim.observe({ holder: "other", offset: 9 });
    claim.recordAcquired(7, timer.now());
    expect(claim.fencing).to.equal(undefined);
    expect(claim.holder).to.equal("other");
    expect(claim.canClaim()).to.equal(false);
  });

  // A peer has reported a claim with a token that no record has. Behind it, every
  // claim in the log would count as older, and its lease not be waited for.
  it("waits for the lease in the log behind a claim that is not in it", async () => {
    claim.observe({ holder: "peer", offset: Number.MAX_SAFE_INTEGER });
    await timer.advance(6_000);
    claim.observeLog({ claim: { holder: "other", offset: 4 }, end: 5 });
    expect(claim.canClaim()).to.equal(false);
    await timer.advance(5_500);
    expect(claim.canClaim()).to.equal(true);
    claim.recordAcquired(5, timer.now());
    expect(claim.fencing).to.equal(5);
  });

  // A claim that a store without epochs has lost may still be in use.
  for (const held of [undefined, { holder: "me", offset: 4 }]) {
    it(`waits for the lease of a claim that the log has lost, ${held?.holder ?? "nobody"} before it`, async () => {
      claim.observe({ holder: "other", offset: 9 });
      claim.observeLog({ claim: held, end: 5 });
      expect(claim.canClaim()).to.equal(false);
      await timer.advance(5_500);
      expect(claim.canClaim()).to.equal(true);
    });
  }

  // An engine reports that it has seen a higher token. Continuing with the old
  // one would repeat an order that is no longer authorized.
  it("invalidates the claim when an engine refuses its fencing token", () => {
    claim.recordAcquired(7, timer.now());
    claim.refused();
    expect(claim.fencing).to.equal(undefined);
    expect(claim.canClaim()).to.equal(false);
  });
});
