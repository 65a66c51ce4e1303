import type { Refusal, RefusalReason } from "../requests/mod.ts";

const DETAIL_BY_REASON: Readonly<Partial<Record<RefusalReason, string>>> = {
  saturated: "The endpoints can't finish this class of work in time now",
  share_exhausted: "The workspace already has its share of what may wait",
  impossible_deadline: "No endpoint can give the answer within the deadline",
  no_endpoint: "No endpoint of the pool can be used now",
  overloaded_entry: "The entry VM sheds this class of work now",
  not_configured: "No inventory in force names a pool for this work",
  late: "The deadline can't be met any more",
};

/** Creates a refusal of a request that has not run. */
export function refusal(
  reason: RefusalReason,
  retryAfterMilliseconds?: number,
): Refusal {
  return {
    kind: "not_run",
    reason,
    detail: DETAIL_BY_REASON[reason] ?? "The request was not run",
    retryAfterMilliseconds,
  };
}
