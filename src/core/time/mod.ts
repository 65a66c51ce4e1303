/**
 * The timer service interface, its virtual implementation and timeout helpers.
 */
export type { Subscription, TimerService } from "./timer_service.ts";
export { ManualTimerService } from "./manual_timer_service.ts";
export { beforeDeadline, pause } from "./deadline.ts";
export type { DeadlineOptions } from "./deadline.ts";
