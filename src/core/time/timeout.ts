import type { TimerService } from "./timer_service.ts";

/** Resolves after `milliseconds` on the given timer service. */
export function sleep(
  timer: TimerService,
  milliseconds: number,
): Promise<void> {
  return new Promise((resolve) => {
    timer.after(milliseconds, resolve);
  });
}

export interface TimeoutOptions {
  readonly timer: TimerService;
  readonly milliseconds: number;
}

/**
 * Resolves with the value of the promise, or with `undefined` if it does not
 * settle within `milliseconds`.
 */
export function withTimeout<Value>(
  promise: Promise<Value>,
  options: TimeoutOptions,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timeout = options.timer.after(
      options.milliseconds,
      () => resolve(undefined),
    );
    promise.then((value) => {
      timeout.cancel();
      resolve(value);
    }, reject);
  });
}
