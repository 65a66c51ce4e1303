/**
 * The timer service interface, its virtual implementation and timeout helpers.
 */
export type { Subscription, TimerService } from "./timer_service.ts";
export { ManualTimerService } from "./manual_timer_service.ts";
export { type OnThrow, rethrow, runStep } from "./run_step.ts";
export { sleep, withTimeout } from "./timeout.ts";
export type { TimeoutOptions } from "./timeout.ts";
