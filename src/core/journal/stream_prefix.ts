import type { RecordBody } from "../../generated/log_records.ts";
import type { LogOffset } from "../identity/mod.ts";
import { numbered } from "../identity/mod.ts";
import type { StreamSnapshot } from "../links/mod.ts";
import { CheckpointSearch } from "./checkpoint_search.ts";
import type { LogItem } from "./log_service.ts";
import {
  readBody,
  readEnvelope,
  type RecordEnvelope,
} from "./record_reading.ts";
import { SequenceFilter } from "./sequence_filter.ts";
import type { StreamFold } from "./stream_fold.ts";

/** Checks that a test can disable; production code leaves all enabled. */
export interface JournalGuards {
  /**
   * A duplicate of a record, or one after a later one of its writer, is void.
   */
  readonly dropsRepeats: boolean;
  /** Expired records are replaced by a state that includes them. */
  readonly closesGaps: boolean;
}

export interface StreamPrefixOptions {
  readonly fold: StreamFold;
  readonly guards?: Partial<JournalGuards>;
  /** A record counts and the fold has applied it. */
  readonly onApplied: (offset: LogOffset, body: RecordBody) => void;
  /**
   * A record has been read and is not a repeat, whether its body is known or
   * not.
   */
  readonly onRead: (offset: LogOffset, envelope: RecordEnvelope) => void;
  /** The state was replaced by a snapshot or checkpoint. */
  readonly onRestored: (position: LogOffset) => void;
}

/**
 * The contiguous prefix of a stream that a process has applied: position, fold
 * and filter, which only move forward and only together.
 */
export class StreamPrefix {
  readonly #options: StreamPrefixOptions;
  readonly #filter = new SequenceFilter();
  #search: CheckpointSearch | undefined;
  #position = -1;
  #unreadable = 0;
  #repeated = 0;
  #gaps = 0;

  constructor(options: StreamPrefixOptions) {
    this.#options = options;
  }

  /** Offset of the last record that the state includes; -1 before the first. */
  get position(): LogOffset {
    return numbered(this.#position);
  }

  /** Offset of the record to read next. */
  get next(): LogOffset {
    return numbered(this.#search?.next ?? this.#position + 1);
  }

  /**
   * True while records are missing and no state that includes them has been
   * found.
   */
  get hasMissingRecords(): boolean {
    return this.#search !== undefined;
  }

  /** Records that do not match the schema. */
  get unreadable(): number {
    return this.#unreadable;
  }

  /** Duplicate records, and records after a later one of their writer. */
  get repeated(): number {
    return this.#repeated;
  }

  /** Number of times that records had expired before they were read. */
  get gaps(): number {
    return this.#gaps;
  }

  /** The whole state that another process needs to continue from here. */
  save(): StreamSnapshot {
    const state = {
      fold: this.#options.fold.save(),
      writers: this.#filter.save(),
    };
    return { upTo: this.#position, state };
  }

  /** Replaces the state with a saved one; ignores one that is not ahead. */
  restore({ state, upTo }: StreamSnapshot): void {
    if (upTo <= this.#position) return;
    this.#search = undefined;
    this.#options.fold.load((state.fold ?? {}) as Record<string, unknown>);
    this.#filter.load(state.writers);
    this.#position = upTo;
    this.#options.onRestored(numbered(upTo));
  }

  /** Processes records that were read from `next` on. */
  processItems(items: readonly LogItem[]): void {
    for (const item of items) {
      if (this.#search !== undefined) this.#searchCheckpoint(item);
      else this.#apply(item);
    }
  }

  /**
   * Handles the expiry of the records between the position and `oldest`. If the
   * fold continued without them, this process's state would diverge permanently
   * from all others'. Instead no record counts until a state that includes the
   * missing ones is found. Returns false if the gap is already closed.
   */
  handleGap(oldest: LogOffset): boolean {
    // A peer's state may have arrived while the read was in progress.
    if (this.#position + 1 >= oldest) return false;
    this.#gaps += 1;
    if (this.#options.guards?.closesGaps === false) {
      this.#position = oldest - 1;
      return false;
    }
    this.#search = new CheckpointSearch(oldest);
    return true;
  }

  #searchCheckpoint(item: LogItem): void {
    const body = readBody(readEnvelope(item.value)?.body);
    const found = this.#search?.inspect(item, body);
    if (found === undefined) return;
    this.restore(found.checkpoint);
    for (const next of found.following) this.#apply(next);
  }

  #apply(item: LogItem): void {
    if (item.offset !== this.#position + 1) return;
    this.#position = item.offset;
    const envelope = readEnvelope(item.value);
    if (envelope === undefined) {
      this.#unreadable += 1;
      return;
    }
    const isNew = this.#filter.admit(envelope);
    if (!isNew && this.#options.guards?.dropsRepeats !== false) {
      this.#repeated += 1;
      return;
    }
    this.#applyBody(item.offset, readBody(envelope.body));
    this.#options.onRead(item.offset, envelope);
  }

  #applyBody(offset: LogOffset, body: RecordBody | undefined): void {
    if (body === undefined) {
      this.#unreadable += 1;
      return;
    }
    if (body.kind !== "checkpoint") this.#options.fold.apply(offset, body);
    this.#options.onApplied(offset, body);
  }
}
