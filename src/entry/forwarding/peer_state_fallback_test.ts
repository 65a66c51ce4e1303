import { expect } from "chai";
import { err, ok } from "neverthrow";
import { flushPromises } from "../../../test/support/forwarding_harness.ts";
import {
  makeConfiguration,
  makeEndpoint,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  EndpointRegistry,
  type ForwardingConfiguration,
} from "../../core/forwarding/mod.ts";
import { identifier, type ProcessId } from "../../core/identity/mod.ts";
import type { PeerAddress, StreamSnapshot } from "../../core/links/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { ConfigurationStatus } from "./configuration_status.ts";
import { FleetContact } from "./fleet_contact.ts";
import type { FleetMember } from "./forwarding_state.ts";
import { PeerStateFallback } from "./peer_state_fallback.ts";

const PEER = identifier<ProcessId>("entry-1");

interface EntryNode {
  readonly fallback: PeerStateFallback;
  readonly registry: EndpointRegistry;
  readonly status: ConfigurationStatus;
  configuration: ForwardingConfiguration | undefined;
  asked: number;
  entries: readonly FleetMember[];
}

describe("PeerStateFallback", () => {
  let timer: ManualTimerService;
  let connected: EntryNode;
  let disconnected: EntryNode;

  function makeNode(
    answer: () => StreamSnapshot | undefined,
    configuration?: ForwardingConfiguration,
  ): EntryNode {
    const registry = new EndpointRegistry({ timer });
    const status = new ConfigurationStatus({
      timer,
      logger: NOOP_LOGGER,
      version: () => node.configuration?.version,
    });
    const node: EntryNode = {
      registry,
      status,
      configuration,
      asked: 0,
      entries: [],
      fallback: new PeerStateFallback({
        timer,
        random: () => 0,
        logger: NOOP_LOGGER,
        registry,
        contact: new FleetContact({
          timer,
          peerCount: () => 1,
          hasHeardPeer: () => false,
        }),
        configuration: () => node.configuration,
        configurationStatus: status,
        applyConfiguration: (next) => node.configuration = next,
        addressOf: (peer) =>
          peer === PEER ? identifier<PeerAddress>("peer:1") : undefined,
        peers: () => [identifier<PeerAddress>("peer:1")],
        listEntries: () => [["entry-1", "10.0.0.1:7000"]],
        adoptEntries: (entries) => node.entries = entries,
        adoptEndpoints: (endpoints) => registry.replaceAll(endpoints),
        ask: () => {
          node.asked += 1;
          const snapshot = answer();
          return Promise.resolve(
            snapshot === undefined
              ? err({
                name: "link_lost" as const,
                title: "",
                message: "",
                hint: "",
              })
              : ok(JSON.parse(JSON.stringify(snapshot)) as StreamSnapshot),
          );
        },
      }),
    };
    return node;
  }

  beforeEach(() => {
    timer = new ManualTimerService();
    connected = makeNode(() => undefined, makeConfiguration({ version: 9 }));
    connected.registry.upsert(makeEndpoint("a"));
    disconnected = makeNode(() => connected.fallback.snapshot());
    disconnected.fallback.start();
  });

  afterEach(() => disconnected.fallback.stop());

  async function advanceConnected(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      connected.fallback.onStoreRead();
      await timer.advance(100);
      await flushPromises();
    }
  }

  // An entry starts while the store is down. Without its peers it refuses every
  // caller until the store recovers.
  it("provides a starting entry with configuration and endpoints", async () => {
    await advanceConnected(1_000);
    expect(disconnected.configuration?.version).to.equal(9);
    expect(disconnected.configuration?.pools.get(PORTAL)?.mostConnections)
      .to.equal(100);
    expect(disconnected.registry.inPool(PORTAL)).to.have.length(1);
    expect(disconnected.entries).to.deep.equal([["entry-1", "10.0.0.1:7000"]]);
  });

  // The store rejects this entry, and an endpoint starts to leave. Without the
  // fallback the entry sends to it until it has ended, and responses are cut.
  it("passes on that an endpoint is leaving", async () => {
    await advanceConnected(1_000);
    connected.registry.upsert(makeEndpoint("a", { leaving: true }));
    await advanceConnected(1_000);
    expect(disconnected.registry.inPool(PORTAL)).to.deep.equal([]);
  });

  // Both entries have lost the store, and the peer's list is old. If it were
  // treated as current, it would bring back endpoints that have ended.
  it("takes no endpoints from a peer that is behind too", async () => {
    disconnected.configuration = makeConfiguration({ version: 9 });
    disconnected.fallback.stop();
    connected.fallback.onStoreRead();
    await timer.advance(2_000);
    disconnected.fallback.start();
    await timer.advance(2_000);
    expect(disconnected.asked).to.be.greaterThan(0);
    expect(disconnected.registry.size).to.equal(0);
  });

  it("sends no query while the store responds", async () => {
    for (let count = 0; count < 20; count++) {
      disconnected.fallback.onStoreRead();
      disconnected.status.onConfirmed();
      await timer.advance(300);
    }
    expect(disconnected.asked).to.equal(0);
  });

  it("takes the configuration of a named peer and not its endpoints", async () => {
    disconnected.configuration = makeConfiguration({ version: 8 });
    disconnected.fallback.onStoreRead();
    disconnected.status.onConfirmed();
    connected.fallback.onStoreRead();
    await disconnected.fallback.fetchConfiguration(PEER);
    expect(disconnected.configuration?.version).to.equal(9);
    expect(disconnected.asked).to.equal(1);
    // The entry's own read of the endpoints is as recent as the peer's.
    expect(disconnected.registry.size).to.equal(0);
  });

  it("queries no peer that is not listed", async () => {
    await disconnected.fallback.fetchConfiguration(identifier("stranger"));
    expect(disconnected.asked).to.equal(0);
  });

  // Reads of the endpoints must not hide that the configuration's are silent.
  it("queries peers if only the configuration is not confirmed", async () => {
    disconnected.configuration = makeConfiguration({ version: 8 });
    disconnected.status.onConfirmed();
    for (let passed = 0; passed < 1_500; passed += 100) {
      disconnected.fallback.onStoreRead();
      connected.fallback.onStoreRead();
      await timer.advance(100);
      await flushPromises();
    }
    expect(disconnected.configuration?.version).to.equal(9);
    expect(disconnected.registry.size).to.equal(0);
  });

  describe("takes nothing of a peer's state", () => {
    // Parts of it would be in force, and throw where requests use them.
    const invalid: Readonly<
      Record<string, (state: Record<string, unknown>) => unknown>
    > = {
      "without limits": (state) => withConfiguration(state, { limits: null }),
      "with a route that is null": (state) =>
        withConfiguration(state, { routes: [null] }),
      "with a pool without a name": (state) =>
        withConfiguration(state, { pools: [{}] }),
      "with a workspace without keys": (state) =>
        withConfiguration(state, { workspaces: [{ id: "a" }] }),
      // No later version would come into force behind one that is too large.
      "with a version that is no safe integer": (state) =>
        withConfiguration(state, { version: 1e308 }),
      "with a version that has no successor": (state) =>
        withConfiguration(state, { version: 2 ** 53 }),
      "with a negative version": (state) =>
        withConfiguration(state, { version: -1 }),
      "with an endpoint that is null": (state) => ({
        ...state,
        endpoints: [null],
      }),
      "with an endpoint without an address": (state) => ({
        ...state,
        endpoints: [{ id: "a", pool: PORTAL }],
      }),
    };
    for (const [name, change] of Object.entries(invalid)) {
      it(name, async () => {
        connected.fallback.onStoreRead();
        const snapshot = connected.fallback.snapshot() as StreamSnapshot;
        const state = change(snapshot.state);
        const node = makeNode(() => ({ ...snapshot, state }) as StreamSnapshot);
        node.fallback.start();
        await timer.advance(600);
        await flushPromises();
        node.fallback.stop();
        expect(node.asked).to.equal(1);
        expect(node.configuration).to.equal(undefined);
        expect(node.registry.size).to.equal(0);
        expect(node.entries).to.deep.equal([]);
      });
    }
  });
});

function withConfiguration(
  state: Record<string, unknown>,
  values: Readonly<Record<string, unknown>>,
) {
  const configuration = { ...state.configuration as object, ...values };
  return { ...state, configuration };
}
