import type { TimerService } from "../../time/mod.ts";

/**
 * Time constant of the decay. It is short so that a burst shows before prompts
 * are held for which no engine time will be left.
 */
const DECAY_MILLISECONDS = 150;

/** Recent rate at which prefill work is started. */
export class WorkRate {
  readonly #timer: TimerService;
  #decayedWork = 0;
  #decayedAt = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#decayedAt = timer.now();
  }

  /** Records started work, in milliseconds of one engine. */
  recordStarted(milliseconds: number): void {
    this.#decay();
    this.#decayedWork += milliseconds;
  }

  /** Number of engines that the recent work keeps busy. */
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
