import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestDigest,
} from "../../identity/mod.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";

/**
 * A request that was lost with a run of an endpoint, as reported to peers.
 * Losses with the same `crash` number count as one crash: none of the senders
 * knew of the others. Endpoints that crash at the same time are thus counted
 * once.
 */
export type ReportedLoss = readonly [
  digest: string,
  endpoint: string,
  startedAt: number | null,
  crash: number,
];

/** Returns whether a value received from a peer is a loss. */
export function isReportedLoss(value: unknown): value is ReportedLoss {
  if (!Array.isArray(value)) return false;
  const [digest, endpoint, startedAt, crash] = value;
  return typeof digest === "string" && typeof endpoint === "string" &&
    (startedAt === null || Number.isFinite(startedAt)) &&
    Number.isInteger(crash);
}

export function digestOfLoss([digest]: ReportedLoss): RequestDigest {
  return identifier<RequestDigest>(digest);
}

export function runOfLoss([, endpoint, startedAt]: ReportedLoss): EndpointRun {
  return {
    id: identifier<EndpointId>(endpoint),
    startedAt: startedAt === null
      ? undefined
      : numbered<ReplicaStartTime>(startedAt),
  };
}

/** Key that identifies one run of an endpoint. */
export function keyOfRun({ id, startedAt }: EndpointRun): string {
  return `${id}@${startedAt ?? ""}`;
}
