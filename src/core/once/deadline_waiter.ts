import type { TimerService } from "../time/mod.ts";

/** Waits with a deadline. */
export class DeadlineWaiter {
  readonly #timer: TimerService;
  readonly #fold: { subscribe(listener: () => void): () => void };

  constructor(options: {
    readonly timer: TimerService;
    readonly fold: { subscribe(listener: () => void): () => void };
  }) {
    this.#timer = options.timer;
    this.#fold = options.fold;
  }

  /** The promise's value, or undefined if the deadline passes first. */
  beforeDeadline<Value>(
    deadline: number,
    promise: Promise<Value>,
  ): Promise<Value | undefined> {
    return new Promise((resolve, reject) => {
      const timeout = this.#timer.after(
        deadline - this.#timer.now(),
        () => resolve(undefined),
      );
      promise.then((value) => {
        timeout.cancel();
        resolve(value);
      }, reject);
    });
  }

  /**
   * Resolves when the fold has applied a further record, or at the deadline.
   */
  nextChange(deadline: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        unsubscribe();
        timeout.cancel();
        resolve();
      };
      const unsubscribe = this.#fold.subscribe(done);
      const timeout = this.#timer.after(deadline - this.#timer.now(), done);
    });
  }
}
