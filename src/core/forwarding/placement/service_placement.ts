import type { AvailabilityZoneId } from "../../identity/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { LoadPicture } from "../endpoints/load_picture.ts";

/**
 * What another availability zone counts for, in busy slots: less than one
 * request more, so that a free replica elsewhere is taken before one waits.
 */
const OTHER_ZONE_SLOTS = 0.4;
/** Equal candidates differ by up to so much at random, in slots. */
const TIE_BREAK_SLOTS = 0.3;

export interface ServicePlacementOptions {
  readonly load: LoadPicture;
  readonly random: Random;
  /** Zone of the entry that asks. */
  readonly availabilityZone: AvailabilityZoneId;
}

/**
 * The replica of a plain service with the fewest open requests of all
 * entries for its slots. Load: short calls that come in bursts at several
 * entries; each would else wait behind another's at the same replica.
 */
export function chooseService(
  candidates: readonly RegisteredEndpoint[],
  options: ServicePlacementOptions,
): RegisteredEndpoint | undefined {
  const { load, random, availabilityZone } = options;
  let best: RegisteredEndpoint | undefined;
  let bestCost = Infinity;
  for (const endpoint of candidates) {
    const isFar = endpoint.availabilityZone !== availabilityZone;
    const busy = load.total(endpoint.id).requests +
      (isFar ? OTHER_ZONE_SLOTS : 0) + TIE_BREAK_SLOTS * random();
    const cost = busy / Math.max(1, endpoint.slots);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = endpoint;
  }
  return best;
}
