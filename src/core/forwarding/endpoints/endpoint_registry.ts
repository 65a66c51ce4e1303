import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import {
  type EndpointRun,
  EndpointRuns,
  type RunOrder,
} from "./endpoint_runs.ts";

/**
 * How long an endpoint stays usable whose registration vanished around an
 * outage of the store. Registrations expire during an outage, so that every
 * healthy endpoint looks gone right after it.
 */
const LAPSE_GRACE_MILLISECONDS = 1_800;
/**
 * How long after a failed read a vanished registration may have expired. Later
 * it is a real removal, which gets no grace.
 */
const OUTAGE_MEMORY_MILLISECONDS = 1_500;

/** Why the registry changed; goes into the log. */
export type RegistryChange =
  | "registered"
  | "updated"
  | "restarted"
  | "leaving"
  | "removed"
  | "lapsed"
  | "back";

/** Something that remembers an endpoint from one request to the next. */
export interface EndpointMemory {
  /** The run of the endpoint that was known is over. */
  forget(endpoint: RegisteredEndpoint): void;
}

export interface EndpointRegistryOptions {
  readonly timer: TimerService;
  /**
   * All that remembers something of an endpoint. It must not be taken for the
   * state of the next run when a replica restarts under its id.
   */
  readonly memories?: readonly EndpointMemory[];
  readonly onChange?: (
    change: RegistryChange,
    endpoint: RegisteredEndpoint,
  ) => void;
}

/** The endpoints that may get work, as the store last told of them. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #endpoints = new Map<EndpointId, RegisteredEndpoint>();
  /** Endpoints of a pool that may get new work, until one changes. */
  readonly #byPool = new Map<ServiceName, readonly RegisteredEndpoint[]>();
  /** Lapsed registrations and the time until which they stay usable. */
  readonly #lapsed = new Map<EndpointId, number>();
  readonly #runs = new EndpointRuns();
  #lastOutage = -Infinity;

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
  }

  /** Every endpoint that is registered or within its grace. */
  get all(): Iterable<RegisteredEndpoint> {
    this.#expire();
    return this.#endpoints.values();
  }

  get size(): number {
    return this.#endpoints.size;
  }

  /** The endpoint as it is known, also while it leaves. */
  get(id: EndpointId): RegisteredEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** The endpoint while it may get new work. */
  usable(id: EndpointId): RegisteredEndpoint | undefined {
    this.#expire();
    const endpoint = this.#endpoints.get(id);
    return endpoint === undefined || endpoint.leaving ? undefined : endpoint;
  }

  /** Endpoints of a pool that may get new work. */
  inPool(pool: ServiceName): readonly RegisteredEndpoint[] {
    this.#expire();
    let found = this.#byPool.get(pool);
    if (found === undefined) {
      found = [...this.#endpoints.values()].filter((endpoint) =>
        endpoint.pool === pool && !endpoint.leaving
      );
      this.#byPool.set(pool, found);
    }
    return found;
  }

  /** True while the endpoint is known in the same run. */
  isSameRun({ id, startedAt }: EndpointRun): boolean {
    return this.#endpoints.get(id)?.startedAt === startedAt;
  }

  /** The store did not answer: what vanishes soon after may only be a lapse. */
  storeFailed(): void {
    this.#lastOutage = this.#options.timer.now();
  }

  /** True where this has changed anything. */
  put(endpoint: RegisteredEndpoint): boolean {
    const known = this.#endpoints.get(endpoint.id);
    const order = this.#runs.saw(endpoint);
    if (order === "older") return false;
    const wasLapsed = this.#lapsed.delete(endpoint.id);
    const next = this.#runs.hasLeft(endpoint)
      ? { ...endpoint, leaving: true }
      : endpoint;
    const change = changeBetween(known, next, order);
    const isSamePlace = known?.pool === next.pool &&
      known.availabilityZone === next.availabilityZone;
    if (change === undefined && isSamePlace) {
      if (wasLapsed) this.#tell("back", known);
      return wasLapsed;
    }
    this.#set(next);
    if (change === "restarted" && known !== undefined) this.#forget(known);
    if (wasLapsed && change !== "restarted") this.#tell("back", next);
    else if (change !== undefined) this.#tell(change, next);
    return wasLapsed || change !== undefined;
  }

  /**
   * The endpoint itself says that this run of it leaves. No registration of
   * the run brings it back, even if it has vanished meanwhile. Gives the
   * endpoint where this is news.
   */
  saidLeaving(run: EndpointRun): RegisteredEndpoint | undefined {
    if (!this.#runs.leaves(run)) return undefined;
    const endpoint = this.#endpoints.get(run.id);
    if (endpoint === undefined || endpoint.leaving) return undefined;
    const leaving = { ...endpoint, leaving: true };
    this.#set(leaving);
    this.#tell("leaving", leaving);
    return leaving;
  }

  /** The registration has vanished; around an outage it may only lapse. */
  remove(id: EndpointId): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint === undefined || this.#lapsed.has(id)) return;
    const now = this.#options.timer.now();
    const afterOutage = now - this.#lastOutage < OUTAGE_MEMORY_MILLISECONDS;
    if (afterOutage && !endpoint.leaving) {
      this.#lapsed.set(id, now + LAPSE_GRACE_MILLISECONDS);
      this.#tell("lapsed", endpoint);
      return;
    }
    this.#drop(endpoint);
  }

  /**
   * What stands under the endpoint's key names no replica any more. This is no
   * lapse: the store has answered, so that no grace is owed.
   */
  withdraw(id: EndpointId): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint !== undefined) this.#drop(endpoint);
  }

  /** Takes a complete listing: what it doesn't name has vanished. */
  replaceAll(endpoints: readonly RegisteredEndpoint[]): void {
    const named = new Set(endpoints.map((endpoint) => endpoint.id));
    for (const id of [...this.#endpoints.keys()]) {
      if (!named.has(id)) this.remove(id);
    }
    for (const endpoint of endpoints) this.put(endpoint);
  }

  #expire(): void {
    if (this.#lapsed.size === 0) return;
    const now = this.#options.timer.now();
    for (const [id, until] of this.#lapsed) {
      const endpoint = this.#endpoints.get(id);
      if (now >= until && endpoint !== undefined) this.#drop(endpoint);
    }
  }

  #drop(endpoint: RegisteredEndpoint): void {
    this.#lapsed.delete(endpoint.id);
    this.#endpoints.delete(endpoint.id);
    this.#byPool.clear();
    this.#runs.ended(endpoint.id);
    this.#forget(endpoint);
    this.#tell("removed", endpoint);
  }

  #set(endpoint: RegisteredEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint);
    this.#byPool.clear();
  }

  #forget(endpoint: RegisteredEndpoint): void {
    for (const memory of this.#options.memories ?? []) memory.forget(endpoint);
  }

  #tell(change: RegistryChange, endpoint: RegisteredEndpoint): void {
    this.#options.onChange?.(change, endpoint);
  }
}

function changeBetween(
  known: RegisteredEndpoint | undefined,
  next: RegisteredEndpoint,
  order: RunOrder,
): RegistryChange | undefined {
  if (known === undefined) return "registered";
  if (order === "newer") return "restarted";
  if (next.leaving && !known.leaving) return "leaving";
  const isSame = known.address === next.address && known.role === next.role &&
    known.slots === next.slots;
  return isSame ? undefined : "updated";
}
