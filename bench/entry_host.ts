import {
  HttpPeerClient,
  PEER_METHODS,
  PeerServer,
} from "../src/adapters/peers/mod.ts";
import { rethrow } from "../src/core/time/mod.ts";
import { hashText, systemRandom } from "../src/adapters/random/mod.ts";
import { identifier } from "../src/core/identity/mod.ts";
import { EntryCore } from "../src/entry/mod.ts";
import type { WatchQuestion } from "../src/generated/messages.ts";
import { FakeLog } from "../test/support/fake_log.ts";
import { findFreePort } from "../test/support/free_port.ts";
import { ProcessFleet } from "../test/support/process_fleet.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import { BENCH_REGION, MODEL, SLOTS, timer, ZONE } from "./bench_region.ts";

/** Runs entries on real sockets in this process, and one side as a process. */
export class EntryHost {
  readonly #fleet = new ProcessFleet();
  readonly #peers = new HttpPeerClient();
  readonly #closers: (() => void)[] = [];

  async start(entries: number): Promise<number> {
    const log = new FakeLog({ timer });
    const addresses: string[] = [];
    for (let index = 0; index < entries; index += 1) {
      addresses.push(await this.#addEntry(index, log));
    }
    const engine = await this.#fleet.startStandIn("model_engine");
    const port = await findFreePort();
    const settings = this.#fleet.writeToml("side.toml", {
      name: "side-0",
      region: BENCH_REGION,
      availabilityZone: ZONE,
      endpoint: "engine-0",
      kind: "engine",
      target: engine.url,
      peers: { host: "127.0.0.1", port },
      entries: addresses,
    });
    const side = this.#fleet.startProgram(["side", "--settings", settings]);
    log.appendDirectly(identifier(`configuration.${BENCH_REGION}`), [
      publicationOf(`127.0.0.1:${port}`),
    ]);
    return side.child.pid ?? 0;
  }

  async close(): Promise<void> {
    for (const close of this.#closers) close();
    this.#peers.close();
    await this.#fleet.close();
  }

  async #addEntry(index: number, log: FakeLog): Promise<string> {
    const core = new EntryCore({
      name: identifier(`entry-${index}`),
      incarnation: identifier(uuidv7()),
      region: identifier(BENCH_REGION),
      availabilityZone: identifier(ZONE),
      timer,
      random: systemRandom,
      log: log.connect(),
      sides: this.#peers,
      entries: this.#peers,
      peerAddresses: [],
      hash: hashText,
      limits: {
        mostQueued: 100,
        mostQueuedPerWorkspace: 100,
        mostOpenRequests: 100,
        shutdownSeconds: 0,
        mostEndpointsPerPool: 64,
        mostAttempts: 4,
      },
      times: {
        reportMilliseconds: 1_000,
        suspectMilliseconds: 3_500,
        appendDelayMilliseconds: 20,
        claimSilenceMilliseconds: 15_000,
        planMilliseconds: 2_000,
        keyWindowMilliseconds: 600_000,
        vmListMilliseconds: 5_000,
        checkpointRecords: 500,
      },
    });
    const server = new PeerServer({
      host: "127.0.0.1",
      port: 0,
      mostBodyBytes: 1024 * 1024,
      onFault: rethrow,
      methods: {
        [PEER_METHODS.watch]: (question: WatchQuestion) => core.watch(question),
      },
    });
    const port = (await server.listen())._unsafeUnwrap();
    core.start();
    this.#closers.push(() => core.halt(), () => server.close());
    return `127.0.0.1:${port}`;
  }
}

function publicationOf(side: string) {
  const endpoint = { id: "engine-0", availabilityZone: ZONE, side };
  return {
    writer: "bench",
    incarnation: uuidv7(),
    sequence: 0,
    body: {
      kind: "publication",
      publicationId: uuidv7(),
      base: 0,
      content: {
        inventory: {
          region: BENCH_REGION,
          availabilityZones: [ZONE],
          pools: [{
            name: MODEL,
            kind: "engine",
            models: [MODEL],
            engine: {
              slots: SLOTS,
              prefillTokensPerSecond: 20_000,
              millisecondsBetweenTokens: 20,
              keyValueCacheTokens: 100_000,
              roleChangeSeconds: 1,
            },
            endpoints: [endpoint],
          }],
        },
        rules: {
          classes: [{ name: "bulk", priority: 5, deadlineSeconds: 60 }],
          defaultClass: "bulk",
          planner: { enabled: false },
        },
      },
    },
  };
}
