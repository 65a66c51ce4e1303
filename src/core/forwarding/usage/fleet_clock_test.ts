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

  function recordPeerClocks(offsets: readonly number[]): void {
    offsets.forEach((offset, index) =>
      clock.recordPeerClock(
        identifier(`entry-${index}`),
        timer.wallClock() + offset,
      )
    );
  }

  it("uses the process's own clock if there is no other", () => {
    expect(clock.now()).to.equal(timer.wallClock());
  });

  it("is not affected by clocks that jump on a third of the machines", async () => {
    recordPeerClocks([2, -3, 2_400, 2_400, 0]);
    expect(clock.now()).to.be.within(
      timer.wallClock(),
      timer.wallClock() + 2,
    );
    await timer.advance(200);
    recordPeerClocks([2, -3, -2_400, -2_400, 0]);
    expect(clock.now()).to.be.within(
      timer.wallClock() - 3,
      timer.wallClock(),
    );
  });

  it("discards old samples of silent peers", async () => {
    recordPeerClocks([5_000, 5_000, 5_000]);
    await timer.advance(6_000);
    expect(clock.now()).to.equal(timer.wallClock());
  });
});
