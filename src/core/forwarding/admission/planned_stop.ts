import type { TimerService } from "../../time/mod.ts";

/** Options of a `PlannedStop`. */
export interface PlannedStopOptions {
  readonly timer: TimerService;
  /** Time from the request to stop to the kill, as configured now. */
  readonly graceMilliseconds: () => number;
}

/** The planned stop of an entry, from the request to stop to its end. */
export class PlannedStop {
  readonly #options: PlannedStopOptions;
  #requestedAt: number | undefined;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  /** Starts the stop; later calls have no effect. */
  request(): void {
    this.#requestedAt ??= this.#options.timer.now();
  }

  /** The grace period in force, in milliseconds. */
  get graceMilliseconds(): number {
    return this.#options.graceMilliseconds();
  }

  /**
   * Time from the request to stop to this moment, in milliseconds; negative for
   * a moment before it, undefined if no stop was requested.
   */
  sinceRequest(moment: number): number | undefined {
    if (this.#requestedAt === undefined) return undefined;
    return moment - this.#requestedAt;
  }
}
