import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "smol-toml";
import { LogServiceStandIn } from "../test/stand_ins/log_service.ts";
import { findFreePort } from "../test/support/free_port.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import { BENCH_REGION, MODEL, ZONE } from "./bench_region.ts";
import { realTimeSleep } from "./process_stats.ts";

export interface PathOptions {
  /** Directory for CPU profiles of entry and side; none if absent. */
  readonly profileFolder?: string;
}

const BUNDLE = "dist/filbertshore.cjs";
const MAX_STREAMS = 2_000;
const READY_TIMEOUT_MILLISECONDS = 40_000;
/** A graceful shutdown hands over claims and writes the profile. */
const STOP_TIMEOUT_MILLISECONDS = 20_000;

/** Runs one entry, one side and the token source as processes. */
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
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
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
    const commonSettings = {
      region: BENCH_REGION,
      availabilityZone: ZONE,
      log: { level: "warn" },
    };
    this.entryPid = this.#startProgram("entry", {
      ...commonSettings,
      name: "entry-0",
      callers: { host: "127.0.0.1", port: callers },
      peers: { host: "127.0.0.1", port: peers },
      platform: { logService },
      limits: { mostOpenRequests: MAX_STREAMS, shutdownSeconds: 1 },
    });
    this.sidePid = this.#startProgram("side", {
      ...commonSettings,
      name: "side-0",
      endpoint: "engine-0",
      kind: "engine",
      target: this.engineUrl,
      peers: { host: "127.0.0.1", port: side },
      entries: [`127.0.0.1:${peers}`],
      limits: { mostRunning: MAX_STREAMS, shutdownSeconds: 1 },
    });
    await this.#publish(logService, `127.0.0.1:${side}`);
    await this.#waitUntilReady();
  }

  async setPace(tickMilliseconds: number, tokensPerTick: number) {
    await fetch(`${this.engineUrl}/pace`, {
      method: "POST",
      body: JSON.stringify({
        beatMilliseconds: tickMilliseconds,
        tokensPerBeat: tokensPerTick,
      }),
    });
  }

  /** Stops the processes gracefully, so that they write their profiles. */
  async close(): Promise<void> {
    for (const child of this.#children) {
      child.kill("SIGTERM");
      const ended = new Promise((resolve) => child.once("exit", resolve));
      const exited = await Promise.race([
        ended,
        realTimeSleep(STOP_TIMEOUT_MILLISECONDS),
      ]);
      if (exited === undefined) child.kill("SIGKILL");
    }
    await this.#log.close();
    rmSync(this.#folder, { recursive: true });
  }

  #startProgram(
    role: "entry" | "side",
    settings: Record<string, unknown>,
  ): number {
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

  #spawn(args: readonly string[]): number {
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "inherit", "inherit"],
    });
    this.#children.unshift(child);
    return child.pid ?? 0;
  }

  async #publish(logService: string, side: string): Promise<void> {
    const endpoint = { id: "engine-0", availabilityZone: ZONE, side };
    const content = {
      inventory: {
        region: BENCH_REGION,
        availabilityZones: [ZONE],
        pools: [{
          name: MODEL,
          kind: "engine",
          models: [MODEL],
          engine: {
            slots: MAX_STREAMS,
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
    await fetch(`${logService}/streams/configuration.${BENCH_REGION}/records`, {
      method: "POST",
      body: JSON.stringify({ records: [record] }),
    });
  }

  /** Waits until a request through entry and side succeeds. */
  async #waitUntilReady(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
      const response = await fetch(`${this.entryUrl}/v1/chat/completions`, {
        method: "POST",
        body: JSON.stringify({
          model: MODEL,
          max_tokens: 2,
          messages: [{ role: "user", content: "Ready" }],
        }),
      }).catch(() => undefined);
      await response?.arrayBuffer();
      if (response?.status === 200) return;
      await realTimeSleep(200);
    }
    throw new Error("Timed out before entry and side were ready");
  }
}
