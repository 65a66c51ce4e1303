import type { TimerService } from "../../time/mod.ts";

/**
 * Share of the link that requests and answers may take. The rest is for what
 * entries tell each other, for what is sent again, and for packets' heads.
 */
const USABLE_SHARE = 0.8;
const BITS_PER_BYTE = 8;
/** Bits that a link of one megabit a second carries in a millisecond. */
const BITS_PER_MEGABIT_MILLISECOND = 1_000;

/**
 * How much of what this entry sends still waits for its link. On a link of a few
 * megabits a second a burst of prompts takes longer to leave than engines take to
 * read it.
 *
 * It is derived from what was sent, as the kernel does not report it.
 */
export class LinkQueue {
  readonly #timer: TimerService;
  readonly #bytesPerMillisecond: number;
  #freeAt = -Infinity;

  /** Without a speed the link counts as one that never fills. */
  constructor(timer: TimerService, megabitsPerSecond: number | undefined) {
    this.#timer = timer;
    this.#bytesPerMillisecond = megabitsPerSecond === undefined
      ? Infinity
      : USABLE_SHARE * megabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND /
        BITS_PER_BYTE;
  }

  /** So many bytes have been handed to the link. */
  sent(bytes: number): void {
    const now = this.#timer.now();
    this.#freeAt = Math.max(now, this.#freeAt) + this.carryMilliseconds(bytes);
  }

  /** Time until what was sent has left. */
  get waitMilliseconds(): number {
    return Math.max(0, this.#freeAt - this.#timer.now());
  }

  /** Time that the link needs for so many bytes. */
  carryMilliseconds(bytes: number): number {
    return bytes / this.#bytesPerMillisecond;
  }
}
