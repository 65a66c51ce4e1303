import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_values.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { EndpointOutcomes } from "../mod.ts";

describe("EndpointOutcomes", () => {
  const endpoints = ["a", "b", "c"].map((id) => makeEndpoint(id));
  const [a, b, c] = endpoints;
  let timer: ManualTimerService;
  let outcomes: EndpointOutcomes;

  beforeEach(() => {
    timer = new ManualTimerService();
    outcomes = new EndpointOutcomes(timer);
  });

  function well(): string[] {
    return outcomes.wellAmong(endpoints).map(({ id }) => String(id));
  }

  // Two of three engines change their role and turn everything away for
  // seconds. Each request asked both first, and the fleet's repeats were used
  // up for requests that nothing was wrong with.
  it("passes over what turns requests away, be it most of the pool", () => {
    for (const endpoint of [a, b]) {
      outcomes.rejected(endpoint.id);
      outcomes.rejected(endpoint.id);
    }
    expect(well()).to.deep.equal(["c"]);
  });

  it("asks again soon, and later each time", async () => {
    outcomes.rejected(a.id);
    outcomes.rejected(a.id);
    await timer.advance(260);
    expect(well()).to.contain("a");
    outcomes.rejected(a.id);
    await timer.advance(260);
    expect(well()).to.not.contain("a");
    await timer.advance(300);
    outcomes.succeeded(a.id);
    outcomes.rejected(a.id);
    expect(well()).to.contain("a");
  });

  describe("overloaded", () => {
    it("holds for the longest time that the endpoint has named", async () => {
      outcomes.overloaded(a.id, 3_000);
      outcomes.overloaded(a.id, 500);
      expect(outcomes.overloadMilliseconds(a.id)).to.equal(3_000);
      await timer.advance(2_000);
      expect(outcomes.overloadMilliseconds(a.id)).to.equal(1_000);
      await timer.advance(1_000);
      expect(outcomes.overloadMilliseconds(a.id)).to.equal(0);
    });

    it("holds for one endpoint alone, and for one run of it", () => {
      outcomes.overloaded(a.id, 3_000);
      expect(outcomes.overloadMilliseconds(b.id)).to.equal(0);
      outcomes.forget(a);
      expect(outcomes.overloadMilliseconds(a.id)).to.equal(0);
    });

    it("does not pass over the endpoint any longer than that", async () => {
      for (let count = 0; count < 5; count++) outcomes.overloaded(a.id, 200);
      await timer.advance(200);
      expect(well()).to.contain("a");
    });
  });

  it("leaves one alone whose address another replica has", () => {
    outcomes.misdirected(b.id);
    expect(well()).to.deep.equal(["a", "c"]);
  });

  // A machine goes dark and swallows what it is sent. Without this the
  // requests of several seconds follow each other there.
  it("passes over one that says nothing with work open", async () => {
    outcomes.started(a.id);
    await timer.advance(700);
    expect(well()).to.deep.equal(["b", "c"]);
    outcomes.heard(a.id);
    expect(well()).to.contain("a");
  });

  it("passes over one that refuses connections", () => {
    outcomes.refusedConnection(c.id);
    outcomes.refusedConnection(c.id);
    expect(well()).to.deep.equal(["a", "b"]);
  });

  // A replica fails half of its requests while it reports good health.
  it("passes over one that fails more than the others", () => {
    for (let count = 0; count < 20; count++) {
      outcomes.failed(a.id);
      outcomes.succeeded(b.id);
    }
    expect(well()).to.deep.equal(["b", "c"]);
  });

  // A bad deployment makes every replica fail. Passing over all of them would
  // turn failures of some requests into refusals of all.
  it("passes over no more than half of a pool for failures", () => {
    for (const { id } of endpoints) {
      for (let count = 0; count < 20; count++) outcomes.failed(id);
    }
    expect(well()).to.have.length(3);
  });
});
