import type { TimerService } from "../../time/mod.ts";

/**
 * Time in which what was counted fades to a third. A burst has to show early:
 * prompts would be held that nothing will be left for.
 */
const DECAY_MILLISECONDS = 150;

/** How much work is begun per millisecond, of late. */
export class WorkRate {
  readonly #timer: TimerService;
  #decayedWork = 0;
  #decayedAt = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#decayedAt = timer.now();
  }

  /** Work that was just begun, milliseconds of an engine. */
  begun(milliseconds: number): void {
    this.#decay();
    this.#decayedWork += milliseconds;
  }

  /** Engines that the work of late keeps busy. */
  get busyEngines(): number {
    this.#decay();
    return this.#decayedWork / DECAY_MILLISECONDS;
  }

  #decay(): void {
    const now = this.#timer.now();
    this.#decayedWork *= Math.exp((this.#decayedAt - now) / DECAY_MILLISECONDS);
    this.#decayedAt = now;
  }
}
