import type { TimerService } from "./timer_service.ts";

/** Settles after `milliseconds` of the timer's time. */
export function pause(
  timer: TimerService,
  milliseconds: number,
): Promise<void> {
  return new Promise((resolve) => {
    timer.after(milliseconds, resolve);
  });
}

export interface DeadlineOptions {
  readonly timer: TimerService;
  readonly milliseconds: number;
}

/** The promise's value, or `undefined` where it has not come in time. */
export function beforeDeadline<Value>(
  promise: Promise<Value>,
  options: DeadlineOptions,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const alarm = options.timer.after(
      options.milliseconds,
      () => resolve(undefined),
    );
    promise.then((value) => {
      alarm.cancel();
      resolve(value);
    }, reject);
  });
}
