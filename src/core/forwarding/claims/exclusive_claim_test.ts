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

  it("may be had where nobody has claimed", () => {
    expect(claim.mayClaim()).to.equal(true);
  });

  // Another entry has just given orders. Orders from two holders within the
  // lease contradict each other at engines that don't check numbers.
  it("waits out the lease of another holder", async () => {
    claim.saw({ holder: "other", offset: 4 });
    await timer.advance(4_000);
    expect(claim.mayClaim()).to.equal(false);
    await timer.advance(2_000);
    expect(claim.mayClaim()).to.equal(true);
  });

  it("gives the offset of its record as the number of its orders", () => {
    claim.gained(7, timer.now());
    expect(claim.fencing).to.equal(7);
  });

  // The append took long, or the process stood still behind it. Meanwhile
  // another entry may have waited out the lease and given orders.
  it("gives no number once the claim is old", async () => {
    const sentAt = timer.now();
    await timer.advance(1_400);
    claim.gained(7, sentAt);
    expect(claim.fencing).to.equal(7);
    await timer.advance(200);
    expect(claim.fencing).to.equal(undefined);
  });

  it("gives no number once another's claim stands behind its own", () => {
    claim.gained(7, timer.now());
    claim.saw({ holder: "other", offset: 9 });
    expect(claim.fencing).to.equal(undefined);
    expect(claim.mayClaim()).to.equal(false);
  });

  // An engine answers that it has seen a higher number. Going on with the old
  // one would repeat an order that has lost its authority.
  it("gives up at once when an engine refuses its number", () => {
    claim.gained(7, timer.now());
    claim.refused();
    expect(claim.fencing).to.equal(undefined);
    expect(claim.mayClaim()).to.equal(false);
  });
});
