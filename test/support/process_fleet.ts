import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "smol-toml";
import { freePort } from "./free_port.ts";

/** A program of the system or a stand-in that a test has started. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** What it has printed so far. */
  output(): string;
  /** Settles with the exit code, or null where a signal ended it. */
  readonly exited: Promise<number | null>;
}

/** Folder, ports and processes of one test; `close` ends them all by id. */
export class ProcessFleet {
  readonly folder = mkdtempSync(join(tmpdir(), "filbertshore-"));
  readonly #started: StartedProcess[] = [];

  /** Starts the command line of the system with the given arguments. */
  startProgram(arguments_: readonly string[]): StartedProcess {
    const program = process.env.FILBERTSHORE_BINARY;
    return program === undefined
      ? this.#start(process.execPath, [
        "--import",
        "tsx",
        "src/cli/main.ts",
        ...arguments_,
      ])
      : this.#start(program, arguments_);
  }

  /** Starts a stand-in; gives its process and the URL that it listens on. */
  async startStandIn(
    name: string,
    options: Record<string, unknown> = {},
  ): Promise<{ url: string; started: StartedProcess }> {
    const port = await freePort();
    const extra = Object.entries(options).flatMap(([key, value]) => [
      `--${key}`,
      typeof value === "string" ? value : JSON.stringify(value),
    ]);
    const started = this.#start(process.execPath, [
      "--import",
      "tsx",
      `test/stand_ins/${name}.ts`,
      "--port",
      String(port),
      ...extra,
    ]);
    const url = `http://127.0.0.1:${port}`;
    // Its port alone would also stand in the message that it is taken.
    const listening = JSON.stringify({ listening: port });
    await waitFor(() => started.output().includes(listening), {
      what: `${name} to listen`,
      found: () => started.output(),
    });
    return { url, started };
  }

  /** Writes a settings file; gives its path. */
  writeToml(name: string, value: Record<string, unknown>): string {
    const path = join(this.folder, name);
    writeFileSync(path, stringify(value));
    return path;
  }

  async close(): Promise<void> {
    for (const { child } of this.#started) child.kill("SIGKILL");
    await Promise.all(this.#started.map((each) => each.exited));
    rmSync(this.folder, { recursive: true });
  }

  #start(command: string, arguments_: readonly string[]): StartedProcess {
    const child = spawn(command, arguments_, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    child.stdout.on("data", (piece) => output += piece);
    child.stderr.on("data", (piece) => output += piece);
    const exited = new Promise<number | null>((resolve) => {
      child.on("exit", (code) => resolve(code));
    });
    const started = { child, output: () => output, exited };
    this.#started.push(started);
    return started;
  }
}

const POLL_MILLISECONDS = 20;
const DEFAULT_WAIT_MILLISECONDS = 15_000;

/** Waits until the condition holds; throws what was waited for otherwise. */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  options: {
    what: string;
    milliseconds?: number;
    /** What was there in the end, for the error. */
    found?: () => unknown;
  },
): Promise<void> {
  const limit = options.milliseconds ?? DEFAULT_WAIT_MILLISECONDS;
  const end = performance.now() + limit;
  while (!(await condition())) {
    if (performance.now() > end) {
      const found = JSON.stringify(options.found?.());
      throw new Error(`Waited ${limit} ms for ${options.what}: ${found}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}
