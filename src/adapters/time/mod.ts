/** Real time for the programs; tests use the manual service of the core. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

/**
 * Longest delay that Node's timers take. A longer one fires after one
 * millisecond instead: a time limit of a month would lapse at once.
 */
const MAX_DELAY_MILLISECONDS = 2 ** 31 - 1;

/**
 * The machine's clock and Node's timers. A single alarm keeps the process
 * alive until it fires; a repeated one does not, since housekeeping is no
 * reason for a process to stay.
 */
export class SystemTimerService implements TimerService {
  now(): number {
    return performance.now();
  }

  wallClock(): number {
    return Date.now();
  }

  after(delayMilliseconds: number, listener: () => void): Subscription {
    const due = this.now() + Math.max(0, delayMilliseconds);
    let handle: NodeJS.Timeout;
    // Node drops fractions and its loop counts whole milliseconds, so that a
    // timer fires up to two milliseconds early; it is set again for the rest.
    const schedule = () => {
      const remaining = due - this.now();
      if (remaining <= 0) return listener();
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

  every(periodMilliseconds: number, listener: () => void): Subscription {
    const handle = setInterval(
      listener,
      Math.min(periodMilliseconds, MAX_DELAY_MILLISECONDS),
    );
    handle.unref();
    return { cancel: () => clearInterval(handle) };
  }
}

export interface LoopDelayOptions {
  readonly timer: TimerService;
  /** Takes how late the loop's turns were of late, milliseconds. */
  readonly onDelay: (milliseconds: number) => void;
}

/** How often the delay is told: an overload builds up within a second. */
const LOOP_DELAY_REPORT_INTERVAL_MILLISECONDS = 250;
const LOOP_DELAY_RESOLUTION_MILLISECONDS = 10;
const NANOSECONDS_PER_MILLISECOND = 1e6;
/** The share of turns that may be later than what is told. */
const LOOP_DELAY_PERCENTILE = 90;

/**
 * Tells how late this process's own loop runs, so that the entry refuses the
 * least urgent work before its tokens come late for everybody.
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
