import type { TimerService } from "../../time/mod.ts";

/**
 * Share of the link's bandwidth available to requests and responses. The rest
 * is for traffic between entries, retransmissions and packet headers.
 */
const USABLE_SHARE = 0.8;
const BITS_PER_BYTE = 8;
/** Bits that a link of one megabit per second carries in a millisecond. */
const BITS_PER_MEGABIT_MILLISECOND = 1_000;

/**
 * Estimates the backlog of this entry's uplink. On a link of a few megabits per
 * second, sending a burst of prompts takes longer than the engines need to
 * prefill it.
 *
 * The estimate is derived from the bytes sent, since the kernel does not report
 * the backlog.
 */
export class LinkBacklog {
  readonly #timer: TimerService;
  readonly #bytesPerMillisecond: number;
  #drainedAt = -Infinity;

  /** Without a link speed, the backlog is always zero. */
  constructor(timer: TimerService, megabitsPerSecond: number | undefined) {
    this.#timer = timer;
    this.#bytesPerMillisecond = megabitsPerSecond === undefined
      ? Infinity
      : USABLE_SHARE * megabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND /
        BITS_PER_BYTE;
  }

  /** Records bytes that were handed to the link. */
  recordSent(bytes: number): void {
    const now = this.#timer.now();
    this.#drainedAt = Math.max(now, this.#drainedAt) +
      this.transmissionMilliseconds(bytes);
  }

  /** Time until all bytes sent so far have left. */
  get waitMilliseconds(): number {
    return Math.max(0, this.#drainedAt - this.#timer.now());
  }

  /** Time that the link needs to carry this many bytes. */
  transmissionMilliseconds(bytes: number): number {
    return bytes / this.#bytesPerMillisecond;
  }
}
