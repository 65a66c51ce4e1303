import type { EndpointId } from "../../identity/mod.ts";

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
    return before === after ? undefined : { before, after };
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
  }
}

function supersedes(next: LimitObservation, known: LimitObservation): boolean {
  if (next.sentAt >= known.receivedAt) return true;
  if (next.receivedAt <= known.sentAt) return false;
  const nextLimit = next.requestsPerSecond ?? Infinity;
  return nextLimit <= (known.requestsPerSecond ?? Infinity);
}
