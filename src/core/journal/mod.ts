/** Reading and writing the platform's log. */
export type {
  LogFailure,
  LogItem,
  LogPage,
  LogReadOptions,
  LogService,
  StreamName,
} from "./log_service.ts";
import type { RecordBody } from "../../generated/log_records.ts";
import type { Failure } from "../errors/mod.ts";
import type { LogOffset } from "../identity/mod.ts";

/**
 * `append_not_made`: no reader has taken or ever will take the record.
 * `append_unknown`: the record may stand on the log, now or later.
 */
export type JournalFailure = Failure<"append_not_made" | "append_unknown">;

/** State that one stream's records add up to. */
export interface StreamFold {
  apply(offset: LogOffset, body: RecordBody): void;
  save(): Record<string, unknown>;
  load(state: Record<string, unknown>): void;
}
