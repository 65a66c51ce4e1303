import { expect } from "chai";
import { ok } from "neverthrow";
import { EntryFleet } from "../../../../test/support/entry_fleet.ts";
import {
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  PORTAL,
} from "../../../../test/support/forwarding_fixtures.ts";
import { NOOP_LOGGER } from "../../../core/observation/mod.ts";
import { numbered, type ReplicaStartTime } from "../../../core/identity/mod.ts";
import { seededRandom } from "../../../core/random/mod.ts";
import {
  changeValue,
  encodeInvalid,
  pick,
} from "../../../../test/support/invalid_values.ts";
import { makeNotifications } from "../../../../test/support/notification_samples.ts";
import type { DroppedNotification, RoleLink } from "../mod.ts";
import {
  createNotificationHandlers,
  type NotificationParts,
  NotificationReceiver,
} from "./mod.ts";

const KNOWN = makeEndpoint("known");
const ENGINE = makeEngine("engine", "decode");
const ROLE_LINK: RoleLink = {
  readClaim: () => Promise.resolve(ok({ claim: undefined, end: 0 })),
  appendClaim: () => Promise.resolve(ok(0)),
  order: () => Promise.resolve("accepted"),
};

describe("Notifications of peers", () => {
  let fleet: EntryFleet;
  let dropped: DroppedNotification[];

  beforeEach(() => {
    dropped = [];
    fleet = new EntryFleet({
      entries: 2,
      zones: 1,
      configuration: makeConfiguration(),
      endpoints: [KNOWN, ENGINE],
      roles: { link: ROLE_LINK, leaseMilliseconds: 3_000 },
      entryOptions: () => ({
        recordPeerRead: () => "ahead",
        onDroppedNotification: (each) => void dropped.push(each),
      }),
    });
  });

  afterEach(() => {
    for (const entry of fleet.entries) entry.close();
  });

  describe("with registrations", () => {
    // A change without the fields of an endpoint throws while it is applied,
    // which ended the process, and behind which the rest counts as read.
    const added = { id: "added", endpoint: makeEndpoint("added") };
    const invalid: Readonly<Record<string, unknown>> = {
      "no changes": undefined,
      "a change that is null": [added, null],
      "an endpoint that is null": [added, { id: "other", endpoint: null }],
      "an endpoint without fields": [added, { id: "other", endpoint: {} }],
      "an id that no header can carry": [
        added,
        { id: "\n", endpoint: makeEndpoint("\n") },
      ],
      "a port that does not exist": [
        added,
        {
          id: "other",
          endpoint: makeEndpoint("other", { address: "a:70000" }),
        },
      ],
      "another id than that of the endpoint": [
        { id: "other", endpoint: makeEndpoint("added") },
      ],
    };
    for (const [name, changes] of Object.entries(invalid)) {
      it(`applies none if there is ${name}`, () => {
        const [entry] = fleet.entries;
        const params = { changes, span: { from: 0, to: 2 } };
        entry.onNotification("entry.registrations", params);
        expect(entry.registry.inPool(PORTAL)).to.deep.equal([KNOWN]);
      });
    }

    it("applies them if there are fields of a later version", () => {
      const [entry] = fleet.entries;
      entry.onNotification("entry.registrations", {
        changes: [{ ...added, later: 1 }],
        span: { from: 0, to: 1, later: 1 },
        later: 1,
      });
      expect(entry.registry.inPool(PORTAL)).to.have.length(2);
    });
  });

  // An entry would count as behind, and query its peers, until it ends.
  for (const method of ["entry.work", "entry.configuration"] as const) {
    for (const version of [1e308, 2 ** 53, 1.5, -1]) {
      it(`leave the newest version unchanged with ${version} in ${method}`, () => {
        const [entry] = fleet.entries;
        const before = entry.configurationStatus.newestVersion;
        const samples = makeNotifications({
          sender: "entry-1",
          endpoint: KNOWN,
          sequence: 1,
        });
        const params = { ...samples[method], version };
        entry.onNotification(method, params);
        expect(entry.configurationStatus.newestVersion).to.equal(before);
      });
    }
  }

  describe("with role orders", () => {
    // An order that is not a row throws where it is taken apart, which ended
    // the process.
    const invalid: readonly unknown[] = [
      undefined,
      [null],
      [{}],
      [["engine"]],
      [["engine", "other"]],
      [["engine", "prefill"], 1],
    ];
    for (const orders of invalid) {
      it(`ignores ${JSON.stringify(orders)}`, () => {
        const [entry] = fleet.entries;
        entry.onNotification("entry.roles", { orders });
        expect(entry.isChanging(ENGINE.id)).to.equal(false);
      });
    }

    it("notes that the engine changes", () => {
      const [entry] = fleet.entries;
      const orders = [[ENGINE.id, "prefill", "later"]];
      entry.onNotification("entry.roles", { orders, later: 1 });
      expect(entry.isChanging(ENGINE.id)).to.equal(true);
    });
  });

  describe("that have no effect", () => {
    it("are counted with the peer that sent them", () => {
      const [entry] = fleet.entries;
      const send = (method: string, params: unknown, from: string) =>
        entry.onNotification(method, params, { from });
      send("entry.later", {}, "1");
      send("constructor", {}, "1");
      send("entry.roles", [], "1");
      send("entry.roles", {}, "127.0.0.1:9");
      entry.onUnreadableDatagram(7, "1");
      expect(dropped).to.deep.equal([
        { method: undefined, reason: "unknown_method", sender: "entry-1" },
        { method: undefined, reason: "unknown_method", sender: "entry-1" },
        { method: "entry.roles", reason: "invalid", sender: "entry-1" },
        { method: "entry.roles", reason: "invalid", sender: "unlisted" },
        { method: undefined, reason: "unreadable", sender: "entry-1" },
      ]);
    });

    // A throw in the listener of the socket ends the process.
    it("as their handler throws end alone, and are logged with a stack", () => {
      const errors: unknown[] = [];
      const receiver = new NotificationReceiver({
        logger: { ...NOOP_LOGGER, error: (facts) => void errors.push(facts) },
        peerAt: () => undefined,
        onDropped: (each) => void dropped.push(each),
        handlers: createNotificationHandlers(
          {
            roleController: {
              onPeerOrders() {
                throw new TypeError("Half applied");
              },
            },
          } as unknown as NotificationParts,
        ),
      });
      receiver.receive("entry.roles", { orders: [] }, { from: "1" });
      expect(dropped).to.have.length(1);
      expect(dropped[0].reason).to.equal("faulted");
      expect(JSON.stringify(errors)).to.contain("Half applied")
        .and.to.contain("onPeerOrders");
    });
  });

  // Each seed has changed messages that no other test has.
  for (const seed of [1, 2, 3]) {
    it(`of seed ${seed}, changed at random, throw nowhere`, async () => {
      const [entry] = fleet.entries;
      const random = seededRandom(seed);
      const startedAt = numbered<ReplicaStartTime>(1_000);
      const endpoint = { ...ENGINE, startedAt };
      entry.registry.upsert(endpoint);
      for (let sequence = 1; sequence <= 1_000; sequence++) {
        const samples = makeNotifications({
          sender: random() < 0.8 ? "entry-1" : "unlisted",
          endpoint,
          sequence,
        });
        const [method, params] = pick(Object.entries(samples), random);
        const changed = JSON.parse(encodeInvalid(changeValue(params, random)));
        entry.onNotification(method, changed, { from: "1" });
        if (sequence % 20 === 0) await fleet.timer.advance(20);
      }
      expect(dropped.some(({ reason }) => reason === "invalid"))
        .to.equal(true);
      expect(dropped.filter(({ reason }) => reason === "faulted"))
        .to.deep.equal([]);
    });
  }
});
