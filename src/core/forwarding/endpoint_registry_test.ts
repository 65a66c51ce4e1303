import { expect } from "chai";
import {
  makeEndpoint,
  PORTAL,
} from "../../../test/support/forwarding_values.ts";
import { ManualTimerService } from "../time/mod.ts";
import { EndpointRegistry, type RegistryChange } from "./mod.ts";

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
});
