import * as http from "node:http";
import { HttpPeerClient } from "../src/adapters/peers/mod.ts";
import { identifier } from "../src/core/identity/mod.ts";
import { LogServiceStandIn } from "../test/stand_ins/log_service.ts";
import { findFreePort } from "../test/support/free_port.ts";
import { ProcessFleet } from "../test/support/process_fleet.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import {
  BENCH_REGION,
  ENDPOINTS_PER_POOL,
  MODEL,
  SLOTS,
  ZONE,
} from "./bench_region.ts";
import { realTimeSleep } from "./process_stats.ts";
import { SideHost, TOKEN_MILLISECONDS } from "./side_host.ts";

/** Time for streams to get their first tokens. */
const OPEN_TIMEOUT_MILLISECONDS = 5_000;
/** Includes the judge's first claim and verdict, a few seconds at most. */
const IN_FORCE_TIMEOUT_MILLISECONDS = 40_000;

/** Runs one entry of the binary, with its sides and the log in this process. */
export class EntryUnderTest {
  readonly #fleet = new ProcessFleet();
  readonly #log = new LogServiceStandIn();
  readonly #sideHost = new SideHost();
  readonly #peerClient = new HttpPeerClient();
  readonly #agent = new http.Agent({ keepAlive: true });
  #version = 0;
  #streamCount = 0;
  #logUrl = "";
  #callerUrl = "";
  #peerAddress = "";
  pid = 0;

  async start(endpoints: number): Promise<void> {
    this.#logUrl = `http://127.0.0.1:${await this.#log.listen()}`;
    const [callers, peers] = [await findFreePort(), await findFreePort()];
    this.#callerUrl = `http://127.0.0.1:${callers}`;
    this.#peerAddress = `127.0.0.1:${peers}`;
    const settings = this.#fleet.writeToml("entry.toml", {
      name: "entry-0",
      region: BENCH_REGION,
      availabilityZone: ZONE,
      callers: { host: "127.0.0.1", port: callers },
      peers: { host: "127.0.0.1", port: peers },
      platform: { logService: this.#logUrl },
      log: { level: "warn" },
    });
    const started = this.#fleet.startProgram(["entry", "--settings", settings]);
    this.pid = started.child.pid ?? 0;
    await this.#sideHost.add(endpoints, [this.#peerAddress]);
    await this.publish({});
  }

  /** Appends a publication to the log and waits until it is in force. */
  async publish(states: Readonly<Record<string, string>>): Promise<void> {
    const publication = {
      kind: "publication",
      publicationId: uuidv7(),
      base: this.#version,
      content: this.#content(states),
    };
    const record = {
      writer: "bench",
      incarnation: uuidv7(),
      sequence: 0,
      body: publication,
    };
    await fetch(
      `${this.#logUrl}/streams/configuration.${BENCH_REGION}/records`,
      {
        method: "POST",
        body: JSON.stringify({ records: [record] }),
      },
    );
    await this.#waitUntilInForce();
  }

  /** Opens generations that last until `close`. */
  async openStreams(count: number): Promise<void> {
    const opened = Array.from({ length: count }, () => this.#openStream());
    // Streams that are queued for a full endpoint count as open.
    await Promise.race([
      Promise.all(opened),
      realTimeSleep(OPEN_TIMEOUT_MILLISECONDS),
    ]);
  }

  async close(): Promise<void> {
    this.#agent.destroy();
    this.#peerClient.close();
    this.#sideHost.close();
    await this.#fleet.close();
    await this.#log.close();
  }

  #openStream(): Promise<void> {
    return new Promise((resolve, reject) => {
      const request = http.request(
        `${this.#callerUrl}/v1/chat/completions`,
        { method: "POST", agent: this.#agent },
        (response) => {
          if (response.statusCode !== 200) {
            response.setEncoding("utf8").on("data", (text) => {
              reject(new Error(`Stream was refused: ${text}`));
            });
            return;
          }
          response.once("data", () => resolve());
          response.resume();
          response.on("error", () => {});
        },
      );
      request.on("error", () => {});
      request.end(JSON.stringify({
        model: MODEL,
        stream: true,
        max_tokens: 1_000,
        messages: [{ role: "user", content: `Lorry ${this.#streamCount++}` }],
      }));
    });
  }

  /** Long-polls as a side does, which costs the entry little. */
  async #waitUntilInForce(): Promise<void> {
    const deadline = performance.now() + IN_FORCE_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
      const response = await this.#peerClient.watch(
        identifier(this.#peerAddress),
        {
          waitMilliseconds: 1_000,
          report: {
            side: "bench",
            incarnation: "bench",
            endpoint: "bench",
            state: "serving",
            load: {
              running: 0,
              waiting: 0,
              limit: 0,
              millisecondsBetweenTokens: 0,
            },
            configurationVersion: this.#version,
            ordersRead: 0,
            orderTaken: Number.MAX_SAFE_INTEGER,
          },
        },
      );
      if (response.isErr()) await realTimeSleep(50);
      else if (response.value.configurationVersion > this.#version) {
        this.#version = response.value.configurationVersion;
        return;
      }
    }
    throw new Error("Timed out before the publication was in force");
  }

  #content(states: Readonly<Record<string, string>>) {
    const pools = [];
    const { sides } = this.#sideHost;
    for (let first = 0; first < sides.length; first += ENDPOINTS_PER_POOL) {
      const members = sides.slice(first, first + ENDPOINTS_PER_POOL);
      const name = first === 0 ? MODEL : `${MODEL}-${first}`;
      pools.push({
        name,
        kind: "engine",
        models: [name],
        engine: {
          slots: SLOTS,
          prefillTokensPerSecond: 20_000,
          millisecondsBetweenTokens: TOKEN_MILLISECONDS,
          keyValueCacheTokens: 100_000,
          roleChangeSeconds: 1,
          resumesStreams: true,
        },
        endpoints: members.map(({ id, address }) => ({
          id,
          availabilityZone: ZONE,
          side: address,
          state: states[id] ?? "serving",
        })),
      });
    }
    return {
      inventory: { region: BENCH_REGION, availabilityZones: [ZONE], pools },
      rules: {
        classes: [{ name: "bulk", priority: 5, deadlineSeconds: 3_600 }],
        defaultClass: "bulk",
        planner: { enabled: false },
      },
    };
  }
}
