import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "smol-toml";
import { LogServiceStandIn } from "../test/stand_ins/log_service.ts";
import { freePort } from "../test/support/free_port.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import { MODEL, REGION, ZONE } from "./bench_region.ts";
import { sleep } from "./process_figures.ts";

export interface PathOptions {
  /** Folder for profiles of entry and side; no profiles without it. */
  readonly profileFolder?: string;
}

const BUNDLE = "dist/filbertshore.cjs";
const MOST_STREAMS = 2_000;
const READY_MILLISECONDS = 40_000;
/** A planned stop hands claims over and writes a profile. */
const STOP_MILLISECONDS = 20_000;

/** One entry and one side as processes, and the token source behind them. */
export class PathProcesses {
  readonly #folder = mkdtempSync(join(tmpdir(), "filbertshore-path-"));
  readonly #log = new LogServiceStandIn();
  readonly #options: PathOptions;
  readonly #children: ChildProcess[] = [];
  entryUrl = "";
  engineUrl = "";
  entryPid = 0;
  sidePid = 0;
  enginePid = 0;

  constructor(options: PathOptions = {}) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const logService = `http://127.0.0.1:${await this.#log.listen()}`;
    const [callers, peers, side, engine] = [
      await freePort(),
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    this.entryUrl = `http://127.0.0.1:${callers}`;
    this.engineUrl = `http://127.0.0.1:${engine}`;
    this.enginePid = this.#spawn([
      "--import",
      "tsx",
      "bench/token_source.ts",
      "--port",
      String(engine),
    ]);
    const common = {
      region: REGION,
      availabilityZone: ZONE,
      log: { level: "warn" },
    };
    this.entryPid = this.#program("entry", {
      ...common,
      name: "entry-0",
      callers: { host: "127.0.0.1", port: callers },
      peers: { host: "127.0.0.1", port: peers },
      platform: { logService },
      limits: { mostOpenRequests: MOST_STREAMS, shutdownSeconds: 1 },
    });
    this.sidePid = this.#program("side", {
      ...common,
      name: "side-0",
      endpoint: "engine-0",
      kind: "engine",
      target: this.engineUrl,
      peers: { host: "127.0.0.1", port: side },
      entries: [`127.0.0.1:${peers}`],
      limits: { mostRunning: MOST_STREAMS, shutdownSeconds: 1 },
    });
    await this.#publish(logService, `127.0.0.1:${side}`);
    await this.#untilReady();
  }

  async setPace(beatMilliseconds: number, tokensPerBeat: number) {
    await fetch(`${this.engineUrl}/pace`, {
      method: "POST",
      body: JSON.stringify({ beatMilliseconds, tokensPerBeat }),
    });
  }

  /** Stops in order, so that profiles are written. */
  async close(): Promise<void> {
    for (const child of this.#children) {
      child.kill("SIGTERM");
      const ended = new Promise((resolve) => child.once("exit", resolve));
      const gone = await Promise.race([ended, sleep(STOP_MILLISECONDS)]);
      if (gone === undefined) child.kill("SIGKILL");
    }
    await this.#log.close();
    rmSync(this.#folder, { recursive: true });
  }

  #program(role: "entry" | "side", settings: Record<string, unknown>): number {
    const file = join(this.#folder, `${role}.toml`);
    writeFileSync(file, stringify(settings));
    const { profileFolder } = this.#options;
    const profiling = profileFolder === undefined ? [] : [
      "--cpu-prof",
      `--cpu-prof-dir=${profileFolder}`,
      `--cpu-prof-name=${role}.cpuprofile`,
    ];
    return this.#spawn([...profiling, BUNDLE, role, "--settings", file]);
  }

  #spawn(arguments_: readonly string[]): number {
    const child = spawn(process.execPath, arguments_, {
      stdio: ["ignore", "inherit", "inherit"],
    });
    this.#children.unshift(child);
    return child.pid ?? 0;
  }

  async #publish(logService: string, side: string): Promise<void> {
    const endpoint = { id: "engine-0", availabilityZone: ZONE, side };
    const content = {
      inventory: {
        region: REGION,
        availabilityZones: [ZONE],
        pools: [{
          name: MODEL,
          kind: "engine",
          models: [MODEL],
          engine: {
            slots: MOST_STREAMS,
            prefillTokensPerSecond: 1_000_000,
            millisecondsBetweenTokens: 1,
            keyValueCacheTokens: 100_000_000,
            roleChangeSeconds: 1,
            resumesStreams: true,
          },
          endpoints: [endpoint],
        }],
      },
      rules: {
        classes: [{ name: "urgent", priority: 0, deadlineSeconds: 3_600 }],
        defaultClass: "urgent",
        planner: { enabled: false },
      },
    };
    const body = {
      kind: "publication",
      publicationId: uuidv7(),
      base: 0,
      content,
    };
    const record = {
      writer: "bench",
      incarnation: uuidv7(),
      sequence: 0,
      body,
    };
    await fetch(`${logService}/streams/configuration.${REGION}/records`, {
      method: "POST",
      body: JSON.stringify({ records: [record] }),
    });
  }

  /** Until a first answer has come through entry and side. */
  async #untilReady(): Promise<void> {
    const end = performance.now() + READY_MILLISECONDS;
    while (performance.now() < end) {
      const answer = await fetch(`${this.entryUrl}/v1/chat/completions`, {
        method: "POST",
        body: JSON.stringify({
          model: MODEL,
          max_tokens: 2,
          messages: [{ role: "user", content: "Ready" }],
        }),
      }).catch(() => undefined);
      await answer?.arrayBuffer();
      if (answer?.status === 200) return;
      await sleep(200);
    }
    throw new Error("Entry and side did not become ready");
  }
}
