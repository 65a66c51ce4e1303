import { sleep, type TimerService, withTimeout } from "../../time/mod.ts";

export interface SharedReadOptions {
  readonly timer: TimerService;
  /** Reads, and resolves with whether that succeeded; never rejects. */
  readonly read: () => Promise<boolean>;
  /** Shortest time between the beginnings of two reads. */
  readonly minIntervalMilliseconds: number;
  /** Time after which a read counts as failed. */
  readonly timeoutMilliseconds: number;
}

/**
 * Reads on behalf of all that wait at the same time. What was read before a
 * caller asked proves nothing about that moment, so each caller shares the next
 * read to begin, not those under way.
 */
export class SharedRead {
  readonly #options: SharedReadOptions;
  /** A read that has not begun yet. */
  #next: Promise<boolean> | undefined;
  #startedAt = -Infinity;

  constructor(options: SharedReadOptions) {
    this.#options = options;
  }

  /** Resolves with true if a read that began after this call has succeeded. */
  read(): Promise<boolean> {
    this.#next ??= this.#readNext();
    return this.#next;
  }

  async #readNext(): Promise<boolean> {
    const { minIntervalMilliseconds, read, timer, timeoutMilliseconds } =
      this.#options;
    const pause = this.#startedAt + minIntervalMilliseconds - timer.now();
    // Waits in any case, as `read` sets the next one when this has returned.
    await (pause > 0 ? sleep(timer, pause) : Promise.resolve());
    this.#startedAt = timer.now();
    this.#next = undefined;
    const isRead = await withTimeout(read(), {
      timer,
      milliseconds: timeoutMilliseconds,
    });
    return isRead ?? false;
  }
}
