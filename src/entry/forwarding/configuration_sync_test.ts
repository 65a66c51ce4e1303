import { expect } from "chai";
import { deliverNotification } from "../../../test/support/deliver_notification.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { ConfigurationStatus } from "./configuration_status.ts";
import { ConfigurationSync } from "./configuration_sync.ts";
import { CONFIGURATION_METHOD } from "./notifications/configuration_notification.ts";

/** Time in which an entry has to query a peer that has a newer version. */
const QUERY_DEADLINE_MILLISECONDS = 500;

describe("ConfigurationSync", () => {
  let timer: ManualTimerService;
  let sync: ConfigurationSync;
  let version: number;
  let announced: unknown[];
  let confirmations: number;
  let storeChecks: number;
  let queried: string[];
  /** Versions that peers return when they are queried. */
  let versions: Map<string, number>;

  beforeEach(() => {
    timer = new ManualTimerService();
    version = 8;
    announced = [];
    confirmations = 0;
    storeChecks = 0;
    queried = [];
    versions = new Map();
    sync = new ConfigurationSync({
      process: "self",
      timer,
      random: () => 0.5,
      status: new ConfigurationStatus({
        timer,
        logger: NOOP_LOGGER,
        version: () => version,
      }),
      version: () => version,
      entries: () => 5,
      broadcast: ({ params }) => void announced.push(params),
      onConfirmed: () => void (confirmations += 1),
      checkStore: () => void (storeChecks += 1),
      fetchFrom: (name) => {
        queried.push(name);
        apply(versions.get(name) ?? 0);
        return Promise.resolve();
      },
    });
  });

  afterEach(() => sync.stop());

  function apply(next: number): void {
    if (next <= version) return;
    version = next;
    sync.onApplied();
  }

  const notice = (entry: string, isCurrent = false) => {
    const params = { entry, version: versions.get(entry) ?? 0, isCurrent };
    sync.onNotification(params);
  };

  describe("of an entry that is behind", () => {
    // The connection on which the entry waits for a configuration has stalled
    // silently. Callers get 404 for a new route.
    it("reads the store again and queries a peer with the version", async () => {
      versions.set("b", 9);
      notice("b");
      await timer.advance(QUERY_DEADLINE_MILLISECONDS);
      expect(version).to.equal(9);
      expect(queried).to.deep.equal(["b"]);
      expect(storeChecks).to.equal(1);
    });

    it("queries nobody if its own read is in time", async () => {
      versions.set("b", 9);
      notice("b");
      await timer.advance(50);
      apply(9);
      await timer.advance(QUERY_DEADLINE_MILLISECONDS);
      expect(queried).to.deep.equal([]);
      expect(storeChecks).to.equal(0);
    });

    // Versions come more often than the grace for the entry's own read. If each
    // restarted it, no peer would be queried until they stop.
    it("queries a peer although newer versions keep coming", async () => {
      for (let next = 9; timer.now() < QUERY_DEADLINE_MILLISECONDS; next++) {
        versions.set("b", next);
        notice("b");
        await timer.advance(50);
      }
      expect(version).to.be.greaterThan(9);
    });

    it("does not query peers that are behind too", async () => {
      for (const name of ["a", "c", "d"]) {
        versions.set(name, 8);
        notice(name);
      }
      versions.set("b", 9);
      notice("b");
      await timer.advance(QUERY_DEADLINE_MILLISECONDS);
      expect(new Set(queried)).to.deep.equal(new Set(["b"]));
    });

    // The first peer that is queried does not answer.
    it("queries another peer that has the version", async () => {
      for (const name of ["a", "b"]) {
        sync.onNotification({ entry: name, version: 9, isCurrent: false });
      }
      await timer.advance(QUERY_DEADLINE_MILLISECONDS);
      expect(new Set(queried)).to.deep.equal(new Set(["a", "b"]));
    });

    it("stops once it has caught up", async () => {
      versions.set("b", 9);
      notice("b");
      await timer.advance(5_000);
      expect(queried).to.deep.equal(["b"]);
    });
  });

  describe("of an entry that applies a version", () => {
    it("announces it", async () => {
      apply(9);
      await timer.advance(10);
      expect(announced).to.deep.equal([
        { entry: "self", version: 9, isCurrent: false },
      ]);
    });

    // The announcement waits for a random time. If each version restarted it, a
    // series of versions would never be announced.
    it("announces one although newer versions keep coming", async () => {
      while (timer.now() < 100) {
        apply(version + 1);
        await timer.advance(0.5);
      }
      expect(announced.length).to.be.at.least(50);
    });

    it("does not announce what enough peers have announced", async () => {
      apply(9);
      for (const name of ["a", "b", "c"]) {
        versions.set(name, 9);
        notice(name);
      }
      await timer.advance(10);
      expect(announced).to.deep.equal([]);
    });
  });

  describe("confirms the version in force", () => {
    it("by a peer that has just read the store", () => {
      versions.set("b", 8);
      notice("b", true);
      expect(confirmations).to.equal(1);
    });

    // Two entries without the store would otherwise confirm each other.
    it("not by a peer that has not", () => {
      versions.set("b", 8);
      notice("b");
      expect(confirmations).to.equal(0);
    });

    it("not by a peer with another version", () => {
      for (const [name, other] of [["a", 7], ["b", 9]] as const) {
        versions.set(name, other);
        notice(name, true);
      }
      expect(confirmations).to.equal(0);
    });
  });

  it("ignores malformed notifications", async () => {
    // An entry would query forever for a version that no store can hold.
    const unreachable = [1e308, 2 ** 53, 9.5, -1].map((version) => (
      { entry: "b", version, isCurrent: false }
    ));
    const malformed = [null, 9, {}, { entry: "b", version: "9" }];
    for (const params of [...malformed, ...unreachable]) {
      const isValid = deliverNotification(CONFIGURATION_METHOD, params, {
        handler: (valid) => sync.onNotification(valid),
      });
      expect(isValid).to.equal(false);
    }
    await timer.advance(QUERY_DEADLINE_MILLISECONDS);
    expect(queried).to.deep.equal([]);
  });
});
