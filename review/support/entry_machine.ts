/** One entry of the project, as the platform runs it on a machine. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import type { EventRecord } from "./record.ts";

/** Delay until the platform starts a process again that has ended. */
const RESTART_DELAY_MILLISECONDS = 300;
const READINESS_INTERVAL_MILLISECONDS = 50;
const READINESS_TIMEOUT_MILLISECONDS = 20_000;
/** Command of the role `entry` in the deploy file. */
const ENTRY_COMMAND = [
  "--max-old-space-size=160",
  "target/filbertshore.cjs",
  "entry",
];

export interface EntryPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly control: number;
  readonly peers: number;
}

export interface EntryMachineOptions {
  readonly index: number;
  readonly folder: string;
  readonly ports: EntryPorts;
  readonly storeAddress: string;
  readonly record: EventRecord;
}

export class EntryMachine {
  readonly index: number;
  /** Number of times that the process has ended by itself. */
  ends = 0;
  readonly #options: EntryMachineOptions;
  #child: ChildProcess | undefined;
  /** True while the platform stops the process or the script closes. */
  #isStopping = false;
  #hasStarted = false;

  constructor(options: EntryMachineOptions) {
    this.index = options.index;
    this.#options = options;
    process.once("exit", () => this.#child?.kill("SIGKILL"));
  }

  get host(): string {
    return hostOf(this.index);
  }

  get callerPort(): number {
    return this.#options.ports.callers;
  }

  start(): void {
    const { folder, record } = this.#options;
    const settings = join(folder, `entry-${this.index}.conf`);
    writeFileSync(settings, this.#settings());
    this.#hasStarted = true;
    this.#isStopping = false;
    const child = spawn(process.execPath, ENTRY_COMMAND, {
      env: { PATH: process.env.PATH, FILBERTSHORE_CONFIG: settings },
      stdio: ["ignore", "ignore", "pipe"],
    });
    this.#child = child;
    let errors = "";
    child.stderr?.on("data", (chunk) => errors += chunk);
    record.write("entry_started", { entry: this.index });
    child.once("exit", (code, signal) => {
      const isOwnEnd = !this.#isStopping;
      record.write("entry_ended", {
        entry: this.index,
        code,
        signal,
        isOwnEnd,
        error: errorLine(errors),
      });
      if (!isOwnEnd) return;
      this.ends += 1;
      setTimeout(() => {
        if (!this.#isStopping) this.start();
      }, RESTART_DELAY_MILLISECONDS);
    });
  }

  /** Planned stop: SIGTERM, and SIGKILL after the grace period. */
  async stop(graceMilliseconds: number): Promise<void> {
    const { record } = this.#options;
    this.#isStopping = true;
    record.write("entry_sigterm", { entry: this.index });
    await this.#end("SIGTERM", graceMilliseconds);
  }

  async close(): Promise<void> {
    this.#isStopping = true;
    await this.#end("SIGKILL", 0);
  }

  async ready(): Promise<void> {
    const deadline = performance.now() + READINESS_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
      if (await this.isReady()) return;
      await delay(READINESS_INTERVAL_MILLISECONDS);
    }
    throw new Error(`Entry ${this.index} does not become ready`);
  }

  /** The platform's question about readiness. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const probe = request({
        host: this.host,
        port: this.#options.ports.readiness,
        path: "/filbertshore/readyz",
        agent: false,
        timeout: 1_000,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      probe.on("timeout", () => probe.destroy());
      probe.on("error", () => resolve(false));
      probe.end();
    });
  }

  async #end(signal: NodeJS.Signals, graceMilliseconds: number): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, "exit");
    child.kill(signal);
    const killTimer = setTimeout(
      () => child.kill("SIGKILL"),
      graceMilliseconds,
    );
    await exited;
    clearTimeout(killTimer);
  }

  #settings(): string {
    const { index, ports, storeAddress } = this.#options;
    const { callers, control, peers, readiness } = ports;
    return [
      `node_name=front-hall-${index}`,
      "role=entry",
      "machine_class=front",
      "serves=front,control",
      `ip=${this.host}`,
      `zone=hall-${index}`,
      "region=flanders",
      `listen.front=${this.host}:${callers}`,
      `listen.ready=${this.host}:${readiness}`,
      `listen.control=${this.host}:${control}`,
      `internal_ports=${peers},${peers}`,
      `seeds=${hostOf(0)}:${control},${hostOf(1)}:${control}`,
      `bootstrap=${!this.#hasStarted}`,
      "in_tolerance=false",
      "limits.cpu_share=0.513",
      "limits.cores=1",
      "limits.memory_mb=350",
      "limits.max_fds=4100",
      "limits.link_mbps=1000.0",
      "limits.disk_mb=0",
      "discovery=platform",
      "entry=vip",
      "heartbeat_ms=1200",
      "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
      "bounds.stable_window_ms=3000",
      "bounds.drain_ms=2000",
      "bounds.grace_s=8",
      "bounds.config_apply_ms=2000",
      "bounds.retry_budget_ratio=0.2",
      "bounds.budget_window_s=10",
      "bounds.budget_min_retries=54",
      "bounds.fencing_required=true",
      "bounds.lease_ms=3000",
      "bounds.thaw_ms=300",
      `platform.address=${storeAddress}`,
      "platform.form=log",
      "platform.keep_s=300",
    ].join("\n");
  }
}

/** Line of the error output that names the error. */
function errorLine(errors: string): string | undefined {
  return errors.split("\n").find((line) => /Error\b/.test(line));
}

function hostOf(index: number): string {
  return `127.0.0.${120 + index}`;
}
