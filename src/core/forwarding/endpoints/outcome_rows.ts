/** Encoding of outcomes and verdicts in the notifications between entries. */
import type { ReplicaStartTime } from "../../identity/mod.ts";
import type { KindFailures, OutcomeCounts } from "./outcome_reports.ts";

/**
 * Outcomes at the endpoint in the given row of the open work of the same
 * notification: the number of completed attempts, and for each kind of request
 * with failures its number, the failed attempts, the lost ones, and the
 * attempts and failures of the kind elsewhere.
 */
export type OutcomeRow = readonly [
  workRow: number,
  completed: number,
  ...failures: number[],
];
const MIN_ROW_VALUES = 2;
const VALUES_PER_KIND = 5;
/** Longest row that is accepted: 64 kinds. */
const MAX_ROW_VALUES = MIN_ROW_VALUES + 64 * VALUES_PER_KIND;

/** A verdict; clocks differ, so it has a duration instead of an expiry. */
export type VerdictRow = readonly [
  endpoint: string,
  validMilliseconds: number,
  failureRate: number,
  startedAt?: ReplicaStartTime,
];
const MIN_VERDICT_VALUES = 3;
/** Longest time that a verdict is accepted for; a guard against bad values. */
const MAX_VALID_MILLISECONDS = 10_000;

export function encodeOutcomes(
  workRow: number,
  { completed, failures }: OutcomeCounts,
): OutcomeRow {
  const values = failures.flatMap(({ elsewhere, failed, kind, lost }) => [
    kind,
    failed,
    lost,
    elsewhere.attempts,
    Math.round(10 * elsewhere.failures) / 10,
  ]);
  return [workRow, completed, ...values];
}

export function decodeOutcomes(
  [, completed, ...values]: OutcomeRow,
): OutcomeCounts {
  const failures: KindFailures[] = [];
  for (let at = 0; at < values.length; at += VALUES_PER_KIND) {
    const [kind, failed, lost, attempts, elsewhereFailures] = values.slice(at);
    const elsewhere = { attempts, failures: elsewhereFailures };
    failures.push({ kind, failed, lost, elsewhere });
  }
  return { completed, failures };
}

/** Checks that the value is a list of rows with outcomes. */
export function isOutcomeRows(value: unknown): value is readonly OutcomeRow[] {
  return Array.isArray(value) &&
    value.every((row) =>
      Array.isArray(row) && row.length >= MIN_ROW_VALUES &&
      row.length <= MAX_ROW_VALUES &&
      (row.length - MIN_ROW_VALUES) % VALUES_PER_KIND === 0 &&
      row.every((each) => Number.isFinite(each) && each >= 0)
    );
}

/** Checks that the value is a list of verdicts. */
export function isVerdictRows(value: unknown): value is readonly VerdictRow[] {
  return Array.isArray(value) && value.every((row) => {
    if (!Array.isArray(row) || row.length < MIN_VERDICT_VALUES) return false;
    const [endpoint, validMilliseconds, failureRate, startedAt] = row;
    return typeof endpoint === "string" &&
      Number.isFinite(validMilliseconds) && validMilliseconds >= 0 &&
      validMilliseconds <= MAX_VALID_MILLISECONDS &&
      Number.isFinite(failureRate) &&
      (startedAt === undefined || Number.isFinite(startedAt));
  });
}
