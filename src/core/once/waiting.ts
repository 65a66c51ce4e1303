import type { TimerService } from "../time/mod.ts";

/** Waits that end at a deadline, whatever the other side does. */
export class Waiting {
  readonly #timer: TimerService;
  readonly #fold: { subscribe(listener: () => void): () => void };

  constructor(options: {
    readonly timer: TimerService;
    readonly fold: { subscribe(listener: () => void): () => void };
  }) {
    this.#timer = options.timer;
    this.#fold = options.fold;
  }

  /** The promise's value, or undefined where the deadline comes first. */
  until<Value>(
    deadline: number,
    promise: Promise<Value>,
  ): Promise<Value | undefined> {
    return new Promise((resolve, reject) => {
      const alarm = this.#timer.after(
        deadline - this.#timer.now(),
        () => resolve(undefined),
      );
      promise.then((value) => {
        alarm.cancel();
        resolve(value);
      }, reject);
    });
  }

  /** Settles when the fold has read a further record, or at the deadline. */
  change(deadline: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        unsubscribe();
        alarm.cancel();
        resolve();
      };
      const unsubscribe = this.#fold.subscribe(done);
      const alarm = this.#timer.after(deadline - this.#timer.now(), done);
    });
  }
}
