import {
  isBoolean,
  isCount,
  isId,
  isNumber,
  isObjectOf,
  isOneOf,
  isOptional,
  isPositive,
} from "../../validation/mod.ts";
import type { EndpointId, ReplicaStartTime } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

/** An id is sent in headers, where only these bytes mean the same to all. */
const HEADER_TEXT = /^[\x21-\x7e]+$/;
const MAX_PORT = 65_535;

/** Checks for an id that a header can carry. */
export function isEndpointId(value: unknown): value is EndpointId {
  return typeof value === "string" && HEADER_TEXT.test(value);
}

/** Checks for `host:port` with a port that a connection can be opened to. */
export function isHostAndPort(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const port = Number(/^[^\s:]+:(\d{1,5})$/.exec(value)?.[1]);
  return port > 0 && port <= MAX_PORT;
}

/** Checks for a registration as entries send it to each other. */
export const isRegisteredEndpoint = isObjectOf<RegisteredEndpoint>({
  id: isEndpointId,
  startedAt: isOptional(isNumber<ReplicaStartTime>),
  sequence: isOptional(isCount),
  pool: isId,
  softwareVersion: isId,
  address: isHostAndPort,
  availabilityZone: isId,
  slots: isPositive,
  leaving: isBoolean,
  role: isOptional(isOneOf(["prefill", "decode", "mixed"])),
});
