import type { Random } from "../random/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";

export interface CheckpointWriterOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Number of records after which a new checkpoint is due. */
  readonly recordInterval: number;
  /**
   * Time after which a new checkpoint is due, regardless of the number of
   * records.
   */
  readonly intervalMilliseconds: number;
  readonly position: () => number;
  /** False if this process must not write a checkpoint now. */
  readonly canWrite: () => boolean;
  readonly write: () => Promise<void>;
}

const CHECK_INTERVAL_MILLISECONDS = 1_000;
/**
 * Window over which the processes of a region spread their first attempt.
 * Without it, 40 entries that all find a checkpoint due in the same second put
 * 40 copies of the whole state on the log. The window is 20 times the usual
 * append latency, so two rarely write at the same time; two copies of the same
 * state are harmless.
 */
const MAX_WRITE_DELAY_MILLISECONDS = 10_000;

/**
 * Writes checkpoints of the state well before its records expire. Any process
 * may write one: the process whose random delay ends first does, and the others
 * see its record and skip theirs. Without checkpoints, the last publication or
 * claim expires, and a starting process finds nothing while running ones still
 * have the state.
 */
export class CheckpointWriter {
  readonly #options: CheckpointWriterOptions;
  #lastUpTo = -1;
  #lastCheckpointAt: number;
  #checkTimer: Subscription | undefined;
  #pendingWrite: Subscription | undefined;

  constructor(options: CheckpointWriterOptions) {
    this.#options = options;
    this.#lastCheckpointAt = options.timer.now();
  }

  start(): void {
    this.#lastCheckpointAt = this.#options.timer.now();
    this.#checkTimer = this.#options.timer.every(
      CHECK_INTERVAL_MILLISECONDS,
      () => this.#scheduleIfDue(),
    );
  }

  stop(): void {
    this.#checkTimer?.cancel();
    this.#pendingWrite?.cancel();
  }

  /** A checkpoint of any process has been read. */
  observe(upTo: number): void {
    if (upTo < this.#lastUpTo) return;
    this.#lastUpTo = upTo;
    this.#lastCheckpointAt = this.#options.timer.now();
  }

  #scheduleIfDue(): void {
    if (this.#pendingWrite !== undefined || !this.#mayWrite()) return;
    this.#pendingWrite = this.#options.timer.after(
      this.#options.random() * MAX_WRITE_DELAY_MILLISECONDS,
      () => this.#write(),
    );
  }

  #mayWrite(): boolean {
    return this.#isDue() && this.#options.canWrite();
  }

  #isDue(): boolean {
    const position = this.#options.position();
    if (position < 0) return false;
    if (position - this.#lastUpTo >= this.#options.recordInterval) return true;
    const age = this.#options.timer.now() - this.#lastCheckpointAt;
    return age >= this.#options.intervalMilliseconds;
  }

  async #write(): Promise<void> {
    if (this.#mayWrite()) await this.#options.write();
    this.#pendingWrite = undefined;
  }
}
