/** Pieces below this size count; an event with an id and data is larger. */
const SMALL_PIECE_BYTES = 12;
/** Rate of small pieces at which a body may last. */
const MAX_PIECES_PER_SECOND = 4_096;
/** Small pieces beyond the rate, such as those that a stalled link held back. */
const MAX_PIECES_AT_ONCE = 4_096;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Bounds the small pieces of one body. Parsing one takes about 2 microseconds
 * whatever its size, so that a bound of bytes does not bound the work.
 */
export class SmallPieceBudget {
  #left = MAX_PIECES_AT_ONCE;
  #refilledAt: number;

  /** `now`: the time in milliseconds at which the body begins. */
  constructor(now: number) {
    this.#refilledAt = now;
  }

  /** Counts a piece; returns the value and the bound if it exceeds one. */
  spend(bytes: number, now: () => number): string | undefined {
    if (bytes >= SMALL_PIECE_BYTES) return undefined;
    this.#left -= 1;
    if (this.#left >= 0) return undefined;
    const time = now();
    const elapsed = time - this.#refilledAt;
    const refill = elapsed * MAX_PIECES_PER_SECOND / MILLISECONDS_PER_SECOND;
    this.#left = Math.min(MAX_PIECES_AT_ONCE, Math.floor(refill)) - 1;
    this.#refilledAt = time;
    if (this.#left >= 0) return undefined;
    return `over ${MAX_PIECES_AT_ONCE} pieces below ${SMALL_PIECE_BYTES} ` +
      `bytes in ${Math.round(elapsed)} ms, ` +
      `at most ${MAX_PIECES_PER_SECOND} a second`;
  }
}
