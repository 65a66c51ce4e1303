/** The one timer service that every part subscribes to. */
export type { Subscription, TimerService } from "./timer_service.ts";
export { ManualTimerService } from "./manual_timer_service.ts";
