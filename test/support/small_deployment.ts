import { join } from "node:path";
import { uuidv7 } from "./uuid.ts";
import { findFreePort } from "./free_port.ts";
import { ProcessFleet, type StartedProcess, waitFor } from "./process_fleet.ts";

export interface SmallDeploymentOptions {
  readonly entries?: number;
  readonly engines?: number;
  readonly services?: number;
  /** Options passed to every engine stand-in. */
  readonly engine?: Record<string, unknown>;
  readonly coordination?: Record<string, number>;
  /** Whether each process writes its spans to a file in the fleet's folder. */
  readonly traced?: boolean;
}

/** An endpoint of the deployment: its stand-in process and its side. */
export interface DeployedEndpoint {
  readonly id: string;
  readonly url: string;
  readonly endpoint: StartedProcess;
  readonly settings: string;
  side: StartedProcess;
  readonly sideAddress: string;
}

export interface DeployedEntry {
  readonly url: string;
  readonly peers: string;
  readonly settings: string;
  process: StartedProcess;
}

const ZONES = ["shah-alam", "petaling", "klang-port"];
const REGION = "klang-valley";

/**
 * The complete system as processes on the loopback, with stand-ins for the
 * platform and the endpoints.
 */
export class SmallDeployment {
  readonly fleet = new ProcessFleet();
  readonly engines: DeployedEndpoint[] = [];
  readonly services: DeployedEndpoint[] = [];
  readonly entries: DeployedEntry[] = [];
  logUrl = "";

  /** Starts everything and publishes the inventory. */
  async start(options: SmallDeploymentOptions = {}): Promise<void> {
    this.logUrl = (await this.fleet.startStandIn("log_service")).url;
    await this.#startEntries(options);
    await Promise.all([
      ...range(options.engines ?? 2).map((index) =>
        this.#startEndpoint("engine", { index, options })
      ),
      ...range(options.services ?? 1).map((index) =>
        this.#startEndpoint("service", { index, options })
      ),
    ]);
    await this.publishRaw(this.content(), 0);
    await this.waitUntilReady();
  }

  /**
   * Appends a publication directly to the log, bypassing the `publish` command.
   */
  async publishRaw(content: unknown, base: number): Promise<void> {
    const record = {
      writer: "test",
      incarnation: uuidv7(),
      sequence: 0,
      body: { kind: "publication", publicationId: uuidv7(), base, content },
    };
    await fetch(`${this.logUrl}/streams/configuration.${REGION}/records`, {
      method: "POST",
      body: JSON.stringify({ records: [record] }),
    });
  }

  /** Inventory and rules of the deployment with the given endpoint states. */
  content(states: Readonly<Record<string, string>> = {}): unknown {
    const endpointsOf = (endpoints: DeployedEndpoint[]) =>
      endpoints.map((each, index) => ({
        id: each.id,
        availabilityZone: ZONES[index % ZONES.length],
        side: each.sideAddress,
        state: states[each.id] ?? "serving",
      }));
    return {
      inventory: {
        region: REGION,
        availabilityZones: ZONES,
        pools: [{
          name: "triage-llm",
          kind: "engine",
          models: ["triage-llm"],
          engine: ENGINE,
          endpoints: endpointsOf(this.engines),
        }, {
          name: "member-portal",
          kind: "service",
          routes: [
            { method: "POST", path: "/cases", idempotent: false },
            { method: "GET", path: "/cases", idempotent: true },
          ],
          endpoints: endpointsOf(this.services),
        }],
      },
      rules: RULES,
    };
  }

  async waitUntilReady(): Promise<void> {
    for (const entry of this.entries) {
      await waitFor(async () => {
        const answer = await fetch(`${entry.url}/ready`).catch(() => undefined);
        return answer?.status === 200;
      }, {
        what: `${entry.url} to be ready`,
        found: () => this.#outputs(),
      });
    }
    // Entries dispatch only to endpoints whose side has reported.
    const endpoints = [...this.engines, ...this.services];
    for (const { id, side } of endpoints) {
      await waitFor(() => side.output().includes("Configuration is in force"), {
        what: `the configuration at ${id}`,
        found: () => side.output(),
      });
    }
    await new Promise((resolve) => setTimeout(resolve, 300));
  }

