import { expect } from "chai";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { FleetLoad } from "../mod.ts";

describe("FleetLoad", () => {
  const engine = identifier<EndpointId>("engine");
  let timer: ManualTimerService;
  let load: FleetLoad;

  beforeEach(() => {
    timer = new ManualTimerService();
    load = new FleetLoad(timer);
  });

  function report(sequence: number, prefill: number, incarnation = "a"): void {
    load.applyPeerReport("peer", {
      incarnation,
      sequence,
      whole: true,
      work: [[engine, 1, prefill, 0]],
    });
  }

  it("adds its own work to that of its peers", () => {
    load.started(engine, { milliseconds: 30, tokens: 0 });
    load.started(engine, { milliseconds: 50, tokens: 800 });
    report(1, 20);
    expect(load.total(engine)).to.deep.equal({
      requests: 3,
      prefillMilliseconds: 100,
      tokens: 800,
    });
  });

  it("subtracts ended work once", () => {
    const handle = load.started(engine, { milliseconds: 30, tokens: 0 });
    handle.end();
    handle.end();
    expect(load.total(engine).requests).to.equal(0);
    expect(load.report({ whole: true })).to.deep.equal([]);
  });

  // Datagrams arrive out of order. An old report that is applied late would
  // show an engine as busy that has been idle for a while.
  it("ignores a report that is older than the last one", () => {
    report(2, 10);
    report(1, 500);
    expect(load.total(engine).prefillMilliseconds).to.equal(10);
  });

  it("accepts the reports of a restarted peer, whose sequence starts again", () => {
    report(70, 10);
    report(1, 20, "b");
    expect(load.total(engine).prefillMilliseconds).to.equal(20);
  });

  // One datagram is lost. Its content stays outdated until the peer's next
  // complete report; the rest must not be lost with it.
  it("merges changes into a peer's earlier reports", () => {
    report(1, 500);
    const other = identifier<EndpointId>("other");
    const partial = { incarnation: "a", whole: false };
    load.applyPeerReport("peer", {
      ...partial,
      sequence: 2,
      work: [[other, 2, 7, 0]],
    });
    expect(load.total(engine).prefillMilliseconds).to.equal(500);
    expect(load.total(other).requests).to.equal(2);
    load.applyPeerReport("peer", {
      ...partial,
      sequence: 3,
      work: [[other, 0, 0, 0]],
    });
    expect(load.total(other).requests).to.equal(0);
  });

  it("reports each change once, including ended work", () => {
    const handle = load.started(engine);
    expect(load.report({ whole: false })).to.have.length(1);
    expect(load.hasUnreported).to.equal(false);
    handle.end();
    expect(load.report({ whole: false })).to.deep.equal([[engine, 0, 0, 0]]);
  });

  // A peer is killed while it has open work. Its last report would keep the
  // engine out of use permanently.
  it("ignores the reports of a silent peer", async () => {
    report(1, 500);
    await timer.advance(1_100);
    expect(load.total(engine).prefillMilliseconds).to.equal(0);
  });

  // The engine restarts while requests to its previous run are open here. If
  // they still counted, an idle engine would appear busy; if they were
  // subtracted when they end, a busy one would appear idle.
  it("permanently discards the work at an engine's previous run", () => {
    const previous = load.started(engine, { milliseconds: 30, tokens: 0 });
    report(1, 20);
    load.forget({ id: engine });
    load.started(engine, { milliseconds: 5, tokens: 0 });
    previous.end();
    expect(load.total(engine)).to.deep.equal({
      requests: 1,
      prefillMilliseconds: 5,
      tokens: 0,
    });
  });
});
