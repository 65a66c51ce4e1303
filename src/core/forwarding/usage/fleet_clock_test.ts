import { expect } from "chai";
import { identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { FleetClock } from "../mod.ts";

describe("FleetClock", () => {
  let timer: ManualTimerService;
  let clock: FleetClock;

  beforeEach(() => {
    timer = new ManualTimerService();
    clock = new FleetClock(timer);
  });

  function hear(offsets: readonly number[]): void {
    offsets.forEach((offset, index) =>
      clock.peerSaid(identifier(`entry-${index}`), timer.wallClock() + offset)
    );
  }

  it("is the process's own clock where there is no other", () => {
    expect(clock.now()).to.equal(timer.wallClock());
  });

  it("is not moved by clocks that jump on a third of the machines", async () => {
    hear([2, -3, 2_400, 2_400, 0]);
    expect(clock.now()).to.be.within(
      timer.wallClock(),
      timer.wallClock() + 2,
    );
    await timer.advance(200);
    hear([2, -3, -2_400, -2_400, 0]);
    expect(clock.now()).to.be.within(
      timer.wallClock() - 3,
      timer.wallClock(),
    );
  });

  it("drops what silent peers said long ago", async () => {
    hear([5_000, 5_000, 5_000]);
    await timer.advance(6_000);
    expect(clock.now()).to.equal(timer.wallClock());
  });
});
