/** A small deployment: entries as processes, and stand-ins around them. */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StoreStandIn } from "../../platform/test/store_stand_in.ts";
import { findFreePort } from "../../test/support/free_port.ts";
import { EntryMachine } from "./entry_machine.ts";
import { Rotation } from "./rotation.ts";
import type { EventRecord } from "./record.ts";
import type { Replica } from "./replica.ts";

const HEARTBEAT_MILLISECONDS = 1_200;

export interface DeploymentOptions {
  readonly entries: number;
  readonly configuration: Readonly<Record<string, unknown>>;
  readonly replicas: readonly Replica[];
  readonly record: EventRecord;
}

export class Deployment {
  readonly store = new StoreStandIn();
  readonly entries: EntryMachine[] = [];
  readonly rotation = new Rotation(this.entries);
  readonly #options: DeploymentOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "filbertshore-review-"));
  #heartbeats: NodeJS.Timeout | undefined;
  storePort = 0;

  constructor(options: DeploymentOptions) {
    this.#options = options;
  }

  /** Starts everything; resolves once all entries are ready. */
  async start(): Promise<void> {
    const { configuration, entries, record, replicas } = this.#options;
    this.storePort = await this.store.listen();
    this.store.put("keyed.op", "config", configuration);
    for (const replica of replicas) await replica.listen();
    this.#register();
    this.#heartbeats = setInterval(
      () => this.#register(),
      HEARTBEAT_MILLISECONDS,
    );
    const ports = {
      callers: await findFreePort(),
      readiness: await findFreePort(),
      control: await findFreePort(),
      peers: await findFreePort(),
    };
    const storeAddress = `127.0.0.1:${this.storePort}`;
    for (let index = 0; index < entries; index++) {
      const folder = this.#folder;
      const options = { index, folder, ports, storeAddress, record };
      const entry = new EntryMachine(options);
      this.entries.push(entry);
      entry.start();
    }
    await Promise.all(this.entries.map((entry) => entry.ready()));
    this.rotation.start();
  }

  async close(): Promise<void> {
    clearInterval(this.#heartbeats);
    this.rotation.stop();
    await Promise.all(this.entries.map((entry) => entry.close()));
    for (const replica of this.#options.replicas) await replica.close();
    await this.store.close();
    rmSync(this.#folder, { recursive: true });
  }

  #register(): void {
    for (const replica of this.#options.replicas) {
      this.store.put("keyed.servers", replica.id, replica.registration());
    }
  }
}
