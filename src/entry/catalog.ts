import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Failure } from "../core/errors/mod.ts";
import { failure } from "../core/errors/mod.ts";
import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { PeerAddress } from "../core/links/mod.ts";
import type {
  EngineCharacteristics,
  Inventory,
  InventoryEndpoint,
  Pool,
  Route,
} from "../generated/inventory.ts";
import { UNKNOWN_MODEL, UNKNOWN_ROUTE } from "./errors.ts";

/** A route of a plain service with its pool. */
export interface RouteMatch {
  readonly pool: Pool;
  readonly idempotent: boolean;
}

interface CatalogedEndpoint {
  readonly endpoint: InventoryEndpoint;
  readonly pool: Pool;
}

/**
 * Index of the active inventory by model, route and endpoint. Rebuilt for each
 * version; the cost of a lookup does not depend on the size of the fleet.
 */
export class Catalog {
  readonly inventory: Inventory;
  readonly #poolsByModel = new Map<string, Pool>();
  readonly #routes: { route: Route; pool: Pool }[] = [];
  readonly #endpoints = new Map<EndpointId, CatalogedEndpoint>();

  constructor(inventory: Inventory) {
    this.inventory = inventory;
    for (const pool of inventory.pools) this.#addPool(pool);
    // Sorted by length, so that the longest matching prefix wins.
    this.#routes.sort((a, b) => b.route.path.length - a.route.path.length);
  }

  /** Names of all models in inventory order. */
  models(): readonly string[] {
    return [...this.#poolsByModel.keys()];
  }

  poolOfModel(model: string): Result<Pool, Failure<"unknown_model">> {
    const pool = this.#poolsByModel.get(model);
    if (pool === undefined) {
      return err(failure(UNKNOWN_MODEL, { model }));
    }
    return ok(pool);
  }

  /** The query string of `path` is ignored. */
  poolOfRoute(
    method: string,
    path: string,
  ): Result<RouteMatch, Failure<"unknown_route">> {
    const pathname = path.split("?")[0];
    const match = this.#routes.find(({ route }) =>
      route.method === method && isUnder(pathname, route.path)
    );
    if (match === undefined) {
      return err(failure(UNKNOWN_ROUTE, { method, path }));
    }
    return ok({ pool: match.pool, idempotent: match.route.idempotent });
  }

  /** Ids of all endpoints in the inventory. */
  endpoints(): Iterable<EndpointId> {
    return this.#endpoints.keys();
  }

  endpoint(id: EndpointId): InventoryEndpoint | undefined {
    return this.#endpoints.get(id)?.endpoint;
  }

  poolOfEndpoint(id: EndpointId): Pool | undefined {
    return this.#endpoints.get(id)?.pool;
  }

  engineOf(id: EndpointId): EngineCharacteristics | undefined {
    return this.poolOfEndpoint(id)?.engine;
  }

  sideOf(id: EndpointId): PeerAddress | undefined {
    const endpoint = this.endpoint(id);
    return endpoint && identifier<PeerAddress>(endpoint.side);
  }

  #addPool(pool: Pool): void {
    for (const model of pool.models ?? []) this.#poolsByModel.set(model, pool);
    for (const route of pool.routes ?? []) this.#routes.push({ route, pool });
    for (const endpoint of pool.endpoints) {
      this.#endpoints.set(identifier(endpoint.id), { endpoint, pool });
    }
  }
}

function isUnder(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || prefix.endsWith("/") ||
    path[prefix.length] === "/";
}
