/** System time; tests use the manual timer service of the core. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import {
  type OnThrow,
  rethrow,
  runStep,
  type Subscription,
  type TimerService,
} from "../../core/time/mod.ts";

/**
 * Maximum delay of Node's timers. A timer with a longer delay fires after one
 * millisecond, so a timeout of a month would expire immediately.
 */
export const MAX_DELAY_MILLISECONDS = 2 ** 31 - 1;

/**
 * Timer service on the system clock and Node's timers. A one-shot timer keeps
 * the process alive until it fires; a periodic timer does not, because periodic
 * maintenance must not prevent the process from exiting.
 */
export class SystemTimerService implements TimerService {
  readonly #onThrow: OnThrow;

  /** Without an owner of what listeners throw, it ends the process. */
  constructor(
    { onThrow = rethrow }: { readonly onThrow?: OnThrow } = {},
  ) {
    this.#onThrow = onThrow;
  }

  now(): number {
    return performance.now();
  }

  wallClock(): number {
    return Date.now();
  }

  after(delayMilliseconds: number, listener: () => unknown): Subscription {
    const due = this.now() + Math.max(0, delayMilliseconds);
    let handle: NodeJS.Timeout;
    // Node truncates delays to whole milliseconds, as does its event loop, so a
    // timer can fire up to two milliseconds early; it is then rescheduled.
    const schedule = () => {
      const remaining = due - this.now();
      if (remaining <= 0) return this.run(listener);
      handle = setTimeout(
        schedule,
        Math.min(Math.ceil(remaining), MAX_DELAY_MILLISECONDS),
      );
    };
    handle = setTimeout(
      schedule,
      Math.min(
        Math.max(0, Math.ceil(delayMilliseconds)),
        MAX_DELAY_MILLISECONDS,
      ),
    );
    return { cancel: () => clearTimeout(handle) };
  }

  every(periodMilliseconds: number, listener: () => unknown): Subscription {
    const handle = setInterval(
      () => this.run(listener),
      Math.min(periodMilliseconds, MAX_DELAY_MILLISECONDS),
    );
    handle.unref();
    return { cancel: () => clearInterval(handle) };
  }

  run(listener: () => unknown): void {
    runStep(listener, this.#onThrow);
  }
}

/** Options of `monitorLoopDelay`. */
export interface LoopDelayOptions {
  readonly timer: TimerService;
  /** Receives the recent event-loop delay, in milliseconds. */
  readonly onDelay: (milliseconds: number) => void;
}

/**
 * An overload builds up within a second, so the delay is reported more often.
 */
const LOOP_DELAY_REPORT_INTERVAL_MILLISECONDS = 250;
const LOOP_DELAY_RESOLUTION_MILLISECONDS = 10;
const NANOSECONDS_PER_MILLISECOND = 1e6;
/** Percentile of the delay that is reported. */
const LOOP_DELAY_PERCENTILE = 90;

/**
 * Reports the event-loop delay of this process, so that the entry can shed the
 * least urgent work before tokens become late for all callers.
 */
export function monitorLoopDelay(options: LoopDelayOptions): Subscription {
  const histogram = monitorEventLoopDelay({
    resolution: LOOP_DELAY_RESOLUTION_MILLISECONDS,
  });
  histogram.enable();
  const subscription = options.timer.every(
    LOOP_DELAY_REPORT_INTERVAL_MILLISECONDS,
    () => {
      const nanoseconds = histogram.percentile(LOOP_DELAY_PERCENTILE);
      histogram.reset();
      const delayMilliseconds = nanoseconds / NANOSECONDS_PER_MILLISECOND -
        LOOP_DELAY_RESOLUTION_MILLISECONDS;
      options.onDelay(Math.max(0, delayMilliseconds));
    },
  );
  return {
    cancel() {
      subscription.cancel();
      histogram.disable();
    },
  };
}
