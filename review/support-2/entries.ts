/** Entries as processes, each with its own way to the store. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { entrySettings } from "../../platform/test/processes/entry_settings.ts";
import { findFreePort } from "../../test/support/free_port.ts";
import { delay } from "../../test/stand_ins/stand_in_server.ts";

const START_TIMEOUT_MILLISECONDS = 30_000;
const PROBE_INTERVAL_MILLISECONDS = 50;
/** As in the deploy file. */
const COMMAND = [
  "--max-old-space-size=160",
  "target/filbertshore.cjs",
  "entry",
];

export interface EntriesOptions {
  /** Address of the store, or of a link to it, for each entry. */
  readonly storeAddresses: readonly string[];
  /** Further settings of each entry, such as bounds. */
  readonly settings: Readonly<Record<string, number>>;
}

export class Entries {
  /** What each entry has written. */
  readonly output: string[] = [];
  readonly #children: ChildProcess[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "filbertshore-review-"));
  #callerPort = 0;
  #readinessPort = 0;

  /** Starts all entries, and resolves once they serve callers. */
  async start({ settings, storeAddresses }: EntriesOptions): Promise<void> {
    const [callers, readiness, control, peers] = await Promise.all(
      [findFreePort(), findFreePort(), findFreePort(), findFreePort()],
    );
    this.#callerPort = callers;
    this.#readinessPort = readiness;
    storeAddresses.forEach((storeAddress, index) => {
      const path = join(this.#folder, `entry-${index}.conf`);
      const text = entrySettings({
        index,
        hostOf,
        zone: `z${index}`,
        ports: { callers, readiness, control, peers },
        storeAddress,
        settings,
      });
      writeFileSync(path, `${text}\n`);
      this.#children.push(this.#spawn(index, path));
    });
    await Promise.all(this.#children.map((_, index) => this.#ready(index)));
  }

  callerAddress(index: number): { readonly host: string; port: number } {
    return { host: hostOf(index), port: this.#callerPort };
  }

  /** Sends a signal to the process of an entry. */
  signal(index: number, signal: NodeJS.Signals): void {
    this.#children[index].kill(signal);
  }

  async close(): Promise<void> {
    for (const child of this.#children) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exited = once(child, "exit");
      child.kill("SIGKILL");
      await exited;
    }
    rmSync(this.#folder, { recursive: true });
  }

  #spawn(index: number, settingsPath: string): ChildProcess {
    const child = spawn(process.execPath, COMMAND, {
      env: { PATH: process.env.PATH, FILBERTSHORE_CONFIG: settingsPath },
    });
    this.output[index] = "";
    const append = (chunk: Buffer) => {
      this.output[index] += chunk;
    };
    child.stdout.on("data", append);
    child.stderr.on("data", append);
    return child;
  }

  async #ready(index: number): Promise<void> {
    const { host } = this.callerAddress(index);
    const url = `http://${host}:${this.#readinessPort}/filbertshore/readyz`;
    const deadline = performance.now() + START_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
      const answer = await fetch(url).catch(() => undefined);
      if (answer?.status === 200) return;
      await delay(PROBE_INTERVAL_MILLISECONDS);
    }
    throw new Error(`Entry ${index} is not ready`);
  }
}

/** Loopback address of an entry. */
function hostOf(index: number): string {
  return `127.0.0.${80 + index}`;
}
