import type { EndpointId, ServiceName } from "../identity/mod.ts";
import type { TimerService } from "../time/mod.ts";
import type { RegisteredEndpoint } from "./configuration.ts";

/**
 * How long an endpoint stays usable whose registration vanished around an
 * outage of the store. What goes wrong without it: registrations lapse while
 * the store is away, and right after its return every healthy endpoint looks
 * gone. Limit: replicas that live are back about two seconds after the
 * store's return, and a leaving one must get nothing after two seconds.
 */
const LAPSE_GRACE_MILLISECONDS = 1_800;
/**
 * How long after a failed read a vanished registration may be a lapse. What
 * lapsed during an outage shows in the first reads after it. Harm prevented by
 * the limit: an endpoint that leaves three seconds after an outage would be
 * kept for the grace, and get work later than two seconds after its leaving.
 */
const OUTAGE_MEMORY_MILLISECONDS = 1_500;

/** Why the registry changed; goes into the log. */
export type RegistryChange =
  | "registered"
  | "updated"
  | "leaving"
  | "removed"
  | "lapsed"
  | "back";

export interface EndpointRegistryOptions {
  readonly timer: TimerService;
  readonly onChange?: (
    change: RegistryChange,
    endpoint: RegisteredEndpoint,
  ) => void;
}

/** The endpoints that may get work, as the store last told of them. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;
  readonly #endpoints = new Map<EndpointId, RegisteredEndpoint>();
  /** Lapsed registrations and the time until which they stay usable. */
  readonly #lapsed = new Map<EndpointId, number>();
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
  inPool(pool: ServiceName): RegisteredEndpoint[] {
    const found: RegisteredEndpoint[] = [];
    for (const endpoint of this.all) {
      if (endpoint.pool === pool && !endpoint.leaving) found.push(endpoint);
    }
    return found;
  }

  /** The store did not answer: what vanishes soon after may only be a lapse. */
  storeFailed(): void {
    this.#lastOutage = this.#options.timer.now();
  }

  /** True where this has changed anything. */
  put(endpoint: RegisteredEndpoint): boolean {
    const known = this.#endpoints.get(endpoint.id);
    const wasLapsed = this.#lapsed.delete(endpoint.id);
    // A replica that has begun to leave does not change its mind; an older
    // record that is read late must not bring it back.
    const leaving = endpoint.leaving || known?.leaving === true;
    const next = { ...endpoint, leaving };
    this.#endpoints.set(endpoint.id, next);
    const change = changeBetween(known, next);
    if (wasLapsed) this.#options.onChange?.("back", next);
    else if (change !== undefined) this.#options.onChange?.(change, next);
    return wasLapsed || change !== undefined;
  }

  remove(id: EndpointId): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint === undefined || this.#lapsed.has(id)) return;
    const now = this.#options.timer.now();
    const afterOutage = now - this.#lastOutage < OUTAGE_MEMORY_MILLISECONDS;
    if (afterOutage && !endpoint.leaving) {
      this.#lapsed.set(id, now + LAPSE_GRACE_MILLISECONDS);
      this.#options.onChange?.("lapsed", endpoint);
      return;
    }
    this.#drop(endpoint);
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
    this.#options.onChange?.("removed", endpoint);
  }
}

function changeBetween(
  known: RegisteredEndpoint | undefined,
  next: RegisteredEndpoint,
): RegistryChange | undefined {
  if (known === undefined) return "registered";
  if (next.leaving && !known.leaving) return "leaving";
  const isSame = known.address === next.address && known.role === next.role &&
    known.slots === next.slots;
  return isSame ? undefined : "updated";
}
