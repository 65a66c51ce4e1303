/**
 * At-most-once execution of non-idempotent requests, across entries and
 * sides.
 */
export { scopedKey, timeOfKey } from "./key.ts";
export {
  ONCE_WINDOW_MILLISECONDS,
  OnceFold,
  type OnceFoldOptions,
  type OnceOwner,
} from "./fold.ts";
export {
  type KeptAnswer,
  SideOnceTable,
  type SideOnceTableGuards,
  type SideOnceTableOptions,
} from "./side_table.ts";
export {
  type Acquisition,
  BAR_GRACE_MILLISECONDS,
  beginAcquisition,
  decide,
  type Decision,
  giveUp,
  noteAppend,
  type OnceChoice,
  takeAnswer,
  takeAppended,
  whenLogDown,
} from "./acquisition.ts";
export {
  type AcquireOptions,
  OnceCoordinator,
  type OnceCoordinatorOptions,
} from "./coordinator.ts";
export type { AcquireResult } from "./results.ts";
