/** Admission, queueing and placement, composed for one entry. */
export type {
  AttemptSummary,
  Placement,
  PoolDemand,
  Scheduler,
  WaitingRequest,
} from "./scheduler.ts";
