import type { Random } from "../random/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";

export interface CheckpointWriterOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Records after which the state is written again. */
  readonly records: number;
  /** Time after which it is written again, however few the records. */
  readonly milliseconds: number;
  readonly position: () => number;
  /** False where this process must not write one now. */
  readonly ready: () => boolean;
  readonly write: () => Promise<void>;
}

const LOOK_EVERY_MILLISECONDS = 1_000;
/**
 * Window over which the processes of a region spread their first try. Load:
 * 40 entries that all notice in the same second that a checkpoint is due.
 * Harm prevented: 40 copies of the whole state on the log. The window is 20
 * times the usual way through the log, so two write at the same time seldom;
 * two copies of the same state are harmless.
 */
const SPREAD_MILLISECONDS = 10_000;

/**
 * Writes the state again well before its records expire. Any process may; the
 * one whose random wait ends first does, the others see its record and rest.
 * What goes wrong without it: the last publication or claim expires and a
 * starting process finds nothing, while the running ones still know it.
 */
export class CheckpointWriter {
  readonly #options: CheckpointWriterOptions;
  #lastUpTo = -1;
  #lastTime: number;
  #look: Subscription | undefined;
  #planned: Subscription | undefined;

  constructor(options: CheckpointWriterOptions) {
    this.#options = options;
    this.#lastTime = options.timer.now();
  }

  start(): void {
    this.#lastTime = this.#options.timer.now();
    this.#look = this.#options.timer.every(
      LOOK_EVERY_MILLISECONDS,
      () => this.#consider(),
    );
  }

  stop(): void {
    this.#look?.cancel();
    this.#planned?.cancel();
  }

  /** Somebody's checkpoint has been read. */
  seen(upTo: number): void {
    if (upTo < this.#lastUpTo) return;
    this.#lastUpTo = upTo;
    this.#lastTime = this.#options.timer.now();
  }

  #consider(): void {
    if (this.#planned !== undefined || !this.#mayWrite()) return;
    this.#planned = this.#options.timer.after(
      this.#options.random() * SPREAD_MILLISECONDS,
      () => void this.#write(),
    );
  }

  #mayWrite(): boolean {
    return this.#isDue() && this.#options.ready();
  }

  #isDue(): boolean {
    const position = this.#options.position();
    if (position < 0) return false;
    if (position - this.#lastUpTo >= this.#options.records) return true;
    const age = this.#options.timer.now() - this.#lastTime;
    return age >= this.#options.milliseconds;
  }

  async #write(): Promise<void> {
    if (this.#mayWrite()) await this.#options.write();
    this.#planned = undefined;
  }
}
