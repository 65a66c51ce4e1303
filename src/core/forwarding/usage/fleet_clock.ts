import type { ProcessId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Age beyond which what a peer said of its clock no longer counts. */
const MOST_AGE_MILLISECONDS = 5_000;
/** How long the median of all clocks is used before it is taken again. */
const MEDIAN_MILLISECONDS = 100;

interface Sample {
  /** The peer's wall clock less this process's steady clock. */
  readonly offset: number;
  readonly at: number;
}

/**
 * True time, as most machines of the fleet have it: the median of their wall
 * clocks. One clock that jumps moves nothing.
 */
export class FleetClock {
  readonly #timer: TimerService;
  readonly #samples = new Map<ProcessId, Sample>();
  #offset = 0;
  #offsetAt = -Infinity;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** A peer's wall clock has just shown this, Unix milliseconds. */
  peerSaid(peer: ProcessId, wallClock: number): void {
    const at = this.#timer.now();
    this.#samples.set(peer, { offset: wallClock - at, at });
  }

  /** Unix milliseconds; `at` is a moment of this process's steady clock. */
  timeAt(at: number): number {
    return at + this.#currentOffset();
  }

  now(): number {
    return this.timeAt(this.#timer.now());
  }

  #currentOffset(): number {
    const now = this.#timer.now();
    if (now - this.#offsetAt >= MEDIAN_MILLISECONDS) {
      this.#offset = this.#median(now);
      this.#offsetAt = now;
    }
    return this.#offset;
  }

  #median(now: number): number {
    const offsets = [this.#timer.wallClock() - now];
    for (const [peer, { at, offset }] of this.#samples) {
      if (now - at > MOST_AGE_MILLISECONDS) this.#samples.delete(peer);
      else offsets.push(offset);
    }
    offsets.sort((one, other) => one - other);
    const middle = offsets.length >> 1;
    return offsets.length % 2 === 1
      ? offsets[middle]
      : (offsets[middle - 1] + offsets[middle]) / 2;
  }
}
