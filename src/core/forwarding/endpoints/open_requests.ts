import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { FleetLoad } from "./fleet_load.ts";

/**
 * Time constant of the mean of other entries' open requests. Reports of peers
 * arrive 120 to 600 ms apart, so that it covers several of them.
 */
const MEAN_MILLISECONDS = 1_000;

interface OthersMean {
  requests: number;
  at: number;
}

export interface OpenRequestsOptions {
  readonly timer: TimerService;
  readonly load: FleetLoad;
  /** True if peers report too infrequently for the present load to be known. */
  readonly isLoadStale: () => boolean;
}

/**
 * Open requests at the endpoints of plain services. Their requests take some
 * tens of milliseconds, less than reports of peers are old in a large fleet.
 * What was open then says no more about the present than the mean does, but all
 * entries would choose the replica that was idle in the same report.
 */
export class OpenRequests {
  readonly #options: OpenRequestsOptions;
  readonly #others = new Map<EndpointId, OthersMean>();

  constructor(options: OpenRequestsOptions) {
    this.#options = options;
  }

  /** Expected number of all entries' open requests at the endpoint. */
  at(endpoint: EndpointId): number {
    const { isLoadStale, load } = this.#options;
    const total = load.total(endpoint).requests;
    const isKnown = load.hasOwnerReport(endpoint) || !isLoadStale();
    if (isKnown) return total;
    const own = load.own(endpoint).requests;
    return own + this.#meanOfOthers(endpoint, total - own);
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#others.delete(id);
  }

  #meanOfOthers(endpoint: EndpointId, latest: number): number {
    const now = this.#options.timer.now();
    const mean = this.#others.get(endpoint);
    if (mean === undefined) {
      this.#others.set(endpoint, { requests: latest, at: now });
      return latest;
    }
    const weight = 1 - Math.exp((mean.at - now) / MEAN_MILLISECONDS);
    mean.requests += weight * (latest - mean.requests);
    mean.at = now;
    return mean.requests;
  }
}
