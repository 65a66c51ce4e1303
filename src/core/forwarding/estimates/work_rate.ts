import type { TimerService } from "../../time/mod.ts";

/**
 * Time in which what was counted fades to a third. A burst has to show early:
 * prompts would be held that nothing will be left for.
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
