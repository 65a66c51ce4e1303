import { expect } from "chai";
import { ok } from "neverthrow";
import { EntryFleet } from "../../../../test/support/entry_fleet.ts";
import {
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  PORTAL,
} from "../../../../test/support/forwarding_fixtures.ts";
import type { RoleLink } from "../mod.ts";

const KNOWN = makeEndpoint("known");
const ENGINE = makeEngine("engine", "decode");
const ROLE_LINK: RoleLink = {
  readClaim: () => Promise.resolve(ok({ claim: undefined, end: 0 })),
  appendClaim: () => Promise.resolve(ok(0)),
  order: () => Promise.resolve("accepted"),
};

describe("Notifications of peers", () => {
  let fleet: EntryFleet;

  beforeEach(() => {
    fleet = new EntryFleet({
      entries: 2,
      zones: 1,
      configuration: makeConfiguration(),
      endpoints: [KNOWN, ENGINE],
      roles: { link: ROLE_LINK, leaseMilliseconds: 3_000 },
      entryOptions: () => ({ recordPeerRead: () => "ahead" }),
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
});
