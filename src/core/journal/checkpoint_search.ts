import type {
  CheckpointRecord,
  RecordBody,
} from "../../generated/log_records.ts";
import type { LogItem } from "./log_service.ts";

/** A checkpoint and the records between its `upTo` and its own offset. */
export interface FoundCheckpoint {
  readonly checkpoint: CheckpointRecord;
  /**
   * Records after `upTo`, in order, up to and including the checkpoint's own.
   */
  readonly following: readonly LogItem[];
}

/**
 * Searches for a usable checkpoint after records have expired. A checkpoint is
 * usable only if the record after its `upTo` is still on the stream; otherwise
 * the records in between would be skipped silently.
 */
export class CheckpointSearch {
  readonly #oldest: number;
  readonly #items: LogItem[] = [];

  /** `oldest` is the lowest offset that can still be read. */
  constructor(oldest: number) {
    this.#oldest = oldest;
  }

  /** Offset of the next record to inspect. */
  get next(): number {
    return this.#oldest + this.#items.length;
  }

  /** Inspects one record; returns the checkpoint once a usable one is found. */
  inspect(
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
