import type { AvailabilityZoneId } from "../../identity/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { FleetLoad } from "../endpoints/fleet_load.ts";
import type { EndpointLoadReports } from "../endpoints/load_reports.ts";
import type { ExpectedTimes } from "./expected_times.ts";

/**
 * Cost of another availability zone, in busy slots. It is less than one
 * request, so that a free replica in another zone is preferred to queueing.
 */
const CROSS_ZONE_SLOTS = 0.4;
/** Range of the random term that breaks ties between replicas, in slots. */
const TIE_BREAK_JITTER_SLOTS = 0.3;
/** Random replicas that are compared for a request. */
const RANDOM_REPLICAS = 2;
/**
 * Cost of a busy slot of a replica that has free ones, in slots. A request is
 * no faster there, but others that this entry does not know of may take the
 * rest.
 */
const BUSY_SLOT_COST = 0.5;
/**
 * Share of the best replica's slots that are expected to be busy, including the
 * new request, above which fresh data is worth a query. In load tests, queries
 * below it made no measurable difference.
 */
const MAX_BUSY_SHARE = 0.7;
/**
 * Weight of the best replica's report below which fresh data is worth a query.
 * An entry of a fleet of 300 gets a response of each replica every ten seconds.
 */
const MIN_REPORT_WEIGHT = 0.6;

export interface ServicePlacementOptions {
  readonly load: FleetLoad;
  readonly random: Random;
  /** Zone of this entry. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly loadReports: EndpointLoadReports;
  readonly expectedTimes: ExpectedTimes;
}

/**
 * Chooses a replica of a plain service. Replicas that report work factors are
 * uneven and are compared by the time that a request is expected to take;
 * others by their open requests.
 */
export function chooseServiceReplica(
  candidates: readonly RegisteredEndpoint[],
  options: ServicePlacementOptions,
): RegisteredEndpoint | undefined {
  return isUneven(candidates, options)
    ? lowestCost(sampleReplicas(candidates, options))
    : fewestOpenRequests(candidates, options);
}

/**
 * Replicas to compare with fresh data about their load before the choice; none
 * if the pool is even, or if the report of the best one is useful and a free
 * slot is likely there.
 */
export function replicasToRefresh(
  candidates: readonly RegisteredEndpoint[],
  options: ServicePlacementOptions,
): readonly RegisteredEndpoint[] {
  if (!isUneven(candidates, options)) return [];
  const sample = sampleReplicas(candidates, options);
  const best = lowestCost(sample);
  if (best === undefined) return [];
  const { reportWeight, workAhead } = options.expectedTimes.predict(best);
  const isSlotLikely = (workAhead + 1) / Math.max(1, best.slots) <=
    MAX_BUSY_SHARE;
  const isReportUseful = reportWeight >= MIN_REPORT_WEIGHT;
  return isSlotLikely && isReportUseful
    ? []
    : sample.map(({ endpoint }) => endpoint);
}

/** The replica with the lowest expected time of all candidates. */
export function fastestReplica(
  candidates: readonly RegisteredEndpoint[],
  options: ServicePlacementOptions,
): RegisteredEndpoint | undefined {
  return lowestCost(candidates.map((each) => rate(each, options)));
}

function isUneven(
  candidates: readonly RegisteredEndpoint[],
  { loadReports }: ServicePlacementOptions,
): boolean {
  return candidates.length > 1 && loadReports.isAdaptive(candidates[0].pool);
}

/**
 * The replica with the fewest open requests of all entries relative to its
 * slots. Short calls arrive in bursts at several entries and would otherwise
 * queue behind each other at the same replica.
 */
function fewestOpenRequests(
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

interface RatedReplica {
  readonly endpoint: RegisteredEndpoint;
  /** Requests per millisecond that it can serve, up to a common factor. */
  readonly capacity: number;
  /** Expected time with the cost of its zone, in milliseconds. */
  readonly cost: number;
}

/**
 * Two random replicas, weighted by capacity, and the best one of this entry's
 * zone. Entries that see the same idle replica thus don't all choose it.
 */
function sampleReplicas(
  candidates: readonly RegisteredEndpoint[],
  options: ServicePlacementOptions,
): readonly RatedReplica[] {
  const remaining = candidates.map((endpoint) => rate(endpoint, options));
  const sample: RatedReplica[] = [];
  while (sample.length < RANDOM_REPLICAS && remaining.length > 0) {
    sample.push(drawByCapacity(remaining, options.random));
  }
  const local = remaining.filter(({ endpoint }) =>
    endpoint.availabilityZone === options.availabilityZone
  );
  if (local.length > 0) sample.push(leastCostly(local));
  return sample;
}

function lowestCost(
  replicas: readonly RatedReplica[],
): RegisteredEndpoint | undefined {
  return replicas.length === 0 ? undefined : leastCostly(replicas).endpoint;
}

function leastCostly(replicas: readonly RatedReplica[]): RatedReplica {
  return replicas.reduce((best, each) => each.cost < best.cost ? each : best);
}

function rate(
  endpoint: RegisteredEndpoint,
  options: ServicePlacementOptions,
): RatedReplica {
  const { availabilityZone, expectedTimes, random } = options;
  const { milliseconds, serviceMilliseconds, workAhead } = expectedTimes
    .predict(endpoint);
  const slots = Math.max(1, endpoint.slots);
  const isOtherZone = endpoint.availabilityZone !== availabilityZone;
  const tieBreakSlots = BUSY_SLOT_COST * Math.min(workAhead, slots) +
    (isOtherZone ? CROSS_ZONE_SLOTS : 0) + TIE_BREAK_JITTER_SLOTS * random();
  return {
    endpoint,
    capacity: slots / serviceMilliseconds,
    cost: milliseconds + serviceMilliseconds * tieBreakSlots / slots,
  };
}

/** Removes a random replica, weighted by capacity, and returns it. */
function drawByCapacity(
  replicas: RatedReplica[],
  random: Random,
): RatedReplica {
  const total = replicas.reduce((sum, { capacity }) => sum + capacity, 0);
  let left = random() * total;
  const index = replicas.findIndex(({ capacity }) => (left -= capacity) < 0);
  return replicas.splice(index < 0 ? 0 : index, 1)[0];
}
