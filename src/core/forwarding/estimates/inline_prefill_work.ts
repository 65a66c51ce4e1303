import type { TimerService } from "../../time/mod.ts";

/** Time constant of the decay; a few prompts of an entry with little load. */
const DECAY_MILLISECONDS = 2_000;
/** Size classes, each for twice the work of the one before; from 1 ms. */
const CLASSES = 8;

/**
 * Recent rate of the prefill work that decode engines could do inline, by the
 * size of the prompts.
 */
export class InlinePrefillWork {
  readonly #timer: TimerService;
  /** Decayed work by size class, milliseconds. */
  readonly #work = new Float64Array(CLASSES);
  #decayedAt: number;

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#decayedAt = timer.now();
  }

  /** Records a prompt whose inline prefill takes this long. */
  record(milliseconds: number): void {
    this.#decay();
    this.#work[sizeClass(milliseconds)] += milliseconds;
  }

  /**
   * Number of engines that are kept busy by the inline prefills of prompts up
   * to this size.
   */
  busyEngines(milliseconds: number): number {
    this.#decay();
    const last = sizeClass(milliseconds);
    let sum = 0;
    for (let each = 0; each <= last; each++) sum += this.#work[each];
    return sum / DECAY_MILLISECONDS;
  }

  #decay(): void {
    const now = this.#timer.now();
    if (now === this.#decayedAt) return;
    const factor = Math.exp((this.#decayedAt - now) / DECAY_MILLISECONDS);
    for (let each = 0; each < CLASSES; each++) this.#work[each] *= factor;
    this.#decayedAt = now;
  }
}

function sizeClass(milliseconds: number): number {
  const exponent = Math.floor(Math.log2(Math.max(1, milliseconds)));
  return Math.min(CLASSES - 1, exponent);
}
