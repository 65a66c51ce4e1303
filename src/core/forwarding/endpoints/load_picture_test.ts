import { expect } from "chai";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { LoadPicture } from "../mod.ts";

describe("LoadPicture", () => {
  const engine = identifier<EndpointId>("engine");
  let timer: ManualTimerService;
  let load: LoadPicture;

  beforeEach(() => {
    timer = new ManualTimerService();
    load = new LoadPicture(timer);
  });

  function report(sequence: number, prefill: number, incarnation = "a"): void {
    load.peerReported("peer", {
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

  it("takes off what has ended, once", () => {
    const ticket = load.started(engine, { milliseconds: 30, tokens: 0 });
    ticket.end();
    ticket.end();
    expect(load.total(engine).requests).to.equal(0);
    expect(load.report({ whole: true })).to.deep.equal([]);
  });

  // Datagrams overtake each other. Taken in the order of their arrival, an old
  // report would show an engine as busy that has been free for a while.
  it("passes over a report that is older than the last one", () => {
    report(2, 10);
    report(1, 500);
    expect(load.total(engine).prefillMilliseconds).to.equal(10);
  });

  it("takes a restarted peer's reports, which count from the beginning", () => {
    report(70, 10);
    report(1, 20, "b");
    expect(load.total(engine).prefillMilliseconds).to.equal(20);
  });

  // One datagram is lost. What it told of stays as it was until the peer tells
  // of everything again; the rest must not be forgotten with it.
  it("adds what has changed to what a peer told before", () => {
    report(1, 500);
    const other = identifier<EndpointId>("other");
    const told = { incarnation: "a", whole: false };
    load.peerReported("peer", {
      ...told,
      sequence: 2,
      work: [[other, 2, 7, 0]],
    });
    expect(load.total(engine).prefillMilliseconds).to.equal(500);
    expect(load.total(other).requests).to.equal(2);
    load.peerReported("peer", {
      ...told,
      sequence: 3,
      work: [[other, 0, 0, 0]],
    });
    expect(load.total(other).requests).to.equal(0);
  });

  it("tells of each change once, and of what has ended", () => {
    const ticket = load.started(engine);
    expect(load.report({ whole: false })).to.have.length(1);
    expect(load.hasChanged).to.equal(false);
    ticket.end();
    expect(load.report({ whole: false })).to.deep.equal([[engine, 0, 0, 0]]);
  });

  // A peer is killed while it has work open. Its last report would keep the
  // engine out of use for good.
  it("forgets a peer that has fallen silent", async () => {
    report(1, 500);
    await timer.advance(1_100);
    expect(load.total(engine).prefillMilliseconds).to.equal(0);
  });

  // The engine starts again while requests to its former run are still open
  // here. Counted on, they make an idle engine look busy; taken off when they
  // end, they make a busy one look idle.
  it("forgets the work at an engine's former run for good", () => {
    const former = load.started(engine, { milliseconds: 30, tokens: 0 });
    report(1, 20);
    load.forget({ id: engine });
    load.started(engine, { milliseconds: 5, tokens: 0 });
    former.end();
    expect(load.total(engine)).to.deep.equal({
      requests: 1,
      prefillMilliseconds: 5,
      tokens: 0,
    });
  });
});
