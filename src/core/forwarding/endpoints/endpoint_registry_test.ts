import { expect } from "chai";
import {
  makeEndpoint,
  makeEngine,
  PORTAL,
} from "../../../../test/support/forwarding_fixtures.ts";
import { numbered, type ReplicaStartTime } from "../../identity/mod.ts";
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
    it("gets no work after the record that marks it as leaving", () => {
      registry.upsert(endpoint);
      registry.upsert({ ...endpoint, leaving: true });
      expect(registry.inPool(PORTAL)).to.deep.equal([]);
      expect(changes).to.deep.equal(["registered", "leaving"]);
    });

    // After the record that marks the endpoint as leaving, a page of older
    // records is read again. The endpoint would get new work and abort it
    // seconds later.
    it("is not made usable by an older record", () => {
      registry.upsert({ ...endpoint, leaving: true });
      registry.upsert(endpoint);
      expect(registry.usable(endpoint.id)).to.equal(undefined);
    });

    it("is removed at once if its registration vanishes without an outage", () => {
      registry.upsert(endpoint);
      registry.remove(endpoint.id);
      expect(registry.size).to.equal(0);
    });
  });

  describe("around a store outage", () => {
    // Registrations lapse while the store is unavailable. Without a grace
    // period, all endpoints are gone for two seconds after its return, and
    // callers are refused although all engines run.
    it("keeps an endpoint whose registration lapsed until it is registered again", async () => {
      registry.upsert(endpoint);
      registry.storeFailed();
      registry.replaceAll([]);
      expect(registry.inPool(PORTAL)).to.have.length(1);
      await timer.advance(1_000);
      registry.upsert(endpoint);
      await timer.advance(5_000);
      expect(registry.inPool(PORTAL)).to.have.length(1);
      expect(changes).to.deep.equal(["registered", "lapsed", "back"]);
    });

    // The endpoint ended during the outage. If it were kept longer, it would
    // get requests that nobody answers.
    it("removes it if it is not registered again in time", async () => {
      registry.upsert(endpoint);
      registry.storeFailed();
      registry.remove(endpoint.id);
      await timer.advance(1_900);
      expect(registry.inPool(PORTAL)).to.deep.equal([]);
      expect(changes.at(-1)).to.equal("removed");
    });

    // The store was unavailable for this entry and has been back for three
    // seconds when an endpoint vanishes without having announced that it
    // leaves. If this counted as a lapse, the endpoint would get work during
    // the grace period and abort it when it ends.
    it("removes an endpoint that vanishes well after the outage", async () => {
      registry.upsert(endpoint);
      registry.storeFailed();
      await timer.advance(3_000);
      registry.remove(endpoint.id);
      expect(registry.size).to.equal(0);
    });

    it("removes a leaving endpoint at once", () => {
      registry.upsert({ ...endpoint, leaving: true });
      registry.storeFailed();
      registry.remove(endpoint.id);
      expect(registry.size).to.equal(0);
    });
  });

  // A replica crashes and restarts under its id before its removal is seen, or
  // leaves and returns. If it were taken for its previous run, it would get no
  // work for the lifetime of the entry, or be expected to hold caches that it
  // lacks.
  describe("a replica that restarts under its id", () => {
    const startedAt = (time: number) => numbered<ReplicaStartTime>(time);
    const first = { ...endpoint, startedAt: startedAt(1_000) };
    const second = { ...endpoint, startedAt: startedAt(2_000) };
    let discarded: RegisteredEndpoint[];

    beforeEach(() => {
      discarded = [];
      registry = new EndpointRegistry({
        timer,
        stateHolders: [{ forget: (each) => discarded.push(each) }],
        onChange: (change) => changes.push(change),
      });
    });

    it("gets work although its previous run was leaving", () => {
      registry.upsert({ ...first, leaving: true });
      registry.upsert(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });

    it("gets work after its previous run has left and was removed", () => {
      registry.upsert({ ...first, leaving: true });
      registry.remove(endpoint.id);
      registry.upsert(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });

    it("starts without the state of its previous run", () => {
      registry.upsert(first);
      registry.upsert(first);
      expect(discarded).to.deep.equal([]);
      registry.upsert(second);
      expect(discarded).to.deep.equal([first]);
      expect(changes).to.deep.equal(["registered", "restarted"]);
    });

    // A peer or an outdated page reports the previous run after the new one is
    // known.
    it("is not replaced by an older record of its previous run", () => {
      registry.upsert(second);
      expect(registry.upsert({ ...first, leaving: true })).to.equal(false);
      registry.upsert(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });

    it("is not restored by a record of its previous run after its removal", () => {
      registry.upsert(second);
      registry.remove(endpoint.id);
      registry.upsert(first);
      expect(registry.size).to.equal(0);
    });

    it("stays leaving if the same run is registered again after its removal", () => {
      registry.upsert({ ...second, leaving: true });
      registry.remove(endpoint.id);
      registry.upsert(second);
      expect(registry.inPool(PORTAL)).to.deep.equal([]);
    });

    it("is not taken for the lapsed run after an outage", async () => {
      registry.upsert(first);
      registry.storeFailed();
      registry.remove(endpoint.id);
      registry.upsert(second);
      expect(changes).to.deep.equal(["registered", "lapsed", "restarted"]);
      await timer.advance(5_000);
      expect(registry.inPool(PORTAL)).to.deep.equal([second]);
    });
  });

  // A store that is restored from an older copy, or a peer that is behind, has
  // an earlier registration of the same run.
  describe("an earlier registration of the same run", () => {
    const startedAt = numbered<ReplicaStartTime>(1_000);
    const earlier = makeEngine("one", "prefill", { startedAt, sequence: 4 });
    const later = makeEngine("one", "decode", { startedAt, sequence: 9 });

    for (const via of ["a record", "a listing"]) {
      const apply = (each: RegisteredEndpoint) =>
        via === "a record"
          ? registry.upsert(each)
          : registry.replaceAll([each]);

      it(`does not replace a later one as ${via}`, () => {
        apply(later);
        apply(earlier);
        expect(registry.get(later.id)).to.deep.equal(later);
        expect(changes).to.deep.equal(["registered"]);
      });
    }

    it("does not bring it back once it is removed", () => {
      registry.upsert(later);
      registry.remove(later.id);
      registry.upsert(earlier);
      expect(registry.size).to.equal(0);
    });

    it("shows that a lapsed endpoint is back", async () => {
      registry.upsert(later);
      registry.storeFailed();
      registry.replaceAll([]);
      registry.upsert(earlier);
      await timer.advance(5_000);
      expect(registry.get(later.id)).to.deep.equal(later);
    });

    it("still marks the endpoint as leaving", () => {
      registry.upsert(later);
      registry.upsert({ ...earlier, leaving: true });
      expect(registry.usable(later.id)).to.equal(undefined);
    });

    // Another writer's record with a number too large would hide the replica's
    // own registrations until its process is restarted.
    it("replaces a later one if nothing else comes for seconds", async () => {
      registry.upsert({ ...later, sequence: Number.MAX_SAFE_INTEGER });
      for (let sequence = 4; sequence < 20; sequence++) {
        registry.upsert({ ...earlier, sequence });
        await timer.advance(500);
      }
      expect(registry.get(later.id)?.role).to.equal("prefill");
    });

    it("of a run without a start time replaces a later one", () => {
      registry.upsert({ ...later, startedAt: undefined });
      registry.upsert({ ...earlier, startedAt: undefined });
      expect(registry.get(later.id)?.role).to.equal("prefill");
    });

    it("is followed behind a restart with the same number", () => {
      const restarted = {
        ...earlier,
        startedAt: numbered<ReplicaStartTime>(2e3),
      };
      registry.upsert(later);
      registry.upsert(restarted);
      expect(registry.get(later.id)).to.deep.equal(restarted);
    });
  });

  // Another writer overwrites the entry of a replica during a store outage. The
  // grace period for lapsed registrations would keep it in use for 1.8 s.
  it("removes the endpoint of an unreadable entry at once", () => {
    registry.upsert(endpoint);
    registry.storeFailed();
    registry.withdraw(endpoint.id);
    expect(registry.size).to.equal(0);
  });

  it("removes a lapsed endpoint that is leaving after its grace period", async () => {
    const timer = new ManualTimerService();
    const registry = new EndpointRegistry({ timer });
    const endpoint = makeEndpoint("lapsed");
    registry.upsert(endpoint);
    registry.storeFailed();
    registry.remove(endpoint.id);
    registry.markLeaving(endpoint);
    expect(registry.usable(endpoint.id)).to.equal(undefined);
    await timer.advance(2_000);
    expect([...registry.all]).to.deep.equal([]);
  });
});
