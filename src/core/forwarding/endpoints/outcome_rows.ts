/** Encoding of outcomes and verdicts in the notifications between entries. */
import type { ReplicaStartTime } from "../../identity/mod.ts";
import type { OutcomeCounts } from "./outcome_reports.ts";

/**
 * Outcomes of a kind of request at the endpoint in the given row of the open
 * work of the same notification. Values at the end that are 0 are left out.
 */
export type OutcomeRow = readonly [
  workRow: number,
  kind: number,
  completed: number,
  failed?: number,
  lost?: number,
  attemptsElsewhere?: number,
  failuresElsewhere?: number,
];
const MIN_ROW_VALUES = 3;
const MAX_ROW_VALUES = 7;

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
  { completed, elsewhere, failed, kind, lost }: OutcomeCounts,
): OutcomeRow {
  const counts = [workRow, kind, completed] as const;
  if (failed === 0 && lost === 0) return counts;
  const { attempts, failures } = elsewhere ?? { attempts: 0, failures: 0 };
  return [...counts, failed, lost, attempts, Math.round(10 * failures) / 10];
}

export function decodeOutcomes(
  [, kind, completed, failed = 0, lost = 0, attempts, failures = 0]: OutcomeRow,
): OutcomeCounts {
  const counts = { kind, completed, failed, lost };
  if (attempts === undefined) return counts;
  return { ...counts, elsewhere: { attempts, failures } };
}

/** Checks that the value is a list of rows with outcomes. */
export function isOutcomeRows(value: unknown): value is readonly OutcomeRow[] {
  return Array.isArray(value) &&
    value.every((row) =>
      Array.isArray(row) && row.length >= MIN_ROW_VALUES &&
      row.length <= MAX_ROW_VALUES &&
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
