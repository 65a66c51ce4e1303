import type { EndpointId } from "../../identity/mod.ts";

/**
 * Relative change of a limit below which peers are not informed. Limits that
 * change with every response would otherwise fill the reports.
 */
const MIN_REPORTED_CHANGE = 0.1;

/** What one response of an endpoint said about its request limit. */
export interface LimitObservation {
  /**
   * Requests per second that the endpoint accepts from the whole fleet;
   * undefined if it names no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /** The endpoint wrote the response between these two times. */
  readonly sentAt: number;
  readonly receivedAt: number;
}

/** A change of the limit in force at an endpoint, in requests per second. */
export interface LimitChange {
  readonly before: number | undefined;
  readonly after: number | undefined;
}

/**
 * Request limits that endpoints name in their responses. Each is in force until
 * a later response names another one or none.
 *
 * Responses on different connections overtake each other. Where their order is
 * unknown, the stricter limit stays in force; the next response settles it.
 */
export class EndpointLimits {
  /** Last observation of each endpoint that has ever named a limit. */
  readonly #observations = new Map<EndpointId, LimitObservation>();
  /** Limit of each endpoint as last reported to peers, or by a peer. */
  readonly #reported = new Map<EndpointId, number>();
  /** Endpoints whose limit has changed since the last report to peers. */
  readonly #unreported = new Set<EndpointId>();

  /** Applies an observation; returns the change of the limit in force. */
  record(
    endpoint: EndpointId,
    observation: LimitObservation,
  ): LimitChange | undefined {
    const known = this.#observations.get(endpoint);
    const isUnlimited = observation.requestsPerSecond === undefined;
    if (known === undefined && isUnlimited) return undefined;
    if (known !== undefined && !supersedes(observation, known)) {
      return undefined;
    }
    this.#observations.set(endpoint, observation);
    const before = known?.requestsPerSecond;
    const after = observation.requestsPerSecond;
    this.#checkReported(endpoint);
    return before === after ? undefined : { before, after };
  }

  /** Applies an observation of a peer, which reports it to the others itself. */
  recordPeer(endpoint: EndpointId, observation: LimitObservation): void {
    const { requestsPerSecond = Infinity } = observation;
    this.#reported.set(endpoint, requestsPerSecond);
    this.record(endpoint, observation);
    this.#checkReported(endpoint);
  }

  /** Notes whether peers have to be informed of the limit. */
  #checkReported(endpoint: EndpointId): void {
    const reported = this.#reported.get(endpoint) ?? Infinity;
    const limit = this.requestsPerSecond(endpoint) ?? Infinity;
    if (isWorthReporting(reported, limit)) this.#unreported.add(endpoint);
    else this.#unreported.delete(endpoint);
  }

  /** Last observation of an endpoint that has ever named a limit. */
  observation(endpoint: EndpointId): LimitObservation | undefined {
    return this.#observations.get(endpoint);
  }

  /** True while changed limits wait to be reported to peers. */
  get hasUnreported(): boolean {
    return this.#unreported.size > 0;
  }

  /** Returns the limits that have changed since the last call. */
  takeUnreported(): ReadonlyMap<EndpointId, LimitObservation> {
    const changed = new Map<EndpointId, LimitObservation>();
    for (const endpoint of this.#unreported) {
      const observation = this.#observations.get(endpoint);
      if (observation === undefined) continue;
      const { requestsPerSecond = Infinity } = observation;
      this.#reported.set(endpoint, requestsPerSecond);
      changed.set(endpoint, observation);
    }
    this.#unreported.clear();
    return changed;
  }

  /** Last observation of each endpoint that has ever named a limit. */
  get observations(): Iterable<readonly [EndpointId, LimitObservation]> {
    return this.#observations;
  }

  /** True while no endpoint has ever named a limit. */
  get isEmpty(): boolean {
    return this.#observations.size === 0;
  }

  /** Limit in force, in requests per second; undefined if there is none. */
  requestsPerSecond(endpoint: EndpointId): number | undefined {
    return this.#observations.get(endpoint)?.requestsPerSecond;
  }

  /** Number of endpoints with a limit in force. */
  get size(): number {
    let count = 0;
    for (const { requestsPerSecond } of this.#observations.values()) {
      if (requestsPerSecond !== undefined) count += 1;
    }
    return count;
  }

  /** Discards the limit, as the run of the endpoint is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#observations.delete(id);
    this.#reported.delete(id);
    this.#unreported.delete(id);
  }
}

function isWorthReporting(before: number, after: number): boolean {
  if (before === after) return false;
  if (!Number.isFinite(before) || !Number.isFinite(after)) return true;
  return Math.abs(after - before) > MIN_REPORTED_CHANGE * before;
}

function supersedes(next: LimitObservation, known: LimitObservation): boolean {
  if (next.sentAt >= known.receivedAt) return true;
  if (next.receivedAt <= known.sentAt) return false;
  const nextLimit = next.requestsPerSecond ?? Infinity;
  return nextLimit <= (known.requestsPerSecond ?? Infinity);
}
