import { expect } from "chai";
import { ManualTimerService } from "../core/time/mod.ts";
import type { SideReport, WatchAnswer } from "../generated/messages.ts";
import { Catalog } from "./catalog.ts";
import type { Neighbours } from "./neighbours.ts";
import type { RegionLog } from "./region_log.ts";
import { Relay, type RelayedConfiguration } from "./relay.ts";

const REPORT: SideReport = {
  side: "side-portal",
  incarnation: "1",
  endpoint: "portal",
  state: "serving",
  load: { running: 0, waiting: 0, limit: 8, millisecondsBetweenTokens: 0 },
  configurationVersion: 0,
  ordersRead: 0,
  orderTaken: -1,
  orderApplied: -1,
};

const INVENTORY = {
  region: "klang-valley",
  availabilityZones: ["shah-alam"],
  pools: [{
    name: "member-portal",
    kind: "service",
    routes: [{ method: "POST", path: "/cases", idempotent: false }],
    endpoints: [{
      id: "portal",
      availabilityZone: "shah-alam",
      side: "127.0.0.1:1",
    }],
  }],
} as unknown as Catalog["inventory"];

/** A log that has applied version 3; nothing stands on its other streams. */
const LOG = {
  configuration: { appliedVersion: 3 },
  journals: {
    configuration: { noteHead() {} },
    orders: { noteHead() {}, position: 0 },
  },
  orders: { standingOrder: () => undefined },
} as unknown as RegionLog;

const NEIGHBOURS = { entriesFor: () => [] } as unknown as Neighbours;

describe("Relay", () => {
  // An entry that has just been started has applied the newest publication and
  // still reads in, so that nothing is in force there. A side asks. Told the
  // version and no endpoint it takes itself for withdrawn, and as it takes no
  // version twice it stays so: its endpoint gets no work until the next
  // publication, and callers are refused beside engines that are idle.
  it("names no version before the inventory of it is in force", async () => {
    const timer = new ManualTimerService();
    const inForce: { now?: RelayedConfiguration } = {};
    const relay = new Relay({
      timer,
      availabilityZone: "shah-alam",
      log: LOG,
      neighbours: NEIGHBOURS,
      inForce: () => inForce.now,
    });
    let answer: WatchAnswer | undefined;
    void relay.watch({ report: REPORT, waitMilliseconds: 1_000 })
      .then((given) => answer = given);
    await timer.advance(100);
    expect(answer).to.equal(undefined);
    const catalog = new Catalog(INVENTORY);
    inForce.now = { catalog, version: 3 };
    relay.configured(catalog);
    await timer.advance(0);
    expect(answer).to.deep.include({ configurationVersion: 3 });
    expect(answer?.endpoint?.state).to.equal("serving");
  });
});
