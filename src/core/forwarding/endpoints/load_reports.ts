import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import { WorkFactorStaleness } from "./work_factor_staleness.ts";

/** Load that an endpoint reports in a response. */
export interface EndpointLoadReport {
  /** Requests that it runs at the same time. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the endpoint's machine at this moment, relative to
   * usual; 1 is usual. Absent if the endpoint does not report it.
   */
  readonly workFactor?: number;
}

/** A load report and when it was made. */
export interface LoadObservation extends EndpointLoadReport {
  /** The endpoint wrote the report between these two times. */
  readonly sentAt: number;
  readonly receivedAt: number;
}

/** The work factor that is expected of an endpoint at present. */
export interface PredictedWorkFactor {
  readonly factor: number;
  /** Weight of the report by its age, 0 to 1; 0 without a report. */
  readonly weight: number;
  /** Time since the report was received; absent if there is none. */
  readonly ageMilliseconds?: number;
}

/**
 * Newest load report of each endpoint's run. Responses on different connections
 * overtake each other, so reports are ordered by the time of their requests.
 */
export class EndpointLoadReports {
  readonly #observations = new Map<EndpointId, LoadObservation>();
  /** Pools of which an endpoint has reported a work factor. */
  readonly #staleness = new Map<ServiceName, WorkFactorStaleness>();
  /** Endpoints whose newest report is from a response to this entry. */
  readonly #unreported = new Set<EndpointId>();
  readonly #isCapacityScarce: boolean;

  /**
   * `isCapacityScarce`: true if the settings say that callers compete for
   * capacity; all pools are then treated like those with work factors.
   */
  constructor(options: { readonly isCapacityScarce?: boolean } = {}) {
    this.#isCapacityScarce = options.isCapacityScarce === true;
  }

  /**
   * Records a report from a response to this entry; returns false if a newer
   * one is known.
   */
  record(
    endpoint: Pick<RegisteredEndpoint, "id" | "pool">,
    observation: LoadObservation,
  ): boolean {
    const isNewer = this.recordPeer(endpoint, observation);
    if (isNewer) this.#unreported.add(endpoint.id);
    return isNewer;
  }

  /** Records another entry's report; returns false if a newer one is known. */
  recordPeer(
    { id, pool }: Pick<RegisteredEndpoint, "id" | "pool">,
    observation: LoadObservation,
  ): boolean {
    const staleness = this.#stalenessOf(pool, observation);
    const known = this.#observations.get(id);
    if (known !== undefined) {
      const isSuperseded = observation.receivedAt - known.receivedAt <=
        (staleness?.usefulMilliseconds ?? Infinity);
      if (observation.sentAt < known.sentAt && isSuperseded) return false;
      this.#learn(staleness, { known, observation });
    }
    this.#observations.set(id, observation);
    this.#unreported.delete(id);
    return true;
  }

  /** The newest report, if it is one that the owner has not received yet. */
  unreported(endpoint: EndpointId): LoadObservation | undefined {
    return this.#unreported.has(endpoint)
      ? this.#observations.get(endpoint)
      : undefined;
  }

  /** Records that the endpoint's owner was sent the newest report. */
  markReported(endpoint: EndpointId): void {
    this.#unreported.delete(endpoint);
  }

  /** The newest report of the endpoint. */
  current(endpoint: EndpointId): LoadObservation | undefined {
    return this.#observations.get(endpoint);
  }

  /**
   * The endpoint's work factor at this time. It approaches 1 with the age of
   * the report, at the rate at which the pool's factors become stale.
   */
  predictWorkFactor(
    { id, pool }: Pick<RegisteredEndpoint, "id" | "pool">,
    now: number,
  ): PredictedWorkFactor {
    const observation = this.#observations.get(id);
    if (observation === undefined) return { factor: 1, weight: 0 };
    const ageMilliseconds = Math.max(0, now - observation.receivedAt);
    const { workFactor = 1 } = observation;
    const weight = this.#staleness.get(pool)?.weight(ageMilliseconds) ?? 0;
    return { factor: workFactor ** weight, weight, ageMilliseconds };
  }

  /**
   * True if the pool is served by its observed load: its endpoints report a
   * work factor, or capacity is scarce in the whole deployment.
   */
  isAdaptive(pool: ServiceName): boolean {
    return this.#isCapacityScarce || this.#staleness.has(pool);
  }

  /** Discards the report, as the run of the endpoint is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#observations.delete(id);
    this.#unreported.delete(id);
  }

  #stalenessOf(
    pool: ServiceName,
    { workFactor }: LoadObservation,
  ): WorkFactorStaleness | undefined {
    let staleness = this.#staleness.get(pool);
    if (staleness === undefined && workFactor !== undefined) {
      staleness = new WorkFactorStaleness();
      this.#staleness.set(pool, staleness);
    }
    return staleness;
  }

  #learn(
    staleness: WorkFactorStaleness | undefined,
    { known, observation }: {
      readonly known: LoadObservation;
      readonly observation: LoadObservation;
    },
  ): void {
    const milliseconds = observation.receivedAt - known.receivedAt;
    const isUsable = known.workFactor !== undefined &&
      observation.workFactor !== undefined && milliseconds > 0;
    if (!isUsable) return;
    staleness?.record({
      before: known.workFactor,
      after: observation.workFactor,
    }, milliseconds);
  }
}
