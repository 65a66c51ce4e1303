import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { ReturnCalendar } from "../mod.ts";

const WORK_MILLISECONDS = 50;

describe("ReturnCalendar", () => {
  let timer: ManualTimerService;
  let calendar: ReturnCalendar;

  beforeEach(() => {
    timer = new ManualTimerService();
    calendar = new ReturnCalendar(timer, () => 0.5);
  });

  function next(rank: number, spareEngines = 0.5, maxMilliseconds = 600) {
    return calendar.next(rank, WORK_MILLISECONDS, {
      spareEngines,
      maxMilliseconds,
      onTimeMilliseconds: 500,
    });
  }

  // A burst is refused. With one retry time for all it would come back as a
  // burst.
  it("gives successive times that the spare capacity covers", () => {
    const times = [next(2), next(2), next(2)];
    expect(times.map(({ milliseconds }) => milliseconds))
      .to.deep.equal([50, 150, 250]);
  });

  it("gives urgent ranks earlier times", () => {
    for (let count = 0; count < 4; count++) next(2);
    expect(next(0).milliseconds).to.equal(50);
    expect(next(2).isReserved).to.equal(false);
  });

  it("assigns times again once the capacity has become free", async () => {
    for (let count = 0; count < 4; count++) next(2);
    await timer.advance(300);
    expect(next(2).milliseconds).to.equal(150);
    await timer.advance(60_000);
    expect(next(2).milliseconds).to.equal(50);
  });

  // Callers that would have to wait longer than they do must not reserve
  // capacity, or the calendar would be full of those that have given up.
  it("reserves nothing beyond the time that callers wait", () => {
    for (let count = 0; count < 100; count++) {
      expect(next(2).milliseconds).to.be.at.most(600);
    }
    expect(next(2)).to.deep.equal({ milliseconds: 375, isReserved: false });
    expect(next(1).isReserved).to.equal(true);
  });

  it("never gives a time below the minimum", () => {
    expect(next(0, 100).milliseconds).to.equal(20);
    expect(next(0, 0.01, 3).milliseconds).to.equal(20);
  });
});
