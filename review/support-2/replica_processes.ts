/** Replicas as processes, which can be killed and started again. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { findFreePort } from "../../test/support/free_port.ts";
import type { RunRecord } from "./record.ts";

const PROGRAM = "target/review-2/replica_process.mjs";

export interface ReplicaProcessOptions {
  readonly id: string;
  readonly workMilliseconds: number;
  readonly record: RunRecord;
}

export class ReplicaProcess {
  readonly #options: ReplicaProcessOptions;
  #child: ChildProcess | undefined;
  #port = 0;
  /** Unix milliseconds of the start of the present run. */
  born = 0;

  constructor(options: ReplicaProcessOptions) {
    this.#options = options;
  }

  get port(): number {
    return this.#port;
  }

  /** Starts a run, at the same port as the run before. */
  async start(): Promise<void> {
    const { id, record, workMilliseconds } = this.#options;
    if (this.#port === 0) this.#port = await findFreePort();
    this.born = Date.now();
    const child = spawn(process.execPath, [PROGRAM], {
      env: {
        PATH: process.env.PATH,
        REPLICA_ID: id,
        REPLICA_PORT: String(this.#port),
        WORK_MILLISECONDS: String(workMilliseconds),
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#child = child;
    const listens = new Promise<void>((resolve) => {
      child.stdout.on("data", (text) => {
        for (const line of String(text).trim().split("\n")) {
          record.note(`${id} ${line}`);
          if (line === "listens") resolve();
        }
      });
    });
    const exited = once(child, "exit").then(() => {
      if (this.#child === child) this.#child = undefined;
    });
    await Promise.race([listens, exited]);
  }

  async kill(): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    const exited = once(child, "exit");
    child.kill("SIGKILL");
    await exited;
    this.#options.record.note(`${this.#options.id} is killed`);
  }
}
