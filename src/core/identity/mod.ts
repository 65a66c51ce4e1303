/**
 * Branded identifiers. A plain string does not pass for any of them, so that a
 * side's name can't be handed over where an endpoint's is meant.
 */

declare const brand: unique symbol;

/** A value that carries a name in its type only. */
export type Branded<Value, Name extends string> = Value & {
  readonly [brand]: Name;
};

/** An endpoint of the inventory: one replica of a model engine or plain service. */
export type EndpointId = Branded<string, "EndpointId">;
/**
 * When a replica started, Unix milliseconds of its own clock. A replica may
 * start again under its id; the id and this time together name one run of it.
 */
export type ReplicaStart = Branded<number, "ReplicaStart">;
/** A process of the system, entry or side, as its settings name it. */
export type ProcessId = Branded<string, "ProcessId">;
/** One run of a process; a restarted process has a new one. */
export type Incarnation = Branded<string, "Incarnation">;
export type RegionId = Branded<string, "RegionId">;
export type AvailabilityZoneId = Branded<string, "AvailabilityZoneId">;
export type WorkspaceId = Branded<string, "WorkspaceId">;
/** A class of work of the operators' rules, such as "urgent". */
export type WorkClassName = Branded<string, "WorkClassName">;
export type ModelName = Branded<string, "ModelName">;
export type ServiceName = Branded<string, "ServiceName">;
/** One request of a caller at one entry. */
export type RequestId = Branded<string, "RequestId">;
/** What a request asks for, whatever its id: requests of the same bytes share it. */
export type RequestDigest = Branded<string, "RequestDigest">;
/** What a caller's key is known by; the key itself is kept nowhere. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** A span of the wall clock in which usage is counted, by its number. */
export type UsageWindow = Branded<number, "UsageWindow">;
/** One try of a request on one endpoint; frames carry it. */
export type AttemptId = Branded<string, "AttemptId">;
/** A caller's `Idempotency-Key`. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** Position of a record in a stream of the log; the first record has 0. */
export type LogOffset = Branded<number, "LogOffset">;
/** Offset of the verdict that accepted a configuration; 0 means none yet. */
export type ConfigurationVersion = Branded<number, "ConfigurationVersion">;
/** Offset of a claim: orders of a lower number are void. */
export type FencingNumber = Branded<number, "FencingNumber">;

/** Marks a checked string as an identifier of the wanted kind. */
export function identifier<Id extends Branded<string, string>>(
  value: string,
): Id {
  return value as Id;
}

/** Marks a checked number as a branded one. */
export function numbered<Id extends Branded<number, string>>(
  value: number,
): Id {
  return value as Id;
}
