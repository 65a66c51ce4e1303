/** Real time for the programs; tests use the manual service of the core. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

/**
 * Longest delay that Node's timers take. A longer one fires after one
 * millisecond instead: a time limit of a month would lapse at once.
 */
const LONGEST_DELAY_MILLISECONDS = 2 ** 31 - 1;

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
    const wait = () => {
      const left = due - this.now();
      if (left <= 0) return listener();
      handle = setTimeout(
        wait,
        Math.min(Math.ceil(left), LONGEST_DELAY_MILLISECONDS),
      );
    };
    handle = setTimeout(
      wait,
      Math.min(
        Math.max(0, Math.ceil(delayMilliseconds)),
        LONGEST_DELAY_MILLISECONDS,
      ),
    );
    return { cancel: () => clearTimeout(handle) };
  }

  every(periodMilliseconds: number, listener: () => void): Subscription {
    const handle = setInterval(
      listener,
      Math.min(periodMilliseconds, LONGEST_DELAY_MILLISECONDS),
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
const LOOP_DELAY_PERIOD_MILLISECONDS = 250;
const LOOP_DELAY_RESOLUTION_MILLISECONDS = 10;
const NANOSECONDS_PER_MILLISECOND = 1e6;
/** The share of turns that may be later than what is told. */
const LOOP_DELAY_PERCENTILE = 90;

/**
 * Tells how late this process's own loop runs, so that the entry refuses the
 * least urgent work before its tokens come late for everybody.
 */
export function watchLoopDelay(options: LoopDelayOptions): Subscription {
  const histogram = monitorEventLoopDelay({
    resolution: LOOP_DELAY_RESOLUTION_MILLISECONDS,
  });
  histogram.enable();
  const telling = options.timer.every(LOOP_DELAY_PERIOD_MILLISECONDS, () => {
    const nanoseconds = histogram.percentile(LOOP_DELAY_PERCENTILE);
    histogram.reset();
    const late = nanoseconds / NANOSECONDS_PER_MILLISECOND -
      LOOP_DELAY_RESOLUTION_MILLISECONDS;
    options.onDelay(Math.max(0, late));
  });
  return {
    cancel() {
      telling.cancel();
      histogram.disable();
    },
  };
}
