import type { Result } from "neverthrow";
import type { Failure } from "../errors/mod.ts";
import type { Branded, LogOffset } from "../identity/mod.ts";

/** Name of a stream of the platform's log service. */
export type StreamName = Branded<string, "StreamName">;

/** Result of a read: contiguous records and the ends of the stream. */
export interface LogPage {
  /** Records from the requested offset on, in order, without gaps. */
  readonly records: readonly LogItem[];
  /** Offset of the oldest record that the service still stores. */
  readonly oldest: LogOffset;
  /** Offset after the newest record that the answering replica has. */
  readonly head: LogOffset;
}

/** One record of the log; `value` is whatever was appended. */
export interface LogItem {
  readonly offset: LogOffset;
  readonly value: unknown;
}

/**
 * `log_unavailable`: the call had no effect. `log_unknown`: the answer was
 * lost; the append may have happened or may still happen. `log_expired`: the
 * requested offset is older than the oldest stored record.
 */
export type LogFailure = Failure<
  "log_unavailable" | "log_unknown" | "log_expired"
>;

export interface LogReadOptions {
  readonly from: LogOffset;
  /** Maximum number of records in the answer. */
  readonly limit: number;
  /**
   * Long-poll timeout: how long the service may wait for a record,
   * milliseconds.
   */
  readonly waitMilliseconds: number;
}

/** The platform's append-only log service, as the core uses it. */
export interface LogService {
  /** Appends the records contiguously; returns the first one's offset. */
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
