/** Reading and writing the platform's log. */
export type {
  LogFailure,
  LogItem,
  LogPage,
  LogReadOptions,
  LogService,
  StreamName,
} from "./log_service.ts";
export type { JournalFailure } from "./errors.ts";
export { Journal } from "./journal.ts";
export type { JournalCounts, JournalOptions } from "./journal.ts";
export type { JournalGuards } from "./stream_prefix.ts";
export type { StreamFold } from "./stream_fold.ts";
