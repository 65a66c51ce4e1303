/**
 * Reads the history of a run, whatever made it (one process on virtual time,
 * or many processes), and says which of the nine conditions did not hold.
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

/** One checker for each condition. */
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

/** "A few seconds" of the users, and their limit for a configuration. */
const DEFAULT_OPTIONS: CheckOptions = {
  leavingLimitMilliseconds: 5_000,
  inForceLimitMilliseconds: 9_000,
};

/** Every violation in the history, by condition; events in order of time. */
export function checkHistory(
  events: readonly HistoryEvent[],
  options: Partial<CheckOptions> = {},
): readonly Violation[] {
  const all = { ...DEFAULT_OPTIONS, ...options };
  return Object.values(CHECKERS).flatMap((check) => check(events, all));
}
