import type { ProcessId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Age above which a sample of a peer's clock is discarded. */
const MAX_SAMPLE_AGE_MILLISECONDS = 5_000;
/** Interval at which the median of the clocks is computed. */
const MEDIAN_INTERVAL_MILLISECONDS = 100;

interface ClockSample {
  /** The peer's wall clock minus this process's monotonic clock. */
  readonly offset: number;
  readonly at: number;
}

/**
 * Estimates the true time as the median of the fleet's wall clocks, so that a
 * jump of one clock has no effect.
 */
export class FleetClock {
  readonly #timer: TimerService;
  readonly #samples = new Map<ProcessId, ClockSample>();
  #offset = 0;
  #offsetAt = -Infinity;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records the current wall clock of a peer, Unix milliseconds. */
  recordPeerClock(peer: ProcessId, wallClock: number): void {
    const at = this.#timer.now();
    this.#samples.set(peer, { offset: wallClock - at, at });
  }

  /** Converts a time of this process's monotonic clock to Unix milliseconds. */
  timeAt(at: number): number {
    return at + this.#currentOffset();
  }

  now(): number {
    return this.timeAt(this.#timer.now());
  }

  #currentOffset(): number {
    const now = this.#timer.now();
    if (now - this.#offsetAt >= MEDIAN_INTERVAL_MILLISECONDS) {
      this.#offset = this.#median(now);
      this.#offsetAt = now;
    }
    return this.#offset;
  }

  #median(now: number): number {
    const offsets = [this.#timer.wallClock() - now];
    for (const [peer, { at, offset }] of this.#samples) {
      if (now - at > MAX_SAMPLE_AGE_MILLISECONDS) this.#samples.delete(peer);
      else offsets.push(offset);
    }
    offsets.sort((left, right) => left - right);
    const middle = offsets.length >> 1;
    return offsets.length % 2 === 1
      ? offsets[middle]
      : (offsets[middle - 1] + offsets[middle]) / 2;
  }
}
