import { expect } from "chai";
import { err, ok } from "neverthrow";
import { settled } from "../../../test/support/forwarding_bench.ts";
import {
  makeConfiguration,
  makeEndpoint,
  PORTAL,
} from "../../../test/support/forwarding_values.ts";
import {
  EndpointRegistry,
  type ForwardingConfiguration,
} from "../../core/forwarding/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { PeerAddress, StreamSnapshot } from "../../core/links/mod.ts";
import { SILENT_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { PeerStateFallback } from "./peer_state_fallback.ts";

interface Node {
  readonly relay: PeerStateFallback;
  readonly registry: EndpointRegistry;
  configuration: ForwardingConfiguration | undefined;
  asked: number;
}

describe("StateRelay", () => {
  let timer: ManualTimerService;
  let served: Node;
  let turnedAway: Node;

  function makeNode(
    answer: () => StreamSnapshot | undefined,
    configuration?: ForwardingConfiguration,
  ): Node {
    const registry = new EndpointRegistry({ timer });
    const node: Node = {
      registry,
      configuration,
      asked: 0,
      relay: new PeerStateFallback({
        timer,
        random: () => 0,
        logger: SILENT_LOGGER,
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
    served = makeNode(() => undefined, makeConfiguration({ version: 9 }));
    served.registry.put(makeEndpoint("a"));
    turnedAway = makeNode(() => served.relay.snapshot());
    turnedAway.relay.start();
  });

  afterEach(() => turnedAway.relay.stop());

  async function advanceServed(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      served.relay.storeReached();
      await timer.advance(100);
      await settled();
    }
  }

  // An entry starts while the store is down. Without its peers it refuses
  // every caller until the store is back.
  it("gives a starting entry configuration and endpoints", async () => {
    await advanceServed(1_000);
    expect(turnedAway.configuration?.version).to.equal(9);
    expect(turnedAway.configuration?.pools.get(PORTAL)?.mostConnections)
      .to.equal(100);
    expect(turnedAway.registry.inPool(PORTAL)).to.have.length(1);
  });

  // The store turns this entry away, and an endpoint begins to leave. Without
  // the relay the entry sends to it until it is gone, and callers are cut.
  it("tells of an endpoint that leaves meanwhile", async () => {
    await advanceServed(1_000);
    served.registry.put(makeEndpoint("a", { leaving: true }));
    await advanceServed(1_000);
    expect(turnedAway.registry.inPool(PORTAL)).to.deep.equal([]);
  });

  // Both entries have lost the store, and the peer's listing is old. Taken for
  // current it would bring back endpoints that have ended.
  it("takes no endpoints from a peer that is behind as well", async () => {
    turnedAway.configuration = makeConfiguration({ version: 9 });
    turnedAway.relay.stop();
    served.relay.storeReached();
    await timer.advance(2_000);
    turnedAway.relay.start();
    await timer.advance(2_000);
    expect(turnedAway.asked).to.be.greaterThan(0);
    expect(turnedAway.registry.size).to.equal(0);
  });

  it("asks nobody while the store answers", async () => {
    for (let count = 0; count < 20; count++) {
      turnedAway.relay.storeReached();
      await timer.advance(300);
    }
    expect(turnedAway.asked).to.equal(0);
  });

  // The connection on which the entry waits for a configuration has gone
  // silent, and everything else works. Callers get 404 for a new route.
  it("asks a peer that has a newer configuration than its own", async () => {
    turnedAway.configuration = makeConfiguration({ version: 8 });
    turnedAway.relay.onPeerVersion(9);
    for (let passed = 0; passed < 1_000; passed += 100) {
      turnedAway.relay.storeReached();
      served.relay.storeReached();
      await timer.advance(100);
      await settled();
    }
    expect(turnedAway.configuration?.version).to.equal(9);
    expect(turnedAway.asked).to.equal(1);
    // Its own reading of the endpoints is as good as the peer's.
    expect(turnedAway.registry.size).to.equal(0);
  });
});
