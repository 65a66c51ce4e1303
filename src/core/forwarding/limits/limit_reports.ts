import {
  type EndpointId,
  identifier,
  type ReplicaStartTime,
} from "../../identity/mod.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";
import type { LimitObservation } from "./endpoint_limits.ts";

/**
 * An observed limit as sent between entries. Their clocks differ, so the times
 * are ages in milliseconds; `null` stands for no limit.
 */
export type LimitReport = readonly [
  endpoint: string,
  requestsPerSecond: number | null,
  sentAge: number,
  receivedAge: number,
  startedAt?: ReplicaStartTime,
];
const MIN_REPORT_VALUES = 4;

export function encodeLimit(
  { id, startedAt }: EndpointRun,
  options: { readonly observation: LimitObservation; readonly now: number },
): LimitReport {
  const { observation, now } = options;
  const report = [
    id,
    observation.requestsPerSecond ?? null,
    now - observation.sentAt,
    now - observation.receivedAt,
  ] as const;
  return startedAt === undefined ? report : [...report, startedAt];
}

export function decodeLimit(
  [endpoint, requestsPerSecond, sentAge, receivedAge, startedAt]: LimitReport,
  now: number,
): { readonly run: EndpointRun; readonly observation: LimitObservation } {
  return {
    run: { id: identifier<EndpointId>(endpoint), startedAt },
    observation: {
      requestsPerSecond: requestsPerSecond ?? undefined,
      sentAt: now - Math.max(0, sentAge),
      receivedAt: now - Math.max(0, receivedAge),
    },
  };
}

/** Checks that the value is a valid report of a limit. */
export function isLimitReport(value: unknown): value is LimitReport {
  if (!Array.isArray(value) || value.length < MIN_REPORT_VALUES) return false;
  const [endpoint, requestsPerSecond, sentAge, receivedAge, startedAt] = value;
  const isLimit = requestsPerSecond === null ||
    (Number.isFinite(requestsPerSecond) && requestsPerSecond >= 0);
  return typeof endpoint === "string" && isLimit &&
    Number.isFinite(sentAge) && Number.isFinite(receivedAge) &&
    (startedAt === undefined || Number.isFinite(startedAt));
}
