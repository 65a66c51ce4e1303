/** The current policy and the baselines that it is compared with. */
import { ok, type Result } from "neverthrow";
import { type EndpointId, identifier } from "../src/core/identity/mod.ts";
import type { Refusal, RequestProfile } from "../src/core/requests/mod.ts";
import {
  costBasedPolicy,
  forecastPolicy,
  staticPolicy,
  thresholdPolicy,
} from "../src/core/roles/mod.ts";
import {
  BASELINE_POLICY,
  type Placement,
  type PoolDemand,
  type Scheduler,
  type WaitingRequest,
} from "../src/core/scheduling/mod.ts";
import type { Inventory } from "../src/generated/inventory.ts";
import type { SideReport } from "../src/generated/messages.ts";
import type { Variant } from "./load_run.ts";

/**
 * Places each request immediately at the endpoint with the fewest requests in
 * flight from this entry; never refuses or queues a request.
 */
class LeastInFlightScheduler implements Scheduler {
  readonly #pools = new Map<string, Map<EndpointId, number>>();
  readonly #unusable = new Set<string>();
  readonly waiting = 0;
  running = 0;

  configure(inventory: Inventory): void {
    for (const pool of inventory.pools) {
      this.#pools.set(
        pool.name,
        new Map(pool.endpoints.map((listed) => [identifier(listed.id), 0])),
      );
    }
  }

  submit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    const inFlight = this.#pools.get(profile.pool) as Map<EndpointId, number>;
    let leastLoaded: EndpointId | undefined;
    let minInFlight = Infinity;
    for (const [endpoint, count] of inFlight) {
      if (count >= minInFlight || this.#unusable.has(endpoint)) continue;
      if (profile.excluded.has(endpoint)) continue;
      leastLoaded = endpoint;
      minInFlight = count;
    }
    const endpoint = leastLoaded ?? [...inFlight.keys()][0];
    inFlight.set(endpoint, (inFlight.get(endpoint) ?? 0) + 1);
    this.running += 1;
    let released = false;
    const placement: Placement = {
      endpoint,
      priority: 0,
      release: () => {
        if (released) return;
        released = true;
        this.running -= 1;
        inFlight.set(endpoint, (inFlight.get(endpoint) ?? 1) - 1);
      },
    };
    return ok({ placed: Promise.resolve(ok(placement)), cancel() {} });
  }

  resubmit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    return this.submit(profile);
  }

  report(report: SideReport): void {
    if (report.state === "serving") this.#unusable.delete(report.endpoint);
    else this.#unusable.add(report.endpoint);
  }

  suspect(): void {}
  cacheEvent(): void {}
  loopDelay(): void {}
  demand(): readonly PoolDemand[] {
    return [];
  }
}

export const CURRENT: Variant = {
  name: "present",
  roles: () => costBasedPolicy(),
};

export const LEAST_IN_FLIGHT: Variant = {
  name: "fifo",
  makeScheduler: () => new LeastInFlightScheduler(),
  fifo: true,
  roles: staticPolicy,
};

export const STATIC_ROLES: Variant = { name: "static", roles: staticPolicy };

export const BASELINE_SCHEDULING: Variant = {
  name: "first",
  scheduling: BASELINE_POLICY,
  roles: () => costBasedPolicy(),
};

export const THRESHOLD_ROLES: Variant = {
  name: "threshold",
  roles: () => thresholdPolicy(),
};

export const FORECAST_ROLES: Variant = {
  name: "forecast",
  roles: () => forecastPolicy(),
};
