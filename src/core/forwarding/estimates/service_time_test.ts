import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { ServiceTimes } from "./service_time.ts";

const [FAST, SLOW, UNKNOWN] = ["a", "b", "c"].map((id) => makeEndpoint(id));

describe("ServiceTimes", () => {
  let timer: ManualTimerService;
  let times: ServiceTimes;

  beforeEach(() => {
    timer = new ManualTimerService();
    times = new ServiceTimes(timer);
  });

  function learn(workFactor = 1): void {
    for (let count = 0; count < 40; count++) {
      times.record(FAST, { milliseconds: 20 * workFactor, workFactor });
      times.record(SLOW, { milliseconds: 60 * workFactor, workFactor });
    }
  }

  const mean = (endpoint = FAST) => times.mean(endpoint) ?? NaN;

  it("learns the lasting speed of replicas relative to their pool", () => {
    expect(times.mean(FAST)).to.equal(undefined);
    learn();
    expect(mean(SLOW) / mean(FAST)).to.be.greaterThan(2);
    expect(mean(UNKNOWN)).to.be.within(38, 42);
  });

  // Otherwise a machine that is in trouble for seconds would count as slow
  // twice, by its factor and by its past.
  it("does not attribute the reported work factor to the replica", () => {
    learn();
    const before = mean();
    learn(2.5);
    expect(mean()).to.be.within(0.95 * before, 1.05 * before);
  });

  // A replica that reports a factor of 1 while it is slow.
  it("notices within some completions that a replica has become slow", () => {
    learn();
    for (let count = 0; count < 8; count++) {
      times.record(FAST, { milliseconds: 120, workFactor: 1 });
    }
    expect(mean()).to.be.greaterThan(mean(SLOW));
  });

  it("tries a slow replica again, as it has no completions meanwhile", async () => {
    learn();
    const before = mean(SLOW);
    await timer.advance(60_000);
    expect(mean(SLOW)).to.be.lessThan(before);
    expect(mean(SLOW)).to.be.within(mean(UNKNOWN), 1.2 * mean(UNKNOWN));
  });

  it("counts abandoned requests only if they took longer than expected", () => {
    learn();
    const before = mean();
    times.recordIncomplete(FAST, { milliseconds: 1, workFactor: 1 });
    expect(mean()).to.equal(before);
    times.recordIncomplete(FAST, { milliseconds: 1_000, workFactor: 1 });
    expect(mean()).to.be.greaterThan(before);
  });
});
