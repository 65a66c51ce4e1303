import type { ServiceName } from "../identity/mod.ts";
import type { Random } from "../random/mod.ts";
import { KeyDirectory } from "./callers/key_directory.ts";
import type { ForwardingConfiguration, Route } from "./configuration.ts";

/** Bound on the pauses in the streams of a pool. */
export interface PauseBound {
  /** Shortest of the longest pauses that the pool's routes allow. */
  readonly maxPauseMilliseconds: number;
  /** The least urgent rank of the routes that name a longest pause. */
  readonly leastUrgentRank: number;
}

/**
 * Lookup of routes, by host and longest matching path prefix, and of callers'
 * keys in one version of the configuration.
 */
export class RouteTable {
  readonly configuration: ForwardingConfiguration;
  /** Undefined if callers need no keys. */
  readonly keys: KeyDirectory | undefined;
  /** Routes by host, the longest prefix first. */
  readonly #byHost = new Map<string, Route[]>();
  readonly #pauseBounds = new Map<ServiceName, PauseBound>();
  /** Pools of the resumable streams. */
  readonly #resumablePools = new Set<ServiceName>();

  constructor(configuration: ForwardingConfiguration) {
    this.configuration = configuration;
    const { workspaces } = configuration;
    this.keys = workspaces && new KeyDirectory(workspaces);
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host);
      if (routes === undefined) this.#byHost.set(host, [route]);
      else routes.push(route);
      this.#recordPause(route);
      if (!isResumable(route)) continue;
      for (const { pool } of route.shares) this.#resumablePools.add(pool);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((left, right) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
  }

  /**
   * Finds the route of a request; `host` may include a port, `target` a query.
   */
  find(host: string, target: string): Route | undefined {
    const path = pathOf(target);
    const name = host.toLowerCase().replace(/:\d+$/, "");
    return this.#byHost.get(name)?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }

  /** Undefined if no route of the pool names a longest pause. */
  pauseBound(pool: ServiceName): PauseBound | undefined {
    return this.#pauseBounds.get(pool);
  }

  /** True if a route has streams of the pool that may be resumed. */
  hasResumableStreams(pool: ServiceName): boolean {
    return this.#resumablePools.has(pool);
  }

  #recordPause({ maxPauseMilliseconds, rank, shares }: Route): void {
    if (maxPauseMilliseconds === undefined) return;
    for (const { pool } of shares) {
      const known = this.#pauseBounds.get(pool);
      this.#pauseBounds.set(pool, {
        maxPauseMilliseconds: Math.min(
          known?.maxPauseMilliseconds ?? Infinity,
          maxPauseMilliseconds,
        ),
        leastUrgentRank: Math.max(known?.leastUrgentRank ?? 0, rank),
      });
    }
  }
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** Selects a pool at random by the weights of the route. */
export function selectPool(
  route: Route,
  random: Random,
): ServiceName | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let remaining = random() * total;
  for (const share of route.shares) {
    remaining -= share.weight;
    if (remaining < 0) return share.pool;
  }
  return route.shares.at(-1)?.pool;
}

/** True if another endpoint may go on with a stream of the route. */
export function isResumable({ repeat, resumable }: Route): boolean {
  return repeat === "stream" && resumable;
}
