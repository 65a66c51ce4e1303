import type { AvailabilityZoneId } from "../../identity/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { FleetLoad } from "../endpoints/fleet_load.ts";

/**
 * Cost of another availability zone, in busy slots. It is less than one
 * request, so that a free replica in another zone is preferred to queueing.
 */
const CROSS_ZONE_SLOTS = 0.4;
/** Range of the random term that breaks ties between replicas, in slots. */
const TIE_BREAK_JITTER_SLOTS = 0.3;

export interface ServicePlacementOptions {
  readonly load: FleetLoad;
  readonly random: Random;
  /** Zone of this entry. */
  readonly availabilityZone: AvailabilityZoneId;
}

/**
 * Chooses the replica of a plain service with the fewest open requests of all
 * entries relative to its slots. Short calls arrive in bursts at several
 * entries and would otherwise queue behind each other at the same replica.
 */
export function chooseServiceReplica(
  candidates: readonly RegisteredEndpoint[],
  options: ServicePlacementOptions,
): RegisteredEndpoint | undefined {
  const { load, random, availabilityZone } = options;
  let best: RegisteredEndpoint | undefined;
  let bestCost = Infinity;
  for (const endpoint of candidates) {
    const isOtherZone = endpoint.availabilityZone !== availabilityZone;
    const weightedRequests = load.total(endpoint.id).requests +
      (isOtherZone ? CROSS_ZONE_SLOTS : 0) + TIE_BREAK_JITTER_SLOTS * random();
    const cost = weightedRequests / Math.max(1, endpoint.slots);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = endpoint;
  }
  return best;
}
