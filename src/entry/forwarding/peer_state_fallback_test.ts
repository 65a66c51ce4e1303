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
import { identifier } from "../../core/identity/mod.ts";
import type { PeerAddress, StreamSnapshot } from "../../core/links/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { PeerStateFallback } from "./peer_state_fallback.ts";

interface EntryNode {
  readonly fallback: PeerStateFallback;
  readonly registry: EndpointRegistry;
  configuration: ForwardingConfiguration | undefined;
  asked: number;
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
    const node: EntryNode = {
      registry,
      configuration,
      asked: 0,
      fallback: new PeerStateFallback({
        timer,
        random: () => 0,
        logger: NOOP_LOGGER,
        registry,
        configuration: () => node.configuration,
        applyConfiguration: (next) => node.configuration = next,
        peers: () => [identifier<PeerAddress>("peer:1")],
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
      await timer.advance(300);
    }
    expect(disconnected.asked).to.equal(0);
  });

  // The connection on which the entry waits for a configuration has stalled
  // silently, while everything else works. Callers get 404 for a new route.
  it("queries a peer that has a newer configuration", async () => {
    disconnected.configuration = makeConfiguration({ version: 8 });
    disconnected.fallback.onPeerVersion(9);
    for (let passed = 0; passed < 1_000; passed += 100) {
      disconnected.fallback.onStoreRead();
      connected.fallback.onStoreRead();
      await timer.advance(100);
      await flushPromises();
    }
    expect(disconnected.configuration?.version).to.equal(9);
    expect(disconnected.asked).to.equal(1);
    // The entry's own read of the endpoints is as recent as the peer's.
    expect(disconnected.registry.size).to.equal(0);
  });
});
