import { err, ok, type Result } from "neverthrow";
import { type Failure, failure } from "../errors/mod.ts";
import { type IdempotencyKey, identifier } from "../identity/mod.ts";
import { KEY_WITHOUT_TIME } from "./errors.ts";

const UUID_LENGTH = 36;
const UUID_VERSION_7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

/**
 * Builds the key of a request's record on the log. It includes the workspace,
 * since two workspaces that pick the same key must not get each other's
 * answers. Letters are lowercased, since a UUID is case-insensitive. Fails if
 * the caller's key is not a UUID of version 7 (RFC 9562).
 */
export function scopedKey(
  workspace: string,
  callerKey: string,
): Result<IdempotencyKey, Failure<"key_without_time">> {
  const uuid = callerKey.trim().toLowerCase();
  if (!UUID_VERSION_7.test(uuid)) {
    return err(failure(KEY_WITHOUT_TIME, { key: callerKey }));
  }
  return ok(identifier<IdempotencyKey>(`${workspace}/${uuid}`));
}

/**
 * Time in the key, milliseconds since 1970, or undefined if it has none.
 * Readers of the log use the time from the key itself: a record with a
 * different time for an expired key would own it a second time.
 */
export function timeOfKey(key: string): number | undefined {
  const uuid = key.slice(-UUID_LENGTH);
  if (!UUID_VERSION_7.test(uuid)) return undefined;
  return Number.parseInt(uuid.slice(0, 8) + uuid.slice(9, 13), 16);
}
