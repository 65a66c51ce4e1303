import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { makePlacementState } from "../../../../test/support/placement_state.ts";
import { ManualTimerService } from "../../time/mod.ts";

const REPLICA = makeEndpoint("a", { slots: 6 });

describe("ExpectedTimes", () => {
  let timer: ManualTimerService;
  let state: ReturnType<typeof makePlacementState>;

  beforeEach(() => {
    timer = new ManualTimerService();
    state = makePlacementState(timer);
    state.serviceTimes.record(REPLICA, { milliseconds: 30, workFactor: 1 });
  });

  function report(running: number, waiting = 0, workFactor = 1): void {
    state.loadReports.record(REPLICA, {
      running,
      waiting,
      slots: 6,
      workFactor,
      sentAt: timer.now(),
      receivedAt: timer.now(),
    });
  }

  const predict = () => state.expectedTimes.predict(REPLICA);

  it("expects the service time while a slot is free", () => {
    report(5);
    expect(predict().milliseconds).to.equal(30);
  });

  it("adds the wait for a slot and the present work factor", () => {
    report(6, 5, 2.5);
    expect(predict().milliseconds).to.equal(30 * 2.5 * 2);
  });

  it("uses the open requests of all entries where they are more", () => {
    report(0);
    for (let count = 0; count < 11; count++) state.load.started(REPLICA.id);
    expect(predict().milliseconds).to.equal(60);
  });

  it("adds own requests since the report", async () => {
    report(6);
    await timer.advance(1);
    for (let count = 0; count < 5; count++) {
      state.sentRequests.started(REPLICA.id);
    }
    expect(predict().workAhead).to.be.within(10, 11);
  });

  // A reported burst would otherwise keep requests away from the replica, and
  // without requests there is no new report.
  it("forgets the reported work once the replica has had time for it", async () => {
    report(6, 24);
    expect(predict().workAhead).to.equal(30);
    await timer.advance(1_000);
    expect(predict().workAhead).to.be.lessThan(1);
  });

  // A replica that stalls reports no running requests until it is probed again.
  it("expects no less than the time for which a request has been open", async () => {
    report(0);
    state.sentRequests.started(REPLICA.id);
    await timer.advance(200);
    expect(predict().milliseconds).to.equal(200);
  });
});
