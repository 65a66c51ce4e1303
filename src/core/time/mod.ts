/** The one timer service that every part subscribes to. */
export type { Subscription, TimerService } from "./timer_service.ts";
export { ManualTimerService } from "./manual_timer_service.ts";
export { beforeDeadline, pause } from "./deadline.ts";
export type { DeadlineOptions } from "./deadline.ts";
