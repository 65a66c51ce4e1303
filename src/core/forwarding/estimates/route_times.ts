import type { TimerService } from "../../time/mod.ts";

/**
 * Number of the most recent times of a route that count. The longest of them is
 * exceeded by the next one in 1 of 64 cases.
 */
const MAX_SAMPLES = 64;
/** Number of samples from which the longest one is nearly the longest time. */
const MIN_RELIABLE_SAMPLES = 16;
const MARGIN_FACTOR = 1.25;
const UNRELIABLE_MARGIN_FACTOR = 2;
/** Number of routes that are remembered, the last used ones. */
const MAX_ROUTES = 1_000;

/** What is measured from its send to the end of the response. */
export type SendStep = "prefill" | "run";

/** Measures one send until the end of its response. */
export interface RouteTimeHandle {
  /** Records the time: the response has ended or has taken this long. */
  end(): void;
  /** Ends without a record, as the time says nothing about the work. */
  cancel(): void;
}

interface RouteSamples {
  readonly recent: number[];
  /** When the sends began that are still open. */
  readonly open: Set<{ readonly startedAt: number }>;
}

/** Times from the send of a request to the end of its response, by route. */
export class RouteTimes {
  readonly #timer: TimerService;
  readonly #routes = new Map<string, RouteSamples>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Starts to measure a send of a request of the route. */
  start(route: string, step: SendStep): RouteTimeHandle {
    const { open, recent } = this.#samplesOf(`${step} ${route}`);
    const send = { startedAt: this.#timer.now() };
    open.add(send);
    return {
      end: () => {
        if (!open.delete(send)) return;
        recent.push(this.#timer.now() - send.startedAt);
        if (recent.length > MAX_SAMPLES) recent.shift();
      },
      cancel: () => {
        open.delete(send);
      },
    };
  }

  /**
   * Time in milliseconds within which the next request of the route very likely
   * ends, by its recent and its open ones; undefined if none has ended.
   */
  upperMilliseconds(route: string, step: SendStep): number | undefined {
    const samples = this.#routes.get(`${step} ${route}`);
    if (samples === undefined || samples.recent.length === 0) return undefined;
    const now = this.#timer.now();
    const open = [...samples.open].map(({ startedAt }) => now - startedAt);
    const factor = samples.recent.length < MIN_RELIABLE_SAMPLES
      ? UNRELIABLE_MARGIN_FACTOR
      : MARGIN_FACTOR;
    return factor * Math.max(...samples.recent, ...open);
  }

  #samplesOf(key: string): RouteSamples {
    const samples = this.#routes.get(key) ?? { recent: [], open: new Set() };
    this.#routes.delete(key);
    this.#routes.set(key, samples);
    if (this.#routes.size > MAX_ROUTES) {
      const [oldest] = this.#routes.keys();
      this.#routes.delete(oldest);
    }
    return samples;
  }
}
