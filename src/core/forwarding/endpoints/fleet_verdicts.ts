import type { EndpointId, ProcessId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Maximum share of the endpoints to choose from that is taken out. The others
 * must be able to take over the work.
 */
const MAX_TAKEN_OUT_SHARE = 1 / 3;

/** An owner's verdict that an endpoint gets no new work. */
export interface FleetVerdict {
  readonly owner: ProcessId;
  /** Time for which it holds without another message; 0 ends it. */
  readonly validMilliseconds: number;
  /** Share of failed attempts that led to it. */
  readonly failureRate: number;
}

interface VerdictInForce {
  readonly owner: ProcessId;
  readonly expiresAt: number;
  readonly failureRate: number;
}

/** Owners' verdicts on the endpoints that are in force at this entry. */
export class FleetVerdicts {
  readonly #timer: TimerService;
  readonly #verdicts = new Map<EndpointId, VerdictInForce>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Applies a verdict; only its own owner can end it early. */
  apply(endpoint: EndpointId, verdict: FleetVerdict): void {
    const { failureRate, owner, validMilliseconds } = verdict;
    if (validMilliseconds > 0) {
      const expiresAt = this.#timer.now() + validMilliseconds;
      this.#verdicts.set(endpoint, { owner, expiresAt, failureRate });
    } else if (this.#verdicts.get(endpoint)?.owner === owner) {
      this.#verdicts.delete(endpoint);
    }
  }

  /** True while a verdict on the endpoint is in force. */
  isTakenOut(endpoint: EndpointId): boolean {
    const verdict = this.#verdicts.get(endpoint);
    if (verdict === undefined) return false;
    if (this.#timer.now() < verdict.expiresAt) return true;
    this.#verdicts.delete(endpoint);
    return false;
  }

  /** Number of verdicts in force. */
  get size(): number {
    for (const endpoint of this.#verdicts.keys()) this.isTakenOut(endpoint);
    return this.#verdicts.size;
  }

  /**
   * Returns the endpoints without those that are taken out: at most a third,
   * those with the highest failure rate.
   */
  filterAdmitted<Endpoint extends { readonly id: EndpointId }>(
    endpoints: readonly Endpoint[],
  ): readonly Endpoint[] {
    if (this.#verdicts.size === 0) return endpoints;
    const takenOut = endpoints.filter(({ id }) => this.isTakenOut(id));
    if (takenOut.length === 0) return endpoints;
    const most = Math.floor(endpoints.length * MAX_TAKEN_OUT_SHARE);
    const excluded = new Set(
      takenOut.length <= most
        ? takenOut
        : takenOut.sort((one, other) =>
          this.#failureRate(other) - this.#failureRate(one)
        ).slice(0, most),
    );
    return endpoints.filter((endpoint) => !excluded.has(endpoint));
  }

  /** Discards the verdict, as the endpoint's run is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#verdicts.delete(id);
  }

  #failureRate({ id }: { readonly id: EndpointId }): number {
    return this.#verdicts.get(id)?.failureRate ?? 0;
  }
}
