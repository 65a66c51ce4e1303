/**
 * Checks the event history of a run against the nine correctness conditions.
 * The history may come from one process on virtual time or from many
 * processes.
 */
import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import {
  checkFalseNotRun,
  checkRanTwice,
  checkWrongAnswer,
} from "./answers.ts";
import {
  checkCutByChange,
  checkCutByStop,
  checkLeavingEndpointUsed,
} from "./changes.ts";
import { checkConfigurationReverted } from "./configuration.ts";
import {
  checkConflictingOrders,
  checkOrderWithoutAuthority,
} from "./orders.ts";
import type {
  Checker,
  CheckOptions,
  Condition,
  Violation,
} from "./violation.ts";

export type { CheckOptions, Condition, Violation } from "./violation.ts";
export { CONDITIONS } from "./violation.ts";

/** The checker of each condition. */
export const CHECKERS: Readonly<Record<Condition, Checker>> = {
  conflicting_orders: checkConflictingOrders,
  cut_by_change: checkCutByChange,
  order_without_authority: checkOrderWithoutAuthority,
  wrong_answer: checkWrongAnswer,
  false_not_run: checkFalseNotRun,
  ran_twice: checkRanTwice,
  leaving_endpoint_used: checkLeavingEndpointUsed,
  cut_by_stop: checkCutByStop,
  configuration_reverted: checkConfigurationReverted,
};

/** The limits that the user contract sets for draining and configurations. */
const DEFAULT_CHECK_OPTIONS: CheckOptions = {
  leavingLimitMilliseconds: 5_000,
  inForceLimitMilliseconds: 9_000,
};

/** Returns all violations, grouped by condition; `events` are in time order. */
export function checkHistory(
  events: readonly HistoryEvent[],
  options: Partial<CheckOptions> = {},
): readonly Violation[] {
  const all = { ...DEFAULT_CHECK_OPTIONS, ...options };
  return Object.values(CHECKERS).flatMap((check) => check(events, all));
}
