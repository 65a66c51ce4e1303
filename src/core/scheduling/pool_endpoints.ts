import { type EndpointId, identifier } from "../identity/mod.ts";
import { chooseSubset, EndpointView } from "../placement/mod.ts";
import { ROLE_PROFILES } from "../roles/mod.ts";
import type {
  EngineCharacteristics,
  InventoryEndpoint,
  Pool,
} from "../../generated/inventory.ts";
import type { SchedulingPolicy } from "./policy.ts";

/**
 * Initial characteristics of plain services, and of engines that have none in
 * the inventory. A service has no tokens: one token represents one millisecond,
 * so that its learned output length is the duration of a call.
 */
const SERVICE_CHARACTERISTICS: EngineCharacteristics = {
  slots: 16,
  prefillTokensPerSecond: 1_000_000,
  millisecondsBetweenTokens: 1,
  keyValueCacheTokens: 0,
  roleChangeSeconds: 0,
};

export interface PoolEndpointsOptions {
  readonly availabilityZone: string;
  readonly salt: string;
  readonly policy: SchedulingPolicy;
  readonly ranks: number;
  /** View of an endpoint from before the configuration change, to be kept. */
  readonly existingView: (endpoint: EndpointId) => EndpointView | undefined;
}

/** Views of the endpoints of a pool that this entry uses. */
export function createEndpointViews(
  pool: Pool,
  options: PoolEndpointsOptions,
): EndpointView[] {
  const candidates = pool.endpoints.map((one) => ({
    ...one,
    endpoint: one.id,
  }));
  const subset = chooseSubset(candidates, { ...options, ...options.policy });
  return subset.map((one) => createEndpointView(one, pool, options));
}

function createEndpointView(
  inventoryEndpoint: InventoryEndpoint,
  pool: Pool,
  options: PoolEndpointsOptions,
): EndpointView {
  const { policy } = options;
  const endpoint = identifier<EndpointId>(inventoryEndpoint.id);
  const config = {
    endpoint,
    availabilityZone: inventoryEndpoint.availabilityZone,
    engine: pool.engine ?? SERVICE_CHARACTERISTICS,
    role: inventoryEndpoint.role ?? "mixed",
    serving: (inventoryEndpoint.state ?? "serving") === "serving",
  };
  const existing = options.existingView(endpoint);
  if (existing !== undefined) {
    existing.updateConfig(config, options.ranks);
    return existing;
  }
  return new EndpointView(config, {
    ...policy,
    ranks: options.ranks,
    profiles: ROLE_PROFILES,
  });
}
