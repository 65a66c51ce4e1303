import { isNumber, isRow } from "../../../core/validation/mod.ts";

/**
 * A load report in a row: running and waiting requests, slots, work factor in
 * percent, and the ages of its request and of its receipt in milliseconds.
 */
export type LoadReportValues = readonly [
  running: number,
  waiting: number,
  slots: number,
  workFactorPercent: number,
  sentAge: number,
  receivedAge: number,
];

const isSixNumbers = isRow<LoadReportValues>([
  isNumber,
  isNumber,
  isNumber,
  isNumber,
  isNumber,
  isNumber,
]);

/** Checks that the value is a load report. */
export function isLoadReportValues(value: unknown): value is LoadReportValues {
  if (!isSixNumbers(value)) return false;
  const [, , slots, percent] = value;
  return value.every((each) => each >= 0) && slots > 0 && percent > 0;
}
