import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

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

/**
 * Newest load report of each endpoint's run. Responses on different connections
 * overtake each other, so reports are ordered by the time of their requests.
 */
export class EndpointLoadReports {
  readonly #observations = new Map<EndpointId, LoadObservation>();
  /** Pools of which an endpoint has reported a work factor. */
  readonly #poolsWithFactor = new Set<ServiceName>();
  readonly #isCapacityScarce: boolean;

  /**
   * `isCapacityScarce`: true if the settings say that callers compete for
   * capacity; all pools are then treated like those with work factors.
   */
  constructor(options: { readonly isCapacityScarce?: boolean } = {}) {
    this.#isCapacityScarce = options.isCapacityScarce === true;
  }

  /** Records a report; returns false if a newer one is known. */
  record(
    { id, pool }: Pick<RegisteredEndpoint, "id" | "pool">,
    observation: LoadObservation,
  ): boolean {
    if (observation.workFactor !== undefined) this.#poolsWithFactor.add(pool);
    const known = this.#observations.get(id);
    if (known !== undefined && observation.sentAt < known.sentAt) return false;
    this.#observations.set(id, observation);
    return true;
  }

  /** The newest report of the endpoint. */
  current(endpoint: EndpointId): LoadObservation | undefined {
    return this.#observations.get(endpoint);
  }

  /**
   * True if the pool is served by its observed load: its endpoints report a
   * work factor, or capacity is scarce in the whole deployment.
   */
  hasWorkFactor(pool: ServiceName): boolean {
    return this.#isCapacityScarce || this.#poolsWithFactor.has(pool);
  }

  /** Discards the report, as the run of the endpoint is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#observations.delete(id);
  }
}
