import { expect } from "chai";
import {
  makeEndpoint,
  PORTAL,
} from "../../../../test/support/forwarding_values.ts";
import { numbered, type ReplicaStart } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  EndpointRegistry,
  type RegisteredEndpoint,
  type RegistryChange,
} from "../mod.ts";

describe("EndpointRegistry", () => {
  let timer: ManualTimerService;
  let changes: RegistryChange[];
  let registry: EndpointRegistry;
  const endpoint = makeEndpoint("one");

  beforeEach(() => {
    timer = new ManualTimerService();
    changes = [];
    registry = new EndpointRegistry({
      timer,
      onChange: (change) => changes.push(change),
    });
  });

  describe("an endpoint that leaves", () => {
    it("gets nothing from the record on that says so", () => {
      registry.put(endpoint);
      registry.put({ ...endpoint, leaving: true });
      expect(registry.inPool(PORTAL)).to.deep.equal([]);
      expect(changes).to.deep.equal(["registered", "leaving"]);
    });

    // The record that says "leaving" has been read; then a page of older
    // records is read once more. The endpoint would get new work and cut it
    // off seconds later.
    it("is not brought back by an older record", () => {
      registry.put({ ...endpoint, leaving: true });
      registry.put(endpoint);
      expect(registry.usable(endpoint.id)).to.equal(undefined);
    });

    it("is gone at once where its registration vanishes on a calm day", () => {
      registry.put(endpoint);
      registry.remove(endpoint.id);
      expect(registry.size).to.equal(0);
    });
  });

  describe("around an outage of the store", () => {
    // Registrations lapse while the store is away. Without the grace every
    // endpoint is gone for two seconds after its return and callers are
    // refused although all engines run.
    it("keeps an endpoint whose registration lapsed, and takes it back", async () => {
      registry.put(endpoint);
      registry.storeFailed();
      registry.replaceAll([]);
      expect(registry.inPool(PORTAL)).to.have.length(1);
      await timer.advance(1_000);
      registry.put(endpoint);
      await timer.advance(5_000);
      expect(registry.inPool(PORTAL)).to.have.length(1);
      expect(changes).to.deep.equal(["registered", "lapsed", "back"]);
    });

    // The endpoint ended during the outage. Kept for longer, it would get
    // requests that nobody answers.
    it("drops it where it is not back in time", async () => {
      registry.put(endpoint);
      registry.storeFailed();
      registry.remove(endpoint.id);
      await timer.advance(1_900);
      expect(registry.inPool(PORTAL)).to.deep.equal([]);
      expect(changes.at(-1)).to.equal("removed");
    });

    // The store was away for this entry, and is back for three seconds when an
    // endpoint leaves without a word before. Taken for a lapse, it got work
    // for as long as the grace, and its answers were cut when it ended.
    it("drops an endpoint that vanishes well after the outage", async () => {
      registry.put(endpoint);
      registry.storeFailed();
      await timer.advance(3_000);
      registry.remove(endpoint.id);
      expect(registry.size).to.equal(0);
    });

    it("drops a leaving endpoint at once", () => {
      registry.put({ ...endpoint, leaving: true });
      registry.storeFailed();
      registry.remove(endpoint.id);
      expect(registry.size).to.equal(0);
    });
  });

  // A replica crashes and starts again under its id before anyone has seen it
  // gone, or leaves and comes back. Taken for the former run it gets no work
  // for as long as the entry lives, or is trusted with caches it has not got.
  describe("a replica that starts again under its id", () => {
    const startedAt = (time: number) => numbered<ReplicaStart>(time);
    const first = { ...endpoint, startedAt: startedAt(1_000) };
    const second = { ...endpoint, startedAt: startedAt(2_000) };
    let forgotten: RegisteredEndpoint[];

    beforeEach(() => {
      forgotten = [];
      registry = new EndpointRegistry({
        timer,
        memories: [{ forget: (each) => forgotten.push(each) }],
        onChange: (change) => changes.push(change),
      });
    });

    it("gets work although its former run had begun to leave", () => {
      registry.put({ ...first, leaving: true });
      registry.put(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });

    it("gets work after its former run has left and is gone", () => {
      registry.put({ ...first, leaving: true });
      registry.remove(endpoint.id);
      registry.put(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });

    it("begins with nothing remembered", () => {
      registry.put(first);
      registry.put(first);
      expect(forgotten).to.deep.equal([]);
      registry.put(second);
      expect(forgotten).to.deep.equal([first]);
      expect(changes).to.deep.equal(["registered", "restarted"]);
    });

    // A peer or an old page tells of the former run after the new one is known.
    it("is not replaced by an older record of its former run", () => {
      registry.put(second);
      expect(registry.put({ ...first, leaving: true })).to.equal(false);
      registry.put(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });

    it("is not brought back by its former run once it is gone", () => {
      registry.put(second);
      registry.remove(endpoint.id);
      registry.put(first);
      expect(registry.size).to.equal(0);
    });

    it("stays leaving where its own run comes back after it was gone", () => {
      registry.put({ ...second, leaving: true });
      registry.remove(endpoint.id);
      registry.put(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([]);
    });

    it("is not the lapsed run that comes back after an outage", async () => {
      registry.put(first);
      registry.storeFailed();
      registry.remove(endpoint.id);
      registry.put(second);
      expect(changes).to.deep.equal(["registered", "lapsed", "restarted"]);
      await timer.advance(5_000);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });
  });

  // Another writer overwrites a replica's entry during an outage of the store.
  // The grace for lapsed registrations would keep it in use for 1.8 s.
  it("drops at once what an unreadable entry stands for", () => {
    registry.put(endpoint);
    registry.storeFailed();
    registry.withdraw(endpoint.id);
    expect(registry.size).to.equal(0);
  });

  it("drops a lapsed endpoint that says that it leaves once its grace is over", async () => {
    const timer = new ManualTimerService();
    const registry = new EndpointRegistry({ timer });
    const endpoint = makeEndpoint("lapsed");
    registry.put(endpoint);
    registry.storeFailed();
    registry.remove(endpoint.id);
    registry.saidLeaving(endpoint);
    expect(registry.usable(endpoint.id)).to.equal(undefined);
    await timer.advance(2_000);
    expect([...registry.all]).to.deep.equal([]);
  });
});
