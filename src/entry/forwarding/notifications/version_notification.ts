import type { ServingVersion } from "../../../core/forwarding/mod.ts";
import {
  identifier,
  type ServiceName,
  type SoftwareVersion,
} from "../../../core/identity/mod.ts";
import {
  isBoolean,
  isListOf,
  isObjectOf,
  isOptional,
  isRow,
  isText,
} from "../../../core/validation/mod.ts";

/** Notification that carries changes of the list of serving versions. */
export const VERSIONS_METHOD = "entry.versions";

export type VersionRow = readonly [pool: string, softwareVersion: string];

export interface VersionNotification {
  readonly added: readonly VersionRow[];
  readonly removed?: readonly VersionRow[];
  /** True if `added` is the whole list. */
  readonly isWhole?: boolean;
}

export function encodeVersion(
  { pool, softwareVersion }: ServingVersion,
): VersionRow {
  return [pool, softwareVersion];
}

export function decodeVersion(
  [pool, softwareVersion]: VersionRow,
): ServingVersion {
  return {
    pool: identifier<ServiceName>(pool),
    softwareVersion: identifier<SoftwareVersion>(softwareVersion),
  };
}

const isVersionRows = isListOf(isRow<VersionRow>([isText, isText]));

export const isVersionNotification = isObjectOf<VersionNotification>({
  added: isVersionRows,
  removed: isOptional(isVersionRows),
  isWhole: isOptional(isBoolean),
});
