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

const SLOTS = 2;
const WORK_FACTOR = 3;
const VALUES = 6;

/** Checks that the value is a load report. */
export function isLoadReportValues(value: unknown): value is LoadReportValues {
  if (!Array.isArray(value)) return false;
  for (let at = 0; at < VALUES; at += 1) {
    if (!Number.isFinite(value[at]) || value[at] < 0) return false;
  }
  return value[SLOTS] > 0 && value[WORK_FACTOR] > 0;
}
