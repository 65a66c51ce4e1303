import type { LogOffset } from "../identity/mod.ts";
import type { RecordBody } from "../../generated/log_records.ts";

/**
 * State computed from a contiguous prefix of a stream. A record's validity may
 * depend only on the records before it, and on no clock, random number, setting
 * or software version, so that every reader of the prefix computes the same
 * state, however late it reads.
 */
export interface StreamFold {
  apply(offset: LogOffset, body: RecordBody): void;
  /** The whole state as plain JSON, for checkpoints and peers. */
  save(): Record<string, unknown>;
  /** Replaces the whole state with a saved one. */
  load(state: Record<string, unknown>): void;
}
