/** Reading and writing the platform's log. */
export type {
  LogFailure,
  LogItem,
  LogPage,
  LogReadOptions,
  LogService,
  StreamName,
} from "./log_service.ts";
