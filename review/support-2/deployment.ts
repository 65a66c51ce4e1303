/** A small deployment: the store, entries as processes, and replicas. */
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import {
  type ReplicaScript,
  type ScriptedReplica,
} from "../../test/support/scripted_replica.ts";
import { IdentifiedReplica } from "../../platform/test/identified_replica.ts";
import { StoreStandIn } from "../../platform/test/store_stand_in.ts";
import { Entries } from "./entries.ts";

const CONFIGURATION_TOPIC = "keyed.op";
const REGISTRATION_TOPIC = "keyed.servers";
const HEARTBEAT_MILLISECONDS = 1_200;
/** Time in which all entries have read what was written before. */
const SETTLE_MILLISECONDS = 3_000;
export const HOST = "review.example";

/** Bounds of the users' small deployments. */
export const BOUNDS = {
  "bounds.grace_s": 8,
  "bounds.drain_ms": 2_000,
  "bounds.config_apply_ms": 2_000,
  "bounds.retry_budget_ratio": 0.2,
  "bounds.budget_window_s": 10,
  "bounds.budget_min_retries": 54,
  "bounds.lease_ms": 3_000,
  "limits.memory_mb": 350,
  "limits.link_mbps": 1_000,
};

/** A route of the operator's configuration, in the platform's names. */
export type RouteFields = Readonly<Record<string, unknown>>;

interface RegisteredReplica {
  readonly replica?: ScriptedReplica;
  readonly fields: Record<string, unknown>;
  /** True: it does not reach the store. */
  isCutOff?: boolean;
}

export interface Registration {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  /** Unix milliseconds of the start of the replica's run. */
  readonly born?: number;
}

export class Deployment {
  readonly store = new StoreStandIn();
  readonly entries = new Entries();
  readonly #replicas = new Map<string, RegisteredReplica>();
  #heartbeats: NodeJS.Timeout | undefined;
  #version = 0;

  /** Starts a replica and registers it. */
  async addReplica(
    id: string,
    { linkTo, script, service, slots = 8 }: {
      readonly service: string;
      readonly script: ReplicaScript;
      readonly slots?: number;
      /** Opens a link to the replica; resolves with the port of the link. */
      readonly linkTo?: (replica: ScriptedReplica) => Promise<number>;
    },
  ): Promise<ScriptedReplica> {
    const replica = new IdentifiedReplica(script, id);
    const direct = await replica.listen();
    const address = linkTo === undefined
      ? direct
      : `127.0.0.1:${await linkTo(replica)}`;
    const fields = fieldsOf({ service, address, slots });
    this.#replicas.set(id, { replica, fields });
    this.#beat(id);
    return replica;
  }

  /** Registers a run of a replica that the caller has started. */
  register(id: string, registration: Registration): void {
    this.#replicas.set(id, { fields: fieldsOf(registration) });
    this.#beat(id);
  }

  /** The replica does not reach the store until it registers again. */
  cutOff(id: string): void {
    const registered = this.#replicas.get(id);
    if (registered !== undefined) registered.isCutOff = true;
  }

  /** Writes a configuration, which is acknowledged when this returns. */
  configure(routes: readonly RouteFields[]): void {
    const services = [
      ...new Set(
        [...this.#replicas.values()].map(({ fields }) => fields.service),
      ),
    ].map((name) => ({
      name,
      health_path: "/healthz",
      max_connections: 100,
      protocol: "h1",
      tls: false,
    }));
    this.#version += 7;
    this.store.put(CONFIGURATION_TOPIC, "config", {
      version: this.#version,
      routes,
      services,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
    });
  }

  /** Starts the store; resolves with its port. */
  listen(): Promise<number> {
    return this.store.listen();
  }

  /**
   * Starts an entry for each address of the store or of a link to it; call with
   * replicas and a configuration.
   */
  async start(storePorts: readonly number[]): Promise<void> {
    this.#heartbeats = setInterval(() => {
      for (const id of this.#replicas.keys()) this.#beat(id);
    }, HEARTBEAT_MILLISECONDS);
    await this.entries.start({
      storeAddresses: storePorts.map((port) => `127.0.0.1:${port}`),
      settings: BOUNDS,
    });
    await delay(SETTLE_MILLISECONDS);
  }

  async close(): Promise<void> {
    clearInterval(this.#heartbeats);
    await this.entries.close();
    for (const { replica } of this.#replicas.values()) replica?.close();
    await this.store.close();
  }

  #beat(id: string): void {
    const { fields, isCutOff } = this.#replicas.get(id) ?? {};
    if (fields === undefined || isCutOff) return;
    fields.sequence = Number(fields.sequence) + 1;
    this.store.put(REGISTRATION_TOPIC, id, fields);
  }
}

function fieldsOf(registration: Registration): Record<string, unknown> {
  return {
    ...registration,
    zone: "z0",
    version: "v1",
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 0,
  };
}
