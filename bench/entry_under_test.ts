import * as http from "node:http";
import { HttpPeers } from "../src/adapters/peers/mod.ts";
import { identifier } from "../src/core/identity/mod.ts";
import { LogServiceStandIn } from "../test/stand_ins/log_service.ts";
import { freePort } from "../test/support/free_port.ts";
import { ProcessFleet } from "../test/support/process_fleet.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import {
  ENDPOINTS_PER_POOL,
  MODEL,
  REGION,
  SLOTS,
  ZONE,
} from "./bench_region.ts";
import { sleep } from "./process_figures.ts";
import { SideHost, TOKEN_MILLISECONDS } from "./side_host.ts";

/** Time in which streams get their first tokens. */
const OPEN_MILLISECONDS = 5_000;
/** A judge's first claim and its verdict take a few seconds at most. */
const FOLLOW_MILLISECONDS = 40_000;

/** One entry of the binary with sides, and the log, in this process. */
export class EntryUnderTest {
  readonly #fleet = new ProcessFleet();
  readonly #log = new LogServiceStandIn();
  readonly #host = new SideHost();
  readonly #links = new HttpPeers();
  readonly #agent = new http.Agent({ keepAlive: true });
  #version = 0;
  #streams = 0;
  #logUrl = "";
  #callerUrl = "";
  #peers = "";
  pid = 0;

  async start(endpoints: number): Promise<void> {
    this.#logUrl = `http://127.0.0.1:${await this.#log.listen()}`;
    const [callers, peers] = [await freePort(), await freePort()];
    this.#callerUrl = `http://127.0.0.1:${callers}`;
    this.#peers = `127.0.0.1:${peers}`;
    const settings = this.#fleet.writeToml("entry.toml", {
      name: "entry-0",
      region: REGION,
      availabilityZone: ZONE,
      callers: { host: "127.0.0.1", port: callers },
      peers: { host: "127.0.0.1", port: peers },
      platform: { logService: this.#logUrl },
      log: { level: "warn" },
    });
    const started = this.#fleet.startProgram(["entry", "--settings", settings]);
    this.pid = started.child.pid ?? 0;
    await this.#host.add(endpoints, [this.#peers]);
    await this.publish({});
  }

  /** Publishes without the command and waits until the entry follows. */
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
    await fetch(`${this.#logUrl}/streams/configuration.${REGION}/records`, {
      method: "POST",
      body: JSON.stringify({ records: [record] }),
    });
    await this.#untilFollowed();
  }

  /** Opens generations that go on until `close`. */
  async openStreams(count: number): Promise<void> {
    const opened = Array.from({ length: count }, () => this.#openStream());
    // A stream that waits behind a full endpoint is open as well.
    await Promise.race([Promise.all(opened), sleep(OPEN_MILLISECONDS)]);
  }

  async close(): Promise<void> {
    this.#agent.destroy();
    this.#links.close();
    this.#host.close();
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
              reject(new Error(`A stream was refused: ${text}`));
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
        messages: [{ role: "user", content: `Lorry ${this.#streams++}` }],
      }));
    });
  }

  /** One long poll, as a side's, so that the waiting itself costs little. */
  async #untilFollowed(): Promise<void> {
    const end = performance.now() + FOLLOW_MILLISECONDS;
    while (performance.now() < end) {
      const answer = await this.#links.watch(identifier(this.#peers), {
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
      });
      if (answer.isErr()) await sleep(50);
      else if (answer.value.configurationVersion > this.#version) {
        this.#version = answer.value.configurationVersion;
        return;
      }
    }
    throw new Error("The publication did not come into force");
  }

  #content(states: Readonly<Record<string, string>>) {
    const pools = [];
    const { sides } = this.#host;
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
      inventory: { region: REGION, availabilityZones: [ZONE], pools },
      rules: {
        classes: [{ name: "bulk", priority: 5, deadlineSeconds: 3_600 }],
        defaultClass: "bulk",
        planner: { enabled: false },
      },
    };
  }
}
