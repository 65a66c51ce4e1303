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
 * read to begin, not the one under way.
 */
export class SharedRead {
  readonly #options: SharedReadOptions;
  #current: Promise<unknown> = Promise.resolve();
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
    await this.#current;
    const pause = this.#startedAt + minIntervalMilliseconds - timer.now();
    if (pause > 0) await sleep(timer, pause);
    this.#startedAt = timer.now();
    this.#next = undefined;
    const current = withTimeout(read(), {
      timer,
      milliseconds: timeoutMilliseconds,
    });
    this.#current = current;
    return await current ?? false;
  }
}
