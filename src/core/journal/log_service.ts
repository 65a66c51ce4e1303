import type { Result } from "neverthrow";
import type { Failure } from "../errors/mod.ts";
import type { Branded, LogOffset } from "../identity/mod.ts";

/** Name of a stream of the platform's log service. */
export type StreamName = Branded<string, "StreamName">;

/** What a read gives: contiguous records and where the stream stands. */
export interface LogPage {
  /** Records from the wanted offset on, in order, without holes. */
  readonly records: readonly LogItem[];
  /** Offset of the oldest record that the service still keeps. */
  readonly oldest: LogOffset;
  /** Offset behind the newest record that the answering replica knows. */
  readonly head: LogOffset;
}

/** One record as it stands on the log; `value` is whatever was appended. */
export interface LogItem {
  readonly offset: LogOffset;
  readonly value: unknown;
}

/**
 * `log_unavailable`: the call had no effect. `log_unknown`: the answer was
 * lost, the append may have happened or may still happen.
 * `log_expired`: the wanted offset is older than what the service keeps.
 */
export type LogFailure = Failure<
  "log_unavailable" | "log_unknown" | "log_expired"
>;

export interface LogReadOptions {
  readonly from: LogOffset;
  /** Most records that the answer may hold. */
  readonly limit: number;
  /** How long the service may wait for a record to come, milliseconds. */
  readonly waitMilliseconds: number;
}

/** The platform's append-only log service, as the core sees it. */
export interface LogService {
  /** Appends the records next to each other; gives the first one's offset. */
  append(
    stream: StreamName,
    records: readonly unknown[],
  ): Promise<Result<LogOffset, LogFailure>>;
  /** Reads forward. `oldest` above `from` means that records have expired. */
  read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogFailure>>;
}
