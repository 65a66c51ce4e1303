/**
 * At-most-once execution of non-idempotent requests, across entries and
 * sides.
 */
export { scopedKey, timeOfKey } from "./key.ts";
export {
  KEY_RETENTION_MILLISECONDS,
  type KeyOwner,
  OnceFold,
  type OnceFoldOptions,
} from "./fold.ts";
export {
  SideOnceTable,
  type SideOnceTableGuards,
  type SideOnceTableOptions,
  type StoredAnswer,
} from "./side_table.ts";
export {
  type Acquisition,
  BAR_GRACE_MILLISECONDS,
  beginAcquisition,
  decide,
  type Decision,
  type ExecutionTarget,
  handleSideAnswer,
  recordAppendOutcome,
  recordAppendStart,
  resultAfterFailedAppend,
  resultAtDeadline,
} from "./acquisition.ts";
export {
  type AcquireKeyOptions,
  OnceCoordinator,
  type OnceCoordinatorOptions,
} from "./coordinator.ts";
export type { AcquireResult } from "./results.ts";
