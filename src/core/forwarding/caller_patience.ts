import type { TimerService } from "../time/mod.ts";

/** How long the longest deadline of a route is remembered. */
const MEMORY_MILLISECONDS = 30_000;
/** Differences below this are jitter on the way, not an earlier attempt. */
const LEAST_WAIT_MILLISECONDS = 20;

interface Longest {
  readonly deadlineMilliseconds: number;
  readonly at: number;
}

/**
 * How long a caller has waited before this attempt. A caller that was refused
 * comes back with what is left of its time, so that its deadline is shorter
 * than the longest that the route's callers have. Load: refused callers that
 * return into the same overload. Harm prevented: their answers are late
 * anyhow, counted from their first attempt, and would take the engines' time
 * from callers who can still be answered on time.
 */
export class CallerPatience {
  readonly #timer: TimerService;
  readonly #longest = new Map<string, Longest>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Time that the caller has waited already, milliseconds. */
  waited(route: string, deadlineMilliseconds: number | undefined): number {
    if (deadlineMilliseconds === undefined) return 0;
    const now = this.#timer.now();
    const known = this.#longest.get(route);
    const isLongest = known === undefined ||
      deadlineMilliseconds >= known.deadlineMilliseconds ||
      now - known.at > MEMORY_MILLISECONDS;
    if (isLongest) {
      this.#longest.set(route, { deadlineMilliseconds, at: now });
      return 0;
    }
    const waited = known.deadlineMilliseconds - deadlineMilliseconds;
    return waited < LEAST_WAIT_MILLISECONDS ? 0 : waited;
  }
}
