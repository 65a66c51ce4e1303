import type { Result } from "neverthrow";
import type { Failure } from "../../errors/mod.ts";
import type { Random } from "../../random/mod.ts";
import { backoffMilliseconds } from "../../retry/mod.ts";
import type { Subscription, TimerService } from "../../time/mod.ts";

/** The newest record of a key; without a value the key is gone. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** A stretch of a topic: the records from one position up to another. */
export interface TopicSpan {
  readonly from: number;
  /** Position behind the last record. */
  readonly to: number;
}

/** Records and the position behind them. */
export interface KeyedRecords {
  readonly records: readonly KeyedRecord[];
  readonly next: number;
}

/** `store_expired`: the wanted records are gone; start from the newest. */
export type StoreFailure = Failure<"store_unavailable" | "store_expired">;

/** A topic of which the newest record of each key matters. */
export interface KeyedTopic {
  /** The newest record of every key. */
  newest(): Promise<Result<KeyedRecords, StoreFailure>>;
  /** Records from a position on; waits for one, at most so long. */
  since(
    position: number,
    waitMilliseconds: number,
  ): Promise<Result<KeyedRecords, StoreFailure>>;
}

/**
 * How a peer's reading fits to one's own. `ahead`: it went on from here, and
 * this reader now stands behind it. `same`: there is nothing new. `apart`: it
 * leaves out what this reader has not seen. `older`: this reader is further.
 */
export type PeerReading = "ahead" | "same" | "apart" | "older";

export interface TopicReaderOptions {
  readonly topic: KeyedTopic;
  readonly timer: TimerService;
  readonly random: Random;
  /** How long a read waits at the store for a record, milliseconds. */
  readonly waitMilliseconds: () => number;
  /** Pause between two reads, milliseconds; asked anew each time. */
  readonly pauseMilliseconds: () => number;
  /** Every key's newest record; what it doesn't name is gone. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /** A read behind a position has ended; there may be no record in it. */
  readonly onRecords: (
    records: readonly KeyedRecord[],
    span: TopicSpan,
  ) => void;
  readonly onFailure: (failure: StoreFailure) => void;
  /** A read has succeeded; `lost` tells whether the one before had failed. */
  readonly onReached: (options: { readonly lost: boolean }) => void;
}

/**
 * Longest wait between reads while the store fails: its return is to be
 * noticed well before configurations and leaving endpoints have to be known.
 */
const LONGEST_RETRY_MILLISECONDS = 1_600;
const FIRST_RETRY_MILLISECONDS = 100;

/**
 * Follows a keyed topic: the newest of every key first, then record by record.
 * Where the store has dropped the records in between, it starts again from the
 * newest, so that a gap is never taken for "nothing has changed".
 */
export class TopicReader {
  readonly #options: TopicReaderOptions;
  #position: number | undefined;
  #failures = 0;
  /** Counts the reads; the answer to an earlier one is passed over. */
  #run = 0;
  #isReading = false;
  #stopped = false;
  #next: Subscription | undefined;

  constructor(options: TopicReaderOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#read();
  }

  stop(): void {
    this.#stopped = true;
    this.#giveUp();
  }

  /** Passes over what is waited for. */
  #giveUp(): void {
    this.#run += 1;
    this.#isReading = false;
    this.#next?.cancel();
  }

  /**
   * Reads now, over whatever is waited for. Load: a connection that has gone
   * silent holds a waiting read; a peer's word tells that there is something.
   */
  readNow(): void {
    if (this.#stopped) return;
    this.#giveUp();
    void this.#read();
  }

  /**
   * Takes a peer's word of a span that it has just read, and pauses anew. Also
   * where there was nothing in it: a calm topic has no records for minutes,
   * and each entry would go on looking for itself.
   */
  peerRead({ from, to }: TopicSpan): PeerReading {
    const position = this.#position;
    if (position === undefined || position < from || this.#stopped) {
      return "apart";
    }
    if (position > to) return "older";
    if (position < to) {
      // An answer that is on its way may be older than the span.
      this.#giveUp();
      this.#position = to;
      this.#readAfter(this.#options.pauseMilliseconds());
      return "ahead";
    }
    if (!this.#isReading) {
      this.#next?.cancel();
      this.#readAfter(this.#options.pauseMilliseconds());
    }
    return "same";
  }

  async #read(): Promise<void> {
    const { topic, waitMilliseconds } = this.#options;
    const position = this.#position;
    const run = ++this.#run;
    this.#isReading = true;
    const result = position === undefined
      ? await topic.newest()
      : await topic.since(position, waitMilliseconds());
    if (run !== this.#run) return;
    this.#isReading = false;
    if (result.isErr()) this.#failed(result.error);
    else this.#take(result.value, position);
  }

  #take(read: KeyedRecords, from: number | undefined): void {
    const { onReached, onRecords, onSnapshot, pauseMilliseconds } =
      this.#options;
    onReached({ lost: this.#failures > 0 });
    this.#failures = 0;
    this.#position = read.next;
    if (from === undefined) onSnapshot(read.records);
    else onRecords(read.records, { from, to: read.next });
    this.#readAfter(pauseMilliseconds());
  }

  #failed(failure: StoreFailure): void {
    const { onFailure, random } = this.#options;
    if (failure.name === "store_expired") {
      this.#position = undefined;
      return this.#readAfter(0);
    }
    this.#failures += 1;
    onFailure(failure);
    this.#readAfter(
      FIRST_RETRY_MILLISECONDS +
        backoffMilliseconds(this.#failures, {
          random,
          initialMilliseconds: FIRST_RETRY_MILLISECONDS,
          maxMilliseconds: LONGEST_RETRY_MILLISECONDS,
        }),
    );
  }

  #readAfter(milliseconds: number): void {
    this.#next = this.#options.timer.after(
      milliseconds,
      () => void this.#read(),
    );
  }
}
