import type { LogOffset } from "../identity/mod.ts";
import type { RecordBody } from "../../generated/log_records.ts";

/**
 * The state that a contiguous prefix of a stream amounts to. A record's
 * validity may depend on the records before it and on nothing else: no clock,
 * no random number, no setting and no software version, so that every reader
 * of the prefix comes to the same state, however late it reads.
 */
export interface StreamFold {
  apply(offset: LogOffset, body: RecordBody): void;
  /** The whole state as plain JSON, for checkpoints and peers. */
  save(): Record<string, unknown>;
  /** Replaces the whole state by a saved one. */
  load(state: Record<string, unknown>): void;
}
