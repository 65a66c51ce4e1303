import { MemoryEngine } from "../examples/embedding/memory_engine.ts";
import { rethrow } from "../src/core/time/mod.ts";
import {
  HttpPeerClient,
  PEER_METHODS,
  PeerServer,
} from "../src/adapters/peers/mod.ts";
import { systemRandom } from "../src/adapters/random/mod.ts";
import { identifier } from "../src/core/identity/mod.ts";
import type { OnceQuestion } from "../src/generated/messages.ts";
import { SideCore } from "../src/side/mod.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import { MODEL, SLOTS, timer, ZONE } from "./bench_region.ts";

/** One token per second: streams use memory but little CPU time. */
export const TOKEN_MILLISECONDS = 1_000;

/** Runs sides on real sockets in this process, separate from the entry. */
export class SideHost {
  readonly sides: { id: string; address: string }[] = [];
  readonly #peers = new HttpPeerClient();
  readonly #closers: (() => void)[] = [];

  async add(count: number, entries: readonly string[]): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.#addSide(`engine-${index}`, entries);
    }
  }

  close(): void {
    for (const close of this.#closers) close();
    this.#peers.close();
  }

  async #addSide(id: string, entries: readonly string[]): Promise<void> {
    const core = new SideCore({
      name: identifier(`side-${id}`),
      incarnation: identifier(uuidv7()),
      endpointId: id,
      availabilityZone: identifier(ZONE),
      kind: "engine",
      timer,
      random: systemRandom,
      endpoint: new MemoryEngine({
        timer,
        models: [MODEL],
        prefillMilliseconds: 20,
        millisecondsBetweenTokens: TOKEN_MILLISECONDS,
        tokens: 100_000,
      }),
      entries: this.#peers,
      entryAddresses: entries.map((address) => identifier(address)),
      limits: {
        mostRunning: SLOTS,
        mostWaiting: 16,
        mostKeptAnswers: 100,
        mostKeptAnswerBytes: 100_000,
        shutdownSeconds: 0,
      },
      times: {
        reportMilliseconds: 1_000,
        longestOrderMilliseconds: 20_000,
        watchMilliseconds: 15_000,
        drainMilliseconds: 10_000,
        firstTokenSilenceMilliseconds: 15_000,
        tokenSilenceMilliseconds: 5_000,
      },
    });
    const server = new PeerServer({
      host: "127.0.0.1",
      port: 0,
      mostBodyBytes: 1024 * 1024,
      onFault: rethrow,
      runAttempt: (attempt, emit) => core.run(attempt, emit),
      methods: {
        [PEER_METHODS.report]: () => core.report(),
        [PEER_METHODS.ask]: (question: OnceQuestion) => core.ask(question),
      },
    });
    const port = (await server.listen())._unsafeUnwrap();
    core.start();
    this.sides.push({ id, address: `127.0.0.1:${port}` });
    this.#closers.push(() => core.halt(), () => server.close());
  }
}
