import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "smol-toml";
import { findFreePort } from "./free_port.ts";

/** A process of the system, or a stand-in, that a test has started. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** Combined stdout and stderr so far. */
  output(): string;
  /** Resolves with the exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/**
 * Temporary folder and processes of one test; `close` kills all processes and
 * deletes the folder.
 */
export class ProcessFleet {
  readonly folder = mkdtempSync(join(tmpdir(), "filbertshore-"));
  readonly #started: StartedProcess[] = [];

  /**
   * Starts the system's command line, or `FILBERTSHORE_BINARY` if it is set.
   */
  startProgram(args: readonly string[]): StartedProcess {
    const program = process.env.FILBERTSHORE_BINARY;
    return program === undefined
      ? this.#start(process.execPath, [
        "--import",
        "tsx",
        "src/cli/main.ts",
        ...args,
      ])
      : this.#start(program, args);
  }

  /** Starts a stand-in and returns its process and its URL once it listens. */
  async startStandIn(
    name: string,
    options: Record<string, unknown> = {},
  ): Promise<{ url: string; started: StartedProcess }> {
    const port = await findFreePort();
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
    // The port alone also appears in an "address in use" error.
    const listening = JSON.stringify({ listening: port });
    await waitFor(() => started.output().includes(listening), {
      what: `${name} to listen`,
      found: () => started.output(),
    });
    return { url, started };
  }

  /** Writes a settings file and returns its path. */
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

  #start(command: string, args: readonly string[]): StartedProcess {
    const child = spawn(command, args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    child.stdout.on("data", (chunk) => output += chunk);
    child.stderr.on("data", (chunk) => output += chunk);
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

/**
 * Polls until the condition holds; throws an error that names it on timeout.
 */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  options: {
    what: string;
    milliseconds?: number;
    /** Returns the observed state, for the error message. */
    found?: () => unknown;
  },
): Promise<void> {
  const limit = options.milliseconds ?? DEFAULT_WAIT_MILLISECONDS;
  const end = performance.now() + limit;
  while (!(await condition())) {
    if (performance.now() > end) {
      const found = JSON.stringify(options.found?.());
      throw new Error(
        `Timed out after ${limit} ms waiting for ${options.what}: ${found}`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}
