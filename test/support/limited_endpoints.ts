import type { SentAttempt } from "./forwarding_harness.ts";
import type { EntryFleet } from "./entry_fleet.ts";

/** Window in which arrivals at a limited endpoint are counted. */
const WINDOW_MILLISECONDS = 4_000;
/** Arrivals in a window that are allowed: this share of the limit, and more. */
const TOLERATED_SHARE = 1.5;
const TOLERATED_ARRIVALS = 5;
/** Time after its first naming from which a limit holds. */
const SETTLING_MILLISECONDS = 3_000;
/** Time after which an entry that has passed on a limit must keep to it. */
const REACTION_MILLISECONDS = 500;

interface LimitedArrival {
  readonly at: number;
  /** True if its entry must know of the limit. */
  readonly counts: boolean;
}

/** Limit that an endpoint names from a time on; undefined: none. */
interface LimitSpan {
  readonly from: number;
  readonly requestsPerSecond: number | undefined;
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
    const arrivals = (this.#arrivals.get(endpoint) ?? [])
      .filter(({ counts }) => counts);
    let worst: WorstWindow = { until: 0, arrivals: 0, allowed: Infinity };
    for (const { at } of arrivals) {
      if (at < limitedFrom + SETTLING_MILLISECONDS) continue;
      const count = arrivals.filter((each) =>
        each.at > at - WINDOW_MILLISECONDS && each.at <= at
      ).length;
      const allowed = this.#allowedUntil(endpoint, at);
      if (count / allowed < worst.arrivals / worst.allowed) {
        continue;
      }
      worst = { until: at, arrivals: count, allowed };
    }
    return worst;
  }

  #allowedUntil(endpoint: string, until: number): number {
    const spans = this.#limits.get(endpoint) ?? [];
    let requests = 0;
    for (const [index, { from, requestsPerSecond }] of spans.entries()) {
      const start = index === 0 ? -Infinity : from;
      const end = spans.at(index + 1)?.from ?? Infinity;
      const overlap = Math.min(end, until) -
        Math.max(start, until - WINDOW_MILLISECONDS);
      if (overlap <= 0) continue;
      requests += (requestsPerSecond ?? Infinity) * overlap / 1_000;
    }
    return TOLERATED_SHARE * requests + TOLERATED_ARRIVALS;
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
