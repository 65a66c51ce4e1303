import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { EndpointAvailability } from "../mod.ts";

describe("EndpointAvailability", () => {
  const endpoints = ["a", "b", "c"].map((id) => makeEndpoint(id));
  const [a, b, c] = endpoints;
  let timer: ManualTimerService;
  let availability: EndpointAvailability;

  beforeEach(() => {
    timer = new ManualTimerService();
    availability = new EndpointAvailability(timer);
  });

  function healthyIds(): string[] {
    return availability.filterHealthy(endpoints).map(({ id }) => String(id));
  }

  // Two of three engines change their role and reject all requests for seconds.
  // If each request tried both first, the fleet's retry budget would be used
  // up although no request has failed.
  it("skips endpoints that reject requests, even most of the pool", () => {
    for (const endpoint of [a, b]) {
      availability.recordRejection(endpoint.id);
      availability.recordRejection(endpoint.id);
    }
    expect(healthyIds()).to.deep.equal(["c"]);
  });

  it("retries a skipped endpoint after an increasing delay", async () => {
    availability.recordRejection(a.id);
    availability.recordRejection(a.id);
    await timer.advance(260);
    expect(healthyIds()).to.contain("a");
    availability.recordRejection(a.id);
    await timer.advance(260);
    expect(healthyIds()).to.not.contain("a");
    await timer.advance(300);
    availability.recordSuccess(a.id);
    availability.recordRejection(a.id);
    expect(healthyIds()).to.contain("a");
  });

  describe("overload", () => {
    it("lasts for the longest time that the endpoint has announced", async () => {
      availability.recordOverload(a.id, 3_000);
      availability.recordOverload(a.id, 500);
      expect(availability.remainingOverloadMilliseconds(a.id)).to.equal(3_000);
      await timer.advance(2_000);
      expect(availability.remainingOverloadMilliseconds(a.id)).to.equal(1_000);
      await timer.advance(1_000);
      expect(availability.remainingOverloadMilliseconds(a.id)).to.equal(0);
    });

    // One answer would take the endpoint out until its process is restarted.
    for (const milliseconds of [1e12, 1e308, Infinity]) {
      it(`ends in time if ${milliseconds} ms were announced`, async () => {
        availability.recordOverload(a.id, milliseconds);
        await timer.advance(10_000);
        expect(availability.remainingOverloadMilliseconds(a.id)).to.equal(0);
      });
    }

    it("applies to one endpoint only, and to one run of it", () => {
      availability.recordOverload(a.id, 3_000);
      expect(availability.remainingOverloadMilliseconds(b.id)).to.equal(0);
      availability.forget(a);
      expect(availability.remainingOverloadMilliseconds(a.id)).to.equal(0);
    });

    it("does not skip the endpoint after that time", async () => {
      for (let count = 0; count < 5; count++) {
        availability.recordOverload(a.id, 200);
      }
      await timer.advance(200);
      expect(healthyIds()).to.contain("a");
    });
  });

  it("skips an endpoint whose address another replica uses", () => {
    availability.recordMisdirected(b.id);
    expect(healthyIds()).to.deep.equal(["a", "c"]);
  });

  // A machine fails without closing connections. Without the timeout, requests
  // would be sent there for several seconds.
  it("skips an endpoint that is silent with open attempts", async () => {
    availability.started(a.id);
    await timer.advance(700);
    expect(healthyIds()).to.deep.equal(["b", "c"]);
    availability.recordResponse(a.id);
    expect(healthyIds()).to.contain("a");
  });

  it("skips an endpoint that refuses connections", () => {
    availability.recordRefusedConnection(c.id);
    availability.recordRefusedConnection(c.id);
    expect(healthyIds()).to.deep.equal(["a", "b"]);
  });

  // A replica fails half of its requests while its health check passes.
  it("skips an endpoint that fails more often than the others", () => {
    for (let count = 0; count < 20; count++) {
      availability.failed(a.id);
      availability.recordSuccess(b.id);
    }
    expect(healthyIds()).to.deep.equal(["b", "c"]);
  });

  // A faulty deployment makes every replica fail. Ejecting all of them would
  // turn the failure of some requests into the refusal of all.
  it("skips at most half of a pool because of failures", () => {
    for (const { id } of endpoints) {
      for (let count = 0; count < 20; count++) availability.failed(id);
    }
    expect(healthyIds()).to.have.length(3);
  });
});
