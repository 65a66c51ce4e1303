import type { Result } from "neverthrow";
import type { Failure } from "../../errors/mod.ts";
import type { Random } from "../../random/mod.ts";
import { backoffMilliseconds } from "../../retry/mod.ts";
import type { Subscription, TimerService } from "../../time/mod.ts";

/** The newest record of a key; without a value, the key was deleted. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** A range of records of a topic, from one position up to another. */
export interface TopicSpan {
  readonly from: number;
  /** Position after the last record. */
  readonly to: number;
}

/** Records and the position after them. */
export interface KeyedRecords {
  readonly records: readonly KeyedRecord[];
  readonly next: number;
  /** True if the topic had further records; absent means false. */
  readonly hasMore?: boolean;
}

/**
 * `store_expired`: the requested records are gone; read the newest ones again.
 */
export type StoreFailure = Failure<"store_unavailable" | "store_expired">;

export interface TopicReadOptions {
  /** Time that the read waits at the store for a record; 0: not at all. */
  readonly waitMilliseconds: number;
  /** Aborted when the result of the read is no longer needed. */
  readonly signal?: AbortSignal;
}

/** A topic of which only the newest record of each key is relevant. */
export interface KeyedTopic {
  /** The newest record of every key. */
  newest(): Promise<Result<KeyedRecords, StoreFailure>>;
  /** Records from a position on; waits for a record for at most this time. */
  since(
    position: number,
    options: TopicReadOptions,
  ): Promise<Result<KeyedRecords, StoreFailure>>;
}

/**
 * Relation of a peer's read to the own position. `ahead`: it continues from
 * here, and this reader has moved to its end. `same`: there is nothing new.
 * `apart`: it misses records that this reader has not read. `older`: this
 * reader is further ahead.
 */
export type PeerReadResult = "ahead" | "same" | "apart" | "older";

export interface TopicReaderOptions {
  readonly topic: KeyedTopic;
  readonly timer: TimerService;
  readonly random: Random;
  /** Time that a read waits at the store for a record, milliseconds. */
  readonly waitMilliseconds: () => number;
  /**
   * Maximum backoff between reads while the store fails, milliseconds; by
   * default 1.6 s.
   */
  readonly maxRetryMilliseconds?: () => number;
  /** Pause between two reads, milliseconds; called before each pause. */
  readonly pauseMilliseconds: () => number;
  /** Called with the newest record of every key; other keys were deleted. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /** Called after a read from a position, with or without records. */
  readonly onRecords: (
    records: readonly KeyedRecord[],
    span: TopicSpan,
  ) => void;
  readonly onFailure: (failure: StoreFailure) => void;
  /**
   * Called after each successful read; `lost` is true if the previous one had
   * failed.
   */
  readonly onReadSucceeded: (options: { readonly lost: boolean }) => void;
}

const DEFAULT_MAX_RETRY_MILLISECONDS = 1_600;
const INITIAL_RETRY_MILLISECONDS = 100;

/**
 * Follows a keyed topic: reads the newest record of every key first, and then
 * each new record. If the store has dropped records in between, it reads the
 * newest ones again, so that a gap is never taken for the absence of changes.
 */
export class TopicReader {
  readonly #options: TopicReaderOptions;
  #position: number | undefined;
  #failures = 0;
  /** Number of the current read; the results of earlier reads are ignored. */
  #readNumber = 0;
  /** Start of the read in progress. */
  #readingSince: number | undefined;
  #stopped = false;
  #readInProgress: AbortController | undefined;
  #scheduledRead: Subscription | undefined;

  constructor(options: TopicReaderOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.timer.run(() => this.#read());
  }

  stop(): void {
    this.#stopped = true;
    this.#abandonRead();
  }

  /** How long the present read has been pending; 0 during a pause. */
  get pendingMilliseconds(): number {
    return this.#readingSince === undefined
      ? 0
      : this.#options.timer.now() - this.#readingSince;
  }

  /** Abandons the pending read or pause. */
  #abandonRead(): void {
    this.#readNumber += 1;
    this.#readingSince = undefined;
    this.#readInProgress?.abort();
    this.#scheduledRead?.cancel();
  }

