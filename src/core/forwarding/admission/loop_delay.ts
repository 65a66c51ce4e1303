/** Number of samples of which at least half have to be late. */
const SAMPLES = 3;

/**
 * Delay of the event loop that has lasted for several samples. A single late
 * sample, such as after a garbage collection, says nothing about the time that
 * requests will wait; a refusal because of it would be wrong.
 */
export class LoopDelay {
  readonly #samples: number[] = [];

  /** Records by how much a periodic timer was late, in milliseconds. */
  record(milliseconds: number): void {
    this.#samples.push(milliseconds);
    if (this.#samples.length > SAMPLES) this.#samples.shift();
  }

  /**
   * Median of the last samples, in milliseconds; 0 while there are too few.
   * `current` is the delay since the last sample, which counts as a sample once
   * it is longer than the oldest one.
   */
  lastingMilliseconds(current: number): number {
    if (this.#samples.length < SAMPLES) return 0;
    const [oldest, ...newer] = this.#samples;
    const samples = [...newer, Math.max(oldest, current)];
    samples.sort((one, other) => one - other);
    return samples[SAMPLES >> 1];
  }
}
