import type { EndpointId, ProcessId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Lowest rate at which permits are issued. An endpoint with a limit of 0 still
 * gets a request now and then; without one, its entries would never learn that
 * the limit has ended.
 */
export const MIN_REQUESTS_PER_SECOND = 0.25;
/** Unused permits that accumulate for an endpoint: seconds of its limit. */
const BURST_SECONDS = 0.2;
/** And this number at least, or entries would ask too late for the few. */
const MIN_BURST = 2;
/**
 * Time for which an issuer gives out only a part of the limit after it was not
 * asked for as long. Entries take this long to agree that the issuer before it
 * has ended; until then both may give out permits.
 */
const TAKEOVER_MILLISECONDS = 2_000;
const TAKEOVER_SHARE = 0.5;
/**
 * Bounds of the time after which an entry with unmet demand may ask again. It
 * asks twice as often as it can expect permits, so that few remain unused.
 */
const MIN_RETRY_MILLISECONDS = 20;
const MAX_RETRY_MILLISECONDS = 1_000;
const ASKS_PER_PERMIT = 2;
/** Time that an entry may be late with asking again; its demand counts on. */
const RETRY_GRACE_MILLISECONDS = 150;
const MILLISECONDS_PER_SECOND = 1_000;

/** Number of requests by rank; 0 is the most urgent. */
export type PermitDemand = readonly (readonly [rank: number, count: number])[];

/** An entry's request for permits at one endpoint. */
export interface PermitRequest {
  readonly entry: ProcessId;
  /** Requests to which the entry would give a permit now. */
  readonly wanted: PermitDemand;
  /**
   * Requests at the entry that wait because no other endpoint accepts them.
   * Permits are kept back for them from less urgent requests of other entries.
   */
  readonly waiting: PermitDemand;
  /** Limit of the endpoint, in requests per second. */
  readonly requestsPerSecond: number;
  /** Share of the limit that this issuer may give out, 0 to 1. */
  readonly share: number;
}

export interface PermitAnswer {
  /** Permits issued, for the most urgent of the wanted ones. */
  readonly granted: number;
  /** Time after which the entry may ask for the others, in milliseconds. */
  readonly retryMilliseconds: number;
  /** Rate at which the entry can expect permits meanwhile, per second. */
  readonly expectedPerSecond: number;
}

/** Demand of an entry that has not got all of the permits it wanted. */
interface UnmetDemand extends Pick<PermitRequest, "waiting" | "wanted"> {
  readonly until: number;
}

interface Bucket {
  /** When the issuer was first asked after a pause. */
  startedAt: number;
  permits: number;
  updatedAt: number;
  /** Unmet demand by entry. */
  readonly unmet: Map<ProcessId, UnmetDemand>;
}

/**
 * Issues the permits for an endpoint's request limit to all entries. Each
 * permit is for one request and comes from one token bucket, so that the
 * requests of all entries together stay within the limit whatever their number
 * and traffic.
 */
export class PermitIssuer {
  readonly #timer: TimerService;
  readonly #buckets = new Map<EndpointId, Bucket>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Issues as many of the wanted permits as there are. */
  issue(endpoint: EndpointId, request: PermitRequest): PermitAnswer {
    const bucket = this.#bucketOf(endpoint);
    const rate = this.#refill(bucket, request);
    this.#dropExpired(bucket);
    bucket.unmet.delete(request.entry);
    const granted = grantByRank(bucket, request.wanted);
    const expectedPerSecond = rate * demandShare(bucket, request);
    const retryMilliseconds = Math.min(
      MAX_RETRY_MILLISECONDS,
      Math.max(
        MIN_RETRY_MILLISECONDS,
        MILLISECONDS_PER_SECOND / (ASKS_PER_PERMIT * expectedPerSecond),
      ),
    );
    if (granted < countOf(request.wanted)) {
      bucket.unmet.set(request.entry, {
        until: this.#timer.now() + retryMilliseconds + RETRY_GRACE_MILLISECONDS,
        waiting: request.waiting,
        wanted: request.wanted,
      });
    }
    return { granted, retryMilliseconds, expectedPerSecond };
  }

  /** Discards the permits of an endpoint whose run is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#buckets.delete(id);
  }

  /** Adds the permits since the last request; returns the current rate. */
  #refill(
    bucket: Bucket,
    { requestsPerSecond, share }: PermitRequest,
  ): number {
    const now = this.#timer.now();
    if (now - bucket.updatedAt > TAKEOVER_MILLISECONDS) bucket.startedAt = now;
    const isTakeover = now - bucket.startedAt < TAKEOVER_MILLISECONDS;
    const rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) * share *
      (isTakeover ? TAKEOVER_SHARE : 1);
    const added = rate * (now - bucket.updatedAt) / MILLISECONDS_PER_SECOND;
    const capacity = Math.max(MIN_BURST, BURST_SECONDS * rate);
    bucket.permits = Math.min(capacity, bucket.permits + added);
    bucket.updatedAt = now;
    return rate;
  }

  #dropExpired({ unmet }: Bucket): void {
    for (const [entry, { until }] of unmet) {
      if (until < this.#timer.now()) unmet.delete(entry);
    }
  }

  #bucketOf(endpoint: EndpointId): Bucket {
    let bucket = this.#buckets.get(endpoint);
    if (bucket === undefined) {
      const now = this.#timer.now();
      bucket = { startedAt: now, permits: 0, updatedAt: now, unmet: new Map() };
      this.#buckets.set(endpoint, bucket);
    }
    return bucket;
  }
}

/** Issues permits to the most urgent first; returns their number. */
function grantByRank(bucket: Bucket, wanted: PermitDemand): number {
  let granted = 0;
  for (const [rank, count] of sortByRank(wanted)) {
    const available = Math.floor(bucket.permits) -
      countMoreUrgent(bucket, rank);
    const issued = Math.max(0, Math.min(count, available));
    bucket.permits -= issued;
    granted += issued;
  }
  return granted;
}

/** Waiting requests of other entries that are more urgent than the rank. */
function countMoreUrgent({ unmet }: Bucket, rank: number): number {
  let sum = 0;
  for (const { waiting } of unmet.values()) {
    sum += countOf(waiting.filter(([each]) => each < rank));
  }
  return sum;
}

/**
 * Share of an entry in the unmet demand of all entries, 0 to 1, without what is
 * less urgent than its own.
 */
function demandShare(
  { unmet }: Bucket,
  request: Pick<PermitRequest, "waiting" | "wanted">,
): number {
  const rank = Math.min(...request.wanted.map(([each]) => each));
  const own = weightOf(request, rank);
  let sum = own;
  for (const other of unmet.values()) sum += weightOf(other, rank);
  return own / sum;
}

/** An entry without waiting requests still has one that wants a permit. */
function weightOf(
  { waiting, wanted }: Pick<PermitRequest, "waiting" | "wanted">,
  mostRank: number,
): number {
  const isCounted = ([rank]: PermitDemand[number]) => rank <= mostRank;
  const least = wanted.some(isCounted) ? 1 : 0;
  return Math.max(least, countOf(waiting.filter(isCounted)));
}

function countOf(demand: PermitDemand): number {
  return demand.reduce((sum, [, count]) => sum + count, 0);
}

function sortByRank(demand: PermitDemand): PermitDemand {
  return [...demand].sort(([one], [other]) => one - other);
}