  /**
   * Reads immediately and abandons a pending read, which may hang on a dead
   * connection while a peer has announced new records.
   */
  readNow(): void {
    if (this.#stopped) return;
    this.#abandonRead();
    this.#options.timer.run(() => this.#read());
  }

  /**
   * Reads without waiting while another read waits and may hang on a dead
   * connection. If it finds records, or the store had failed, the waiting read
   * starts again on another connection. True if all records that the store had
   * are applied.
   */
  async check(): Promise<boolean> {
    const position = this.#position;
    if (this.#stopped) return false;
    if (position === undefined) {
      if (this.#readingSince === undefined) this.readNow();
      return false;
    }
    const result = await this.#options.topic.since(position, {
      waitMilliseconds: 0,
    });
    if (this.#stopped) return false;
    if (result.isErr()) {
      if (this.#position === position) this.#handleFailedCheck(result.error);
      return false;
    }
    // The waiting read has moved on; it may have found that records are gone.
    if (this.#position !== position) return this.#position !== undefined;
    const read = result.value;
    const restarts = read.next !== position || this.#failures > 0;
    if (restarts) this.#abandonRead();
    this.#acceptRead(read, position);
    if (restarts) this.#scheduleRead(this.#options.pauseMilliseconds());
    return read.hasMore !== true;
  }

  #handleFailedCheck(failure: StoreFailure): void {
    if (failure.name === "store_expired") {
      this.#position = undefined;
      return this.readNow();
    }
    this.#failures += 1;
    this.#options.onFailure(failure);
  }

  /**
   * Applies the span that a peer has just read, and restarts the pause, even if
   * the span is empty: a quiet topic has no records for minutes, and each entry
   * would otherwise continue to poll it.
   */
  applyPeerRead({ from, to }: TopicSpan): PeerReadResult {
    const position = this.#position;
    if (position === undefined || position < from || this.#stopped) {
      return "apart";
    }
    if (position > to) return "older";
    if (position < to) {
      // The result of a pending read may be older than the span.
      this.#abandonRead();
      this.#position = to;
      this.#scheduleRead(this.#options.pauseMilliseconds());
      return "ahead";
    }
    if (this.#readingSince === undefined) {
      this.#scheduledRead?.cancel();
      this.#scheduleRead(this.#options.pauseMilliseconds());
    }
    return "same";
  }

  async #read(): Promise<void> {
    const { topic, waitMilliseconds } = this.#options;
    const position = this.#position;
    const readNumber = ++this.#readNumber;
    this.#readingSince = this.#options.timer.now();
    const controller = new AbortController();
    this.#readInProgress = controller;
    try {
      const result = position === undefined
        ? await topic.newest()
        : await topic.since(position, {
          waitMilliseconds: waitMilliseconds(),
          signal: controller.signal,
        });
      if (readNumber !== this.#readNumber) return;
      this.#readingSince = undefined;
      if (result.isErr()) return this.#handleFailure(result.error);
      this.#acceptRead(result.value, position);
      this.#scheduleRead(this.#options.pauseMilliseconds());
    } catch (cause) {
      if (readNumber === this.#readNumber) this.#retryAfterThrow();
      throw cause;
    }
  }

  /** A reader that stops would leave its entry with the state of today. */
  #retryAfterThrow(): void {
    this.#readingSince = undefined;
    this.#failures += 1;
    this.#scheduleRetry();
  }

  #acceptRead(read: KeyedRecords, from: number | undefined): void {
    const { onReadSucceeded, onRecords, onSnapshot } = this.#options;
    onReadSucceeded({ lost: this.#failures > 0 });
    this.#failures = 0;
    this.#position = read.next;
    try {
      if (from === undefined) onSnapshot(read.records);
      else onRecords(read.records, { from, to: read.next });
    } catch (cause) {
      // Some records may not be applied; a snapshot has them all.
      this.#position = undefined;
      throw cause;
    }
  }

  #handleFailure(failure: StoreFailure): void {
    if (failure.name === "store_expired") {
      this.#position = undefined;
      return this.#scheduleRead(0);
    }
    this.#failures += 1;
    this.#options.onFailure(failure);
    this.#scheduleRetry();
  }

  #scheduleRetry(): void {
    const { maxRetryMilliseconds, random } = this.#options;
    this.#scheduleRead(
      INITIAL_RETRY_MILLISECONDS +
        backoffMilliseconds(this.#failures, {
          random,
          initialMilliseconds: INITIAL_RETRY_MILLISECONDS,
          maxMilliseconds: maxRetryMilliseconds?.() ??
            DEFAULT_MAX_RETRY_MILLISECONDS,
        }),
    );
  }

  #scheduleRead(milliseconds: number): void {
    this.#scheduledRead = this.#options.timer.after(
      milliseconds,
      () => this.#read(),
    );
  }
}
