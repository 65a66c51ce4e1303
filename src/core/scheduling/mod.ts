/** Admission, queueing and placement, composed for one entry. */
export type {
  AttemptSummary,
  ClassArrivals,
  Placement,
  PoolDemand,
  Scheduler,
  WaitingRequest,
} from "./scheduler.ts";
export {
  createScheduler,
  type SchedulerLimits,
  type SchedulerOptions,
} from "./entry_scheduler.ts";
export {
  BASELINE_POLICY,
  DEFAULT_POLICY,
  type SchedulingPolicy,
} from "./policy.ts";
