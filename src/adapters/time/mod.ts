/** Real time for the programs; tests use the manual service of the core. */
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
    const arm = () => {
      const left = due - this.now();
      if (left > LONGEST_DELAY_MILLISECONDS) {
        handle = setTimeout(arm, LONGEST_DELAY_MILLISECONDS);
        return;
      }
      handle = setTimeout(listener, Math.max(0, left));
    };
    arm();
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
