import { type EndpointId, identifier } from "../identity/mod.ts";
import { chooseSubset, EndpointPicture } from "../placement/mod.ts";
import { ROLE_PROFILES } from "../roles/mod.ts";
import type {
  EngineCharacteristics,
  InventoryEndpoint,
  Pool,
} from "../../generated/inventory.ts";
import type { SchedulingPolicy } from "./policy.ts";

/**
 * Starting point for plain services, and for engines whose register entry is
 * missing. A service has no tokens: one token stands for a millisecond, so
 * that its learned "output" is the time of a call.
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
  /** Picture of an endpoint from before the change, to be kept. */
  readonly known: (endpoint: EndpointId) => EndpointPicture | undefined;
}

/** Pictures of the endpoints that this entry uses of a pool. */
export function picturesOf(
  pool: Pool,
  options: PoolEndpointsOptions,
): EndpointPicture[] {
  const candidates = pool.endpoints.map((one) => ({
    ...one,
    endpoint: one.id,
  }));
  const subset = chooseSubset(candidates, { ...options, ...options.policy });
  return subset.map((one) => pictureOf(one, pool, options));
}

function pictureOf(
  listed: InventoryEndpoint,
  pool: Pool,
  options: PoolEndpointsOptions,
): EndpointPicture {
  const { policy } = options;
  const endpoint = identifier<EndpointId>(listed.id);
  const facts = {
    endpoint,
    availabilityZone: listed.availabilityZone,
    engine: pool.engine ?? SERVICE_CHARACTERISTICS,
    role: listed.role ?? "mixed",
    serving: (listed.state ?? "serving") === "serving",
  };
  const known = options.known(endpoint);
  if (known !== undefined) {
    known.useFacts(facts, options.ranks);
    return known;
  }
  return new EndpointPicture(facts, {
    ...policy,
    ranks: options.ranks,
    profiles: ROLE_PROFILES,
  });
}