  /** Restarts the side of an endpoint, as the platform does after an exit. */
  restartSide(endpoint: DeployedEndpoint): void {
    endpoint.side = this.fleet.startProgram([
      "side",
      "--settings",
      endpoint.settings,
    ]);
  }

  restartEntry(entry: DeployedEntry): void {
    entry.process = this.fleet.startProgram([
      "entry",
      "--settings",
      entry.settings,
    ]);
  }

  async close(): Promise<void> {
    await this.fleet.close();
  }

  /** Output of every process of the system, for failure messages. */
  #outputs(): Record<string, string> {
    const outputSources = [
      ...this.entries.map((each) => [each.url, each.process] as const),
      ...[...this.engines, ...this.services]
        .map((each) => [each.id, each.side] as const),
    ];
    return Object.fromEntries(
      outputSources.map((
        [name, startedProcess],
      ) => [name, startedProcess.output()]),
    );
  }

  async #startEntries(options: SmallDeploymentOptions): Promise<void> {
    const count = options.entries ?? 2;
    const ports = await Promise.all(range(2 * count).map(() => findFreePort()));
    const peers = range(count).map((index) =>
      `127.0.0.1:${ports[2 * index + 1]}`
    );
    for (const index of range(count)) {
      const name = `entry-${index}`;
      const file = this.fleet.writeToml(`${name}.toml`, {
        name,
        region: REGION,
        availabilityZone: ZONES[index % ZONES.length],
        callers: { host: "127.0.0.1", port: ports[2 * index] },
        peers: { host: "127.0.0.1", port: ports[2 * index + 1] },
        peerAddresses: peers.filter((_, other) => other !== index),
        platform: { logService: this.logUrl },
        traces: this.#traces(name, options),
        coordination: { ...FAST_COORDINATION, ...options.coordination },
      });
      this.entries.push({
        url: `http://127.0.0.1:${ports[2 * index]}`,
        peers: peers[index],
        settings: file,
        process: this.fleet.startProgram(["entry", "--settings", file]),
      });
    }
  }

  #traces(
    name: string,
    options: SmallDeploymentOptions,
  ): Record<string, unknown> {
    if (!options.traced) return {};
    return { file: join(this.fleet.folder, `${name}.spans`), share: 1 };
  }

  async #startEndpoint(
    kind: "engine" | "service",
    parameters: { index: number; options: SmallDeploymentOptions },
  ): Promise<void> {
    const { index, options } = parameters;
    const isEngine = kind === "engine";
    const id = isEngine ? `triage-${index}` : `portal-${index}`;
    const standIn = await this.fleet.startStandIn(
      isEngine ? "model_engine" : "plain_service",
      isEngine ? options.engine : { prefix: `${id}-case` },
    );
    const port = await findFreePort();
    const sideAddress = `127.0.0.1:${port}`;
    const file = this.fleet.writeToml(`${id}.toml`, {
      name: `side-${id}`,
      region: REGION,
      availabilityZone: ZONES[index % ZONES.length],
      endpoint: id,
      kind,
      target: standIn.url,
      peers: { host: "127.0.0.1", port },
      entries: this.entries.map((entry) => entry.peers),
      traces: this.#traces(id, options),
      coordination: { ...FAST_COORDINATION, ...options.coordination },
    });
    const deployed = {
      id,
      url: standIn.url,
      endpoint: standIn.started,
      settings: file,
      side: this.fleet.startProgram(["side", "--settings", file]),
      sideAddress,
    };
    (isEngine ? this.engines : this.services)[index] = deployed;
  }
}

const FAST_COORDINATION = {
  reportMilliseconds: 200,
  suspectMilliseconds: 1_000,
  appendDelayMilliseconds: 5,
  claimSilenceMilliseconds: 1_000,
  longestOrderMilliseconds: 1_000,
};

const ENGINE = {
  slots: 8,
  prefillTokensPerSecond: 8000,
  millisecondsBetweenTokens: 20,
  keyValueCacheTokens: 100_000,
  roleChangeSeconds: 1,
  resumesStreams: true,
};

const RULES = {
  classes: [
    { name: "urgent", priority: 0, deadlineSeconds: 10, share: 0.3 },
    { name: "bulk", priority: 5, deadlineSeconds: 60, mayPause: true },
  ],
  defaultClass: "urgent",
  matches: [{ class: "bulk", workspace: "council" }],
  planner: { enabled: false },
};

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}
