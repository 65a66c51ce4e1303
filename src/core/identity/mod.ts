/**
 * Branded identifiers. A plain string is not assignable to any of them, so that
 * a side's name can't be passed where an endpoint's is expected.
 */

declare const brand: unique symbol;

/** A value with a nominal type. */
export type Branded<Value, Name extends string> = Value & {
  readonly [brand]: Name;
};

/**
 * An endpoint of the inventory: one replica of a model engine or plain service.
 */
export type EndpointId = Branded<string, "EndpointId">;
/**
 * Start time of a replica, Unix milliseconds of its own clock. A replica can
 * restart under the same id; the id and this time together identify one run of
 * it.
 */
export type ReplicaStartTime = Branded<number, "ReplicaStart">;
/** A process of the system, entry or side, as named in its settings. */
export type ProcessId = Branded<string, "ProcessId">;
/** One run of a process; a restarted process has a new one. */
export type Incarnation = Branded<string, "Incarnation">;
export type RegionId = Branded<string, "RegionId">;
export type AvailabilityZoneId = Branded<string, "AvailabilityZoneId">;
export type WorkspaceId = Branded<string, "WorkspaceId">;
/** A class of work in the operators' rules, such as "urgent". */
export type WorkClassName = Branded<string, "WorkClassName">;
export type ModelName = Branded<string, "ModelName">;
export type ServiceName = Branded<string, "ServiceName">;
/** Version of the software of a replica, not of the weights of its model. */
export type SoftwareVersion = Branded<string, "SoftwareVersion">;
/** One request of a caller at one entry. */
export type RequestId = Branded<string, "RequestId">;
/**
 * Digest of a request's content, independent of its id: requests of the same
 * bytes share it.
 */
export type RequestDigest = Branded<string, "RequestDigest">;
/** Digest of one part of a prompt for the endpoints of a pool. */
export type PartDigest = Branded<string, "PartDigest">;
/** What endpoints may crash on: a whole request, or a part of its prompt. */
export type SuspectDigest = RequestDigest | PartDigest;
/** Digest that identifies a caller's stream. */
export type StreamDigest = Branded<string, "StreamDigest">;
/** Digest of a caller's API key; the key itself is not stored. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** Number of a wall-clock time window in which usage is counted. */
export type UsageWindow = Branded<number, "UsageWindow">;
/** One attempt of a request at one endpoint; its frames contain it. */
export type AttemptId = Branded<string, "AttemptId">;
/** A caller's `Idempotency-Key`. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** Position of a record in a stream of the log; the first record is at 0. */
export type LogOffset = Branded<number, "LogOffset">;
/**
 * Offset of the verdict that accepted a configuration, plus one; 0 before the
 * first.
 */
export type ConfigurationVersion = Branded<number, "ConfigurationVersion">;
/**
 * Offset of a claim, used as a fencing token: orders with a lower one are void.
 */
export type FencingNumber = Branded<number, "FencingNumber">;

/** Brands a validated string as an identifier of the expected type. */
export function identifier<Id extends Branded<string, string>>(
  value: string,
): Id {
  return value as Id;
}

/** Brands a validated number as an identifier of the expected type. */
export function numbered<Id extends Branded<number, string>>(
  value: number,
): Id {
  return value as Id;
}
