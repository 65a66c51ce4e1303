import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import {
  type EndpointRun,
  EndpointRuns,
  type RunOrder,
} from "./endpoint_runs.ts";

/**
 * Time that an endpoint stays usable after its registration has vanished around
 * a store outage. Registrations expire during an outage, so that every healthy
 * endpoint appears to be gone right after it.
 */
const LAPSE_GRACE_MILLISECONDS = 1_800;
/**
 * Time after a failed read in which a vanished registration may have expired.
 * After that, it is a real removal without a grace period.
 */
const OUTAGE_WINDOW_MILLISECONDS = 1_500;

/** Why the registry changed; written to the log. */
export type RegistryChange =
  | "registered"
  | "updated"
  | "restarted"
  | "leaving"
  | "removed"
  | "lapsed"
  | "back";

/** Holds state of an endpoint across requests. */
export interface EndpointStateHolder {
  /** Discards the state of the endpoint; the known run is over. */
  forget(endpoint: RegisteredEndpoint): void;
}

export interface EndpointRegistryOptions {
  readonly timer: TimerService;
  /**
   * Holders of endpoint state. When a replica restarts under the same id, they
   * discard the state of the previous run.
   */
  readonly stateHolders?: readonly EndpointStateHolder[];
  readonly onChange?: (
    change: RegistryChange,
    endpoint: RegisteredEndpoint,
  ) => void;
}

/** Registry of the endpoints, as last read from the store. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #endpoints = new Map<EndpointId, RegisteredEndpoint>();
  /** Usable endpoints by pool, cached until an endpoint changes. */
  readonly #byPool = new Map<ServiceName, readonly RegisteredEndpoint[]>();
  /** Lapsed registrations and the time until which they stay usable. */
  readonly #lapsed = new Map<EndpointId, number>();
  readonly #runs = new EndpointRuns();
  #lastOutageAt = -Infinity;

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
  }

  /** All endpoints that are registered or within their grace period. */
  get all(): Iterable<RegisteredEndpoint> {
    this.#expireLapsed();
    return this.#endpoints.values();
  }

  get size(): number {
    return this.#endpoints.size;
  }

  /** The endpoint, even if it is leaving. */
  get(id: EndpointId): RegisteredEndpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** The endpoint, if it may receive new work. */
  usable(id: EndpointId): RegisteredEndpoint | undefined {
    this.#expireLapsed();
    const endpoint = this.#endpoints.get(id);
    return endpoint === undefined || endpoint.leaving ? undefined : endpoint;
  }

  /** Endpoints of a pool that may receive new work. */
  inPool(pool: ServiceName): readonly RegisteredEndpoint[] {
    this.#expireLapsed();
    let found = this.#byPool.get(pool);
    if (found === undefined) {
      found = [...this.#endpoints.values()].filter((endpoint) =>
        endpoint.pool === pool && !endpoint.leaving
      );
      this.#byPool.set(pool, found);
    }
    return found;
  }

  /** Returns whether the endpoint is known with the same run. */
  isSameRun({ id, startedAt }: EndpointRun): boolean {
    return this.#endpoints.get(id)?.startedAt === startedAt;
  }

  /**
   * Records that the store did not answer; registrations that vanish soon after
   * may only have lapsed.
   */
  storeFailed(): void {
    this.#lastOutageAt = this.#options.timer.now();
  }

  /** Adds or updates an endpoint; returns whether anything changed. */
  upsert(endpoint: RegisteredEndpoint): boolean {
    const known = this.#endpoints.get(endpoint.id);
    const order = this.#runs.observe(endpoint, this.#options.timer.now());
    if (order === "older") return false;
    // An earlier registration shows that the run is registered, and no more.
    const newest = order === "stale" ? known : endpoint;
    if (newest === undefined) return false;
    const wasLapsed = this.#lapsed.delete(endpoint.id);
    const next = this.#runs.isLeaving(endpoint)
      ? { ...newest, leaving: true }
      : newest;
    const change = changeBetween(known, next, order);
    const isSamePlacement = known?.pool === next.pool &&
      known.availabilityZone === next.availabilityZone;
    if (change === undefined && isSamePlacement) {
      if (wasLapsed) this.#notify("back", known);
      return wasLapsed;
    }
    this.#set(next);
    if (change === "restarted" && known !== undefined) this.#forget(known);
    if (wasLapsed && change !== "restarted") this.#notify("back", next);
    else if (change !== undefined) this.#notify(change, next);
    return wasLapsed || change !== undefined;
  }

  /**
   * Marks this run of the endpoint as leaving, as announced by itself. No
   * registration of the run makes it usable again, even after its registration
   * has vanished. Returns the endpoint if it was not yet known to be leaving.
   */
  markLeaving(run: EndpointRun): RegisteredEndpoint | undefined {
    if (!this.#runs.markLeaving(run)) return undefined;
    const endpoint = this.#endpoints.get(run.id);
    if (endpoint === undefined || endpoint.leaving) return undefined;
    const leaving = { ...endpoint, leaving: true };
    this.#set(leaving);
    this.#notify("leaving", leaving);
    return leaving;
  }

  /**
   * Removes an endpoint whose registration has vanished; around a store outage,
   * it only lapses.
   */
  remove(id: EndpointId): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint === undefined || this.#lapsed.has(id)) return;
    const now = this.#options.timer.now();
    const afterOutage = now - this.#lastOutageAt < OUTAGE_WINDOW_MILLISECONDS;
    if (afterOutage && !endpoint.leaving) {
      this.#lapsed.set(id, now + LAPSE_GRACE_MILLISECONDS);
      this.#notify("lapsed", endpoint);
      return;
    }
    this.#delete(endpoint);
  }

  /**
   * Removes an endpoint whose key holds no valid registration any more. The
   * store has answered, so this is not a lapse and there is no grace period.
   */
  withdraw(id: EndpointId): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint !== undefined) this.#delete(endpoint);
  }

  /** Applies a complete listing; endpoints that it lacks have vanished. */
  replaceAll(endpoints: readonly RegisteredEndpoint[]): void {
    const listed = new Set(endpoints.map((endpoint) => endpoint.id));
    for (const id of [...this.#endpoints.keys()]) {
      if (!listed.has(id)) this.remove(id);
    }
    for (const endpoint of endpoints) this.upsert(endpoint);
  }

  #expireLapsed(): void {
    if (this.#lapsed.size === 0) return;
    const now = this.#options.timer.now();
    for (const [id, until] of this.#lapsed) {
      const endpoint = this.#endpoints.get(id);
      if (now >= until && endpoint !== undefined) this.#delete(endpoint);
    }
  }

  #delete(endpoint: RegisteredEndpoint): void {
    this.#lapsed.delete(endpoint.id);
    this.#endpoints.delete(endpoint.id);
    this.#byPool.clear();
    this.#runs.ended(endpoint.id);
    this.#forget(endpoint);
    this.#notify("removed", endpoint);
  }

  #set(endpoint: RegisteredEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint);
    this.#byPool.clear();
  }

  #forget(endpoint: RegisteredEndpoint): void {
    for (const holder of this.#options.stateHolders ?? []) {
      holder.forget(endpoint);
    }
  }

  #notify(change: RegistryChange, endpoint: RegisteredEndpoint): void {
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
    known.slots === next.slots &&
    known.softwareVersion === next.softwareVersion;
  return isSame ? undefined : "updated";
}
