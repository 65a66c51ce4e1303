import type { TimerService } from "../../time/mod.ts";

/**
 * Time in which what was counted fades to a third. Load: a burst that begins
 * from one moment to the next. Harm prevented: until the burst shows, prompts
 * are held that nothing will be left for. Limit: of 2,100 callers of a played
 * overload 105, 78, 45 and 25 were refused later than a tenth of a second with
 * 700, 400, 250 and 150 ms, and 1,316, 1,331, 1,362 and 1,491 answered on time.
 */
const MEMORY_MILLISECONDS = 150;

/** How much work is begun per millisecond, of late. */
export class WorkRate {
  readonly #timer: TimerService;
  #sum = 0;
  #at = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#at = timer.now();
  }

  /** Work that was just begun, milliseconds of an engine. */
  begun(milliseconds: number): void {
    this.#fade();
    this.#sum += milliseconds;
  }

  /** Engines that the work of late keeps busy. */
  get busyEngines(): number {
    this.#fade();
    return this.#sum / MEMORY_MILLISECONDS;
  }

  #fade(): void {
    const now = this.#timer.now();
    this.#sum *= Math.exp((this.#at - now) / MEMORY_MILLISECONDS);
    this.#at = now;
  }
}
