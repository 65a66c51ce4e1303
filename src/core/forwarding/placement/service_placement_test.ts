import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { makePlacementState } from "../../../../test/support/placement_state.ts";
import { type AvailabilityZoneId, identifier } from "../../identity/mod.ts";
import { seededRandom } from "../../random/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { chooseServiceReplica, replicasToRefresh } from "../mod.ts";

const REPLICAS = ["a", "b", "c", "d"].map((id, index) =>
  makeEndpoint(id, {
    availabilityZone: identifier<AvailabilityZoneId>(`zone-${index}`),
  })
);
const CHOICES = 1_000;

describe("chooseServiceReplica", () => {
  let state: ReturnType<typeof makePlacementState>;
  let options: Parameters<typeof chooseServiceReplica>[1];
  let draws: number;

  beforeEach(() => {
    state = makePlacementState(new ManualTimerService());
    const random = seededRandom(2);
    draws = 0;
    options = {
      ...state,
      random: () => {
        draws += 1;
        return random();
      },
      availabilityZone: identifier<AvailabilityZoneId>("zone-0"),
    };
  });

  function report(replica: number, workFactor?: number): void {
    state.loadReports.record(REPLICAS[replica], {
      running: 0,
      waiting: 0,
      slots: 6,
      sentAt: 0,
      receivedAt: 0,
      ...(workFactor !== undefined && { workFactor }),
    });
  }

  /** Share of requests that each replica gets. */
  function shares(): number[] {
    const counts = REPLICAS.map(() => 0);
    for (let count = 0; count < CHOICES; count++) {
      const chosen = chooseServiceReplica(REPLICAS, options);
      counts[REPLICAS.findIndex(({ id }) => id === chosen?.id)] += 1;
    }
    return counts.map((count) => count / CHOICES);
  }

  describe("in a pool without work factors", () => {
    // Earlier deployments send three figures and have to be served as before.
    it("chooses by open requests alone, with one random term each", () => {
      REPLICAS.forEach((replica, index) => {
        report(index);
        state.serviceTimes.record(replica, {
          milliseconds: index === 1 ? 1 : 100,
          workFactor: 1,
        });
      });
      state.load.started(REPLICAS[0].id);
      state.load.started(REPLICAS[1].id);
      const [own, fast] = shares();
      expect([own, fast]).to.deep.equal([0, 0]);
      expect(draws).to.equal(CHOICES * REPLICAS.length);
      expect(replicasToRefresh(REPLICAS, options)).to.deep.equal([]);
    });
  });

  describe("in a pool with work factors", () => {
    beforeEach(() => REPLICAS.forEach((_, index) => report(index, 1)));

    it("prefers replicas on which work takes less time", () => {
      report(0, 2.5);
      const [slow, ...others] = shares();
      expect(slow).to.be.lessThan(0.05);
      expect(Math.max(...others)).to.be.lessThan(0.5);
    });

    // Entries that all see the same idle replica would fill its queue before
    // they see each other's requests.
    it("does not send every request to the replica that looks best", () => {
      for (const replica of REPLICAS.slice(0, 3)) {
        for (let count = 0; count < 3; count++) state.load.started(replica.id);
      }
      expect(Math.max(...shares())).to.be.within(0.4, 0.8);
    });

    it("prefers the own zone among equal replicas", () => {
      const [own, ...others] = shares();
      expect(own).to.be.greaterThan(2 * Math.max(...others));
    });

    // An entry of a large fleet rarely gets a response of each replica.
    it("asks for fresh data where there is no report", () => {
      for (const replica of REPLICAS) state.loadReports.forget(replica);
      expect(replicasToRefresh(REPLICAS, options)).to.have.length.within(2, 3);
    });

    // Each query costs as much as a request's head.
    it("asks for fresh data only if a request may have to wait", () => {
      expect(replicasToRefresh(REPLICAS, options)).to.deep.equal([]);
      for (const replica of REPLICAS) {
        for (let count = 0; count < 6; count++) state.load.started(replica.id);
      }
      expect(replicasToRefresh(REPLICAS, options)).to.have.length.within(2, 3);
    });
  });

  it("has no choice without candidates", () => {
    expect(chooseServiceReplica([], options)).to.equal(undefined);
  });
});
