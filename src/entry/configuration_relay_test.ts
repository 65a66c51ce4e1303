import { expect } from "chai";
import { ManualTimerService } from "../core/time/mod.ts";
import type { SideReport, WatchAnswer } from "../generated/messages.ts";
import { Catalog } from "./catalog.ts";
import type { PeerDirectory } from "./peer_directory.ts";
import type { RegionLog } from "./region_log.ts";
import {
  ConfigurationRelay,
  type RelayedConfiguration,
} from "./configuration_relay.ts";

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

/** A log that has applied version 3; its other streams are empty. */
const LOG = {
  configuration: { appliedVersion: 3 },
  journals: {
    configuration: { noteHead() {} },
    orders: { noteHead() {}, position: 0 },
  },
  orders: { standingOrder: () => undefined },
} as unknown as RegionLog;

const PEERS = { entriesFor: () => [] } as unknown as PeerDirectory;

describe("ConfigurationRelay", () => {
  // A restarted entry has applied the newest publication but is still catching
  // up, so no configuration is active. If it answered a side with the version
  // and no endpoint, the side would consider itself withdrawn. As it accepts a
  // version only once, its endpoint would get no work until the next
  // publication, and callers would be refused while engines are idle.
  it("sends no version before its inventory is active", async () => {
    const timer = new ManualTimerService();
    const active: { value?: RelayedConfiguration } = {};
    const relay = new ConfigurationRelay({
      timer,
      availabilityZone: "shah-alam",
      log: LOG,
      peers: PEERS,
      activeConfiguration: () => active.value,
    });
    let answer: WatchAnswer | undefined;
    void relay.watch({ report: REPORT, waitMilliseconds: 1_000 })
      .then((received) => answer = received);
    await timer.advance(100);
    expect(answer).to.equal(undefined);
    const catalog = new Catalog(INVENTORY);
    active.value = { catalog, version: 3 };
    relay.onConfigurationActive(catalog);
    await timer.advance(0);
    expect(answer).to.deep.include({ configurationVersion: 3 });
    expect(answer?.endpoint?.state).to.equal("serving");
  });
});
