import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
  type SuspectDigest,
} from "../../identity/mod.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";

/**
 * A request, or a part of its prompt, that was lost with a run of an endpoint,
 * as reported to peers. Losses with the same `crash` number count as one crash:
 * none of the senders knew of the others. Endpoints that crash at the same time
 * are thus counted once. `lasted` is the time from the first byte of the
 * response to the loss, `ago` the time since the loss; both in milliseconds, and
 * 0 if absent. `isFirstPart` is true for a part that stands first in prompts.
 */
export type ReportedLoss = readonly [
  digest: string,
  endpoint: string,
  startedAt: number | null,
  crash: number,
  lasted?: number,
  ago?: number,
  isFirstPart?: boolean,
];

/** A suspect that an endpoint has run, and when that run began. */
export type ReportedProof = readonly [digest: string, ago: number];

/** Returns whether a value received from a peer is a loss. */
export function isReportedLoss(value: unknown): value is ReportedLoss {
  if (!Array.isArray(value)) return false;
  const [digest, endpoint, startedAt, crash, lasted, ago, isFirstPart] = value;
  return typeof digest === "string" && typeof endpoint === "string" &&
    (startedAt === null || Number.isFinite(startedAt)) &&
    Number.isInteger(crash) && isOptionalNumber(lasted) &&
    isOptionalNumber(ago) &&
    (isFirstPart === undefined || typeof isFirstPart === "boolean");
}

/** Returns whether a value received from a peer is a proof. */
export function isReportedProof(value: unknown): value is ReportedProof {
  return Array.isArray(value) && typeof value[0] === "string" &&
    Number.isFinite(value[1]);
}

export function digestOfLoss([digest]: ReportedLoss): SuspectDigest {
  return identifier<SuspectDigest>(digest);
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

function isOptionalNumber(value: unknown): boolean {
  return value === undefined || Number.isFinite(value);
}
