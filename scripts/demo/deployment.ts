/** The Koperasi example's deployment on the loopback interface. */
import { execFile } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, stringify } from "smol-toml";
import type {
  Inventory,
  InventoryEndpoint,
  Pool,
} from "../../src/generated/inventory.ts";
import { LogServiceStandIn } from "../../test/stand_ins/log_service.ts";
import { ModelEngineStandIn } from "../../test/stand_ins/model_engine.ts";
import { PlainServiceStandIn } from "../../test/stand_ins/plain_service.ts";
import type { StandIn } from "../../test/stand_ins/stand_in_server.ts";
import { findFreePort } from "../../test/support/free_port.ts";
import { ProcessFleet, waitFor } from "../../test/support/process_fleet.ts";

const EXAMPLE = "examples/koperasi";
const HOST = "127.0.0.1";
/** Shorter than the defaults, so that the demo runs quickly. */
const COORDINATION = {
  reportMilliseconds: 250,
  suspectMilliseconds: 1_000,
  claimSilenceMilliseconds: 1_000,
};

/** An endpoint's side as a process. */
export interface DemoSide {
  readonly endpoint: string;
  readonly address: string;
  /** Kills the process, as a crash does. */
  kill(): void;
  /** Starts the process again, as the platform does after an exit. */
  restart(): void;
}

/**
 * Stand-ins within this process, and entries and sides as processes of the
 * binary.
 */
export class DemoDeployment {
  readonly entryUrls: string[] = [];
  readonly sides: DemoSide[] = [];
  readonly portals: PlainServiceStandIn[] = [];
  readonly engines: ModelEngineStandIn[] = [];
  readonly #fleet = new ProcessFleet();
  readonly #standIns: StandIn[] = [];
  readonly #log = new LogServiceStandIn();
  readonly #inventory = parse(
    readFileSync(`${EXAMPLE}/inventory.toml`, "utf8"),
  ) as unknown as Inventory;
  readonly #binary: string;
  readonly #peers: string[] = [];
  #platform: Readonly<Record<string, string>> = {};

  constructor(binary: string) {
    this.#binary = binary;
  }

  /** Starts all processes and stand-ins without publishing a configuration. */
  async start(): Promise<void> {
    const logPort = await this.#log.listen();
    this.#platform = { logService: `http://${HOST}:${logPort}` };
    const zones = this.#inventory.availabilityZones.slice(0, 2);
    const ports = await Promise.all(zones.map(async () => ({
      callers: await findFreePort(),
      peers: await findFreePort(),
    })));
    this.#peers.push(...ports.map(({ peers }) => `${HOST}:${peers}`));
    zones.forEach((zone, index) => this.#startEntry(zone, ports[index]));
    for (const pool of this.#inventory.pools) {
      for (const endpoint of pool.endpoints) {
        await this.#startEndpoint(pool, endpoint);
      }
    }
    this.#fleet.writeToml("operator.toml", {
      entries: this.#peers,
      platform: this.#platform,
    });
  }

  /** Publishes the inventory with the binary and returns its output. */
  async publish(
    states: Readonly<Record<string, "serving" | "draining">> = {},
  ): Promise<string> {
    for (const pool of this.#inventory.pools) {
      for (const endpoint of pool.endpoints) {
        endpoint.state = states[endpoint.id] ?? "serving";
      }
    }
    const file = join(this.#fleet.folder, "inventory.toml");
    writeFileSync(file, stringify(this.#inventory));
    return await this.#command("publish", [
      ...["--inventory", file, "--rules", `${EXAMPLE}/rules.toml`],
      ...["--base", "latest", "--publisher", "demo", "--wait-seconds", "15"],
    ]);
  }

  /** Returns the output of `filbertshore status`. */
  status(): Promise<string> {
    return this.#command("status", []);
  }

  async waitUntilReady(): Promise<void> {
    for (const url of this.entryUrls) {
      await waitFor(async () => {
        const answer = await fetch(`${url}/ready`).catch(() => undefined);
        return answer?.status === 200;
      }, { what: `${url} to be ready` });
    }
  }

  async close(): Promise<void> {
    await this.#fleet.close();
    await Promise.all(this.#standIns.map((standIn) => standIn.close()));
    await this.#log.close();
  }

  #startEntry(
    zone: string,
    ports: { callers: number; peers: number },
  ): void {
    const ownAddress = `${HOST}:${ports.peers}`;
    const file = this.#fleet.writeToml(`entry-${zone}.toml`, {
      name: `entry-${zone}`,
      region: this.#inventory.region,
      availabilityZone: zone,
      callers: { host: HOST, port: ports.callers },
      peers: { host: HOST, port: ports.peers },
      peerAddresses: this.#peers.filter((peer) => peer !== ownAddress),
      platform: this.#platform,
      coordination: COORDINATION,
    });
    this.#fleet.startProgram(["entry", "--settings", file]);
    this.entryUrls.push(`http://${HOST}:${ports.callers}`);
  }

  async #startEndpoint(pool: Pool, endpoint: InventoryEndpoint): Promise<void> {
    const target = await this.#startStandIn(pool);
    const port = await findFreePort();
    endpoint.side = `${HOST}:${port}`;
    const file = this.#fleet.writeToml(`side-${endpoint.id}.toml`, {
      name: `side-${endpoint.id}`,
      region: this.#inventory.region,
      availabilityZone: endpoint.availabilityZone,
      endpoint: endpoint.id,
      kind: pool.kind,
      target: `http://${HOST}:${target}`,
      entries: this.#peers,
      peers: { host: HOST, port },
      coordination: COORDINATION,
    });
    const start = () => this.#fleet.startProgram(["side", "--settings", file]);
    const { child } = start();
    this.sides.push({
      endpoint: endpoint.id,
      address: endpoint.side,
      kill: () => void child.kill("SIGKILL"),
      restart: () => void start(),
    });
  }

  async #startStandIn(pool: Pool): Promise<number> {
    const { engine } = pool;
    if (engine === undefined) {
      const portal = new PlainServiceStandIn({ delayMilliseconds: 150 });
      this.portals.push(portal);
      this.#standIns.push(portal);
      return await portal.listen();
    }
    const standIn = new ModelEngineStandIn({
      ...engine,
      models: pool.models,
      weights: pool.weights,
      roleChangeMilliseconds: engine.roleChangeSeconds * 1000,
      reportLagMilliseconds: 300,
    });
    this.engines.push(standIn);
    this.#standIns.push(standIn);
    return await standIn.listen();
  }

  #command(name: string, args: readonly string[]): Promise<string> {
    const settings = join(this.#fleet.folder, "operator.toml");
    const commandArgs = [name, "--settings", settings, ...args];
    return new Promise((resolve, reject) => {
      execFile(this.#binary, commandArgs, (error, stdout, stderr) => {
        if (error === null) resolve(stdout.trim());
        else reject(new Error(`${name}: ${stdout}${stderr}`));
      });
    });
  }
}
