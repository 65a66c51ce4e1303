import { expect } from "chai";
import { EntryFleet } from "../../../../test/support/entry_fleet.ts";
import {
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  PORTAL,
} from "../../../../test/support/forwarding_fixtures.ts";

const KNOWN = makeEndpoint("known");
const ENGINE = makeEngine("engine", "decode");

describe("Notifications of peers", () => {
  let fleet: EntryFleet;

  beforeEach(() => {
    fleet = new EntryFleet({
      entries: 2,
      zones: 1,
      configuration: makeConfiguration(),
      endpoints: [KNOWN, ENGINE],
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
});
