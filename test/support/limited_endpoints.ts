import type { SentAttempt } from "./forwarding_harness.ts";
import type { EntryFleet } from "./entry_fleet.ts";
import {
  allowedArrivals,
  countArrivals,
  type LimitSpan,
  REACTION_MILLISECONDS,
  SETTLING_MILLISECONDS,
} from "./limit_allowance.ts";

interface LimitedArrival {
  readonly at: number;
  /** True if its entry must know of the limit. */
  readonly counts: boolean;
}

/** Arrivals in the window that exceeds its allowance the most. */
export interface WorstWindow {
  readonly until: number;
  readonly arrivals: number;
  readonly allowed: number;
}

export interface LimitedEndpointsOptions {
  /** Time that an endpoint works on a request before it responds. */
  readonly workMilliseconds?: number;
}

/**
 * Endpoints of a fleet that name request limits in their responses. Counts what
 * arrives there from all entries together.
 */
export class LimitedEndpoints {
  readonly #fleet: EntryFleet;
  readonly #workMilliseconds: number;
  readonly #limits = new Map<string, LimitSpan[]>();
  readonly #arrivals = new Map<string, LimitedArrival[]>();
  /** When each entry first passed on an endpoint's limit. */
  readonly #passedOnAt = new Map<string, number>();
  /** Number of runs whose prompt no other engine had prefilled. */
  prefillsAtDecodeEngines = 0;
  /** Number of arrivals by endpoint. */
  readonly arrivalCounts = new Map<string, number>();

  constructor(fleet: EntryFleet, options: LimitedEndpointsOptions = {}) {
    this.#fleet = fleet;
    this.#workMilliseconds = options.workMilliseconds ?? 20;
    fleet.onSend = (attempt) => this.#serve(attempt);
  }

  /** Names this limit in all responses from now on; undefined: none. */
  setLimit(endpoint: string, requestsPerSecond: number | undefined): void {
    const spans = this.#limits.get(endpoint) ?? [];
    this.#limits.set(endpoint, spans);
    spans.push({ from: this.#fleet.timer.now(), requestsPerSecond });
  }

  /** The window with the most arrivals relative to its allowance. */
  worstWindow(endpoint: string): WorstWindow {
    const limitedFrom = this.#limits.get(endpoint)?.[0].from ?? Infinity;
    const spans = this.#limits.get(endpoint) ?? [];
    const times = (this.#arrivals.get(endpoint) ?? [])
      .filter(({ counts }) => counts).map(({ at }) => at);
    let worst: WorstWindow = { until: 0, arrivals: 0, allowed: Infinity };
    for (const at of times) {
      if (at < limitedFrom + SETTLING_MILLISECONDS) continue;
      const count = countArrivals(times, at);
      const allowed = allowedArrivals(spans, at);
      if (count / allowed < worst.arrivals / worst.allowed) {
        continue;
      }
      worst = { until: at, arrivals: count, allowed };
    }
    return worst;
  }

  #limitOf(endpoint: string): number | undefined {
    return this.#limits.get(endpoint)?.at(-1)?.requestsPerSecond;
  }

  #serve(attempt: SentAttempt): void {
    const { timer } = this.#fleet;
    const endpoint = String(attempt.options.endpoint);
    const key = `${attempt.entry} ${endpoint}`;
    const passedOnAt = this.#passedOnAt.get(key) ?? Infinity;
    const arrivals = this.#arrivals.get(endpoint) ?? [];
    this.#arrivals.set(endpoint, arrivals);
    arrivals.push({
      at: timer.now(),
      counts: timer.now() >= passedOnAt + REACTION_MILLISECONDS,
    });
    const { options, request } = attempt;
    const isPrefilled = options.prefillOnly === true ||
      options.prefilledPrompt !== undefined;
    if (request.prompt !== undefined && !isPrefilled) {
      this.prefillsAtDecodeEngines += 1;
    }
    this.arrivalCounts.set(
      endpoint,
      (this.arrivalCounts.get(endpoint) ?? 0) + 1,
    );
    timer.after(this.#workMilliseconds, () => {
      const requestsPerSecondLimit = this.#limitOf(endpoint);
      const isFirst = requestsPerSecondLimit !== undefined &&
        !this.#passedOnAt.has(key);
      if (isFirst) this.#passedOnAt.set(key, timer.now());
      const body = attempt.options.prefillOnly ? "handle" : "done";
      void attempt.respond(body, { requestsPerSecondLimit });
    });
  }
}
