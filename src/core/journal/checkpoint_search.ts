import type {
  CheckpointRecord,
  RecordBody,
} from "../../generated/log_records.ts";
import type { LogItem } from "./log_service.ts";

/** A checkpoint with the records that stand between it and its own place. */
export interface FoundCheckpoint {
  readonly checkpoint: CheckpointRecord;
  /** Records after `upTo`, in order, up to the checkpoint's own record. */
  readonly following: readonly LogItem[];
}

/**
 * Looks for a usable checkpoint after records have expired. A checkpoint is
 * usable only where the record behind its `upTo` is still on the stream, else
 * what lies between would be skipped without a sign.
 */
export class CheckpointSearch {
  readonly #oldest: number;
  readonly #items: LogItem[] = [];

  /** `oldest` is the offset from which on records can be read. */
  constructor(oldest: number) {
    this.#oldest = oldest;
  }

  /** Offset of the next record to look at. */
  get next(): number {
    return this.#oldest + this.#items.length;
  }

  /** Looks at one record; gives the checkpoint once there is a usable one. */
  look(
    item: LogItem,
    body: RecordBody | undefined,
  ): FoundCheckpoint | undefined {
    if (item.offset !== this.next) return undefined;
    this.#items.push(item);
    if (body?.kind !== "checkpoint") return undefined;
    if (body.upTo + 1 < this.#oldest || body.upTo >= item.offset) {
      return undefined;
    }
    return {
      checkpoint: body,
      following: this.#items.filter((other) => other.offset > body.upTo),
    };
  }
}
