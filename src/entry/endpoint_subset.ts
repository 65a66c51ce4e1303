import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { PeerAddress } from "../core/links/mod.ts";
import { rendezvousSubset } from "../core/membership/mod.ts";
import type { Inventory, Pool } from "../generated/inventory.ts";

export interface EndpointSubsetOptions {
  readonly entry: string;
  readonly availabilityZone: string;
  readonly maxPerPool: number;
}

/**
 * Fraction of the subset in other availability zones, so that an entry can fail
 * over at once when its own zone is lost.
 */
const SPILL_SHARE = 0.25;

/** The part of the inventory that one entry uses. */
export interface EndpointSubset {
  readonly inventory: Inventory;
  readonly sides: ReadonlyMap<EndpointId, PeerAddress>;
  /** Fraction of the inventory's endpoints that this entry uses, 0 to 1. */
  readonly share: number;
}

/**
 * Selects the endpoints that one entry places work on. With 12,000 replicas,
 * state, reports and connections would otherwise grow with the fleet at each of
 * 410 entries. Endpoints in the entry's own availability zone are preferred;
 * every endpoint is still used by several entries.
 */
export function chooseEndpoints(
  inventory: Inventory,
  options: EndpointSubsetOptions,
): EndpointSubset {
  const sides = new Map<EndpointId, PeerAddress>();
  const pools = inventory.pools.map((pool) => choosePool(pool, options));
  for (const pool of pools) {
    for (const endpoint of pool.endpoints) {
      if (endpoint.state === "withdrawn") continue;
      sides.set(identifier(endpoint.id), identifier(endpoint.side));
    }
  }
  return {
    inventory: { ...inventory, pools: pools as Inventory["pools"] },
    sides,
    share: countEndpoints(pools) / Math.max(1, countEndpoints(inventory.pools)),
  };
}

function countEndpoints(pools: readonly Pool[]): number {
  return pools.reduce((sum, pool) => sum + pool.endpoints.length, 0);
}

function choosePool(pool: Pool, options: EndpointSubsetOptions): Pool {
  if (pool.endpoints.length <= options.maxPerPool) return pool;
  const chosen = new Set(rendezvousSubset(pool.endpoints, {
    picker: options.entry,
    availabilityZone: options.availabilityZone,
    size: options.maxPerPool,
    spill: Math.ceil(options.maxPerPool * SPILL_SHARE),
  }));
  const endpoints = pool.endpoints.filter((each) => chosen.has(each));
  return { ...pool, endpoints };
}
