import type { Result } from "neverthrow";
import type { RecordBody } from "../../generated/log_records.ts";
import {
  type Incarnation,
  type LogOffset,
  numbered,
  type ProcessId,
} from "../identity/mod.ts";
import type { StreamSnapshot } from "../links/mod.ts";
import type { Random } from "../random/mod.ts";
import { type TimerService, withTimeout } from "../time/mod.ts";
import { Appender } from "./appender.ts";
import { CheckpointWriter } from "./checkpoint_writer.ts";
import type { JournalFailure } from "./errors.ts";
import type { LogService, StreamName } from "./log_service.ts";
import { PeerSource } from "./peer_source.ts";
import type { StreamFold } from "./stream_fold.ts";
import { type JournalGuards, StreamPrefix } from "./stream_prefix.ts";
import { StreamReader } from "./stream_reader.ts";

export interface JournalOptions {
  readonly guards?: Partial<JournalGuards>;
  readonly log: LogService;
  readonly stream: StreamName;
  readonly fold: StreamFold;
  readonly timer: TimerService;
  readonly random: Random;
  readonly writer: ProcessId;
  /** Incarnation of the process; sequence numbers start at 0 in each. */
  readonly incarnation: Incarnation;
  /** How long a record waits for others to share its append. */
  readonly appendDelayMilliseconds: number;
  /** How long an append is retried before it fails. */
  readonly giveUpMilliseconds?: number;
  /** Returns the highest snapshot of any peer, if one has any. */
  readonly peers?: () => Promise<StreamSnapshot | undefined>;
  /** Number of records after which a new checkpoint is due. */
  readonly checkpointRecords: number;
  /**
   * Time after which a new checkpoint is due; well below the log's retention.
   */
  readonly checkpointMilliseconds?: number;
  /** False for readers that never write checkpoints. */
  readonly writesCheckpoints?: boolean;
  /** A record counts and the fold has applied it. */
  readonly onApplied?: (offset: LogOffset, body: RecordBody) => void;
  /**
   * All records of one read have been processed, whether they counted or not.
   */
  readonly onPage?: () => void;
  /** The state was replaced by a snapshot or checkpoint. */
  readonly onRestored?: (position: LogOffset) => void;
  readonly onState?: (reachable: boolean) => void;
}

/** Counts of skipped records and completed operations, for metrics. */
export interface JournalCounts {
  /** Records that do not match the schema. */
  readonly unreadable: number;
  /** Duplicate records, and records after a later one of their writer. */
  readonly repeated: number;
  /** Number of times that records had expired before they were read. */
  readonly gaps: number;
  readonly checkpointsWritten: number;
  readonly appendCalls: number;
}

const DEFAULT_APPEND_TIMEOUT_MILLISECONDS = 5_000;
const DEFAULT_CHECKPOINT_INTERVAL_MILLISECONDS = 600_000;
const FRESHNESS_READ_TIMEOUT_MILLISECONDS = 15_000;

/**
 * One process's view of one stream: reads it without gaps into a fold and
 * appends to it. The position only increases: a replica that answers with an
 * older head delays the journal and never moves it back.
 */
export class Journal {
  readonly #options: JournalOptions;
  readonly #reader: StreamReader;
  readonly #appender: Appender;
  readonly #checkpoints: CheckpointWriter;
  readonly #peers: PeerSource;
  readonly #prefix: StreamPrefix;
  #isQueryingPeersAtStart = false;
  #lastReachable = true;
  #checkpointsWritten = 0;

  constructor(options: JournalOptions) {
    this.#options = options;
    this.#prefix = this.#createPrefix();
    this.#reader = this.#createReader();
    this.#appender = this.#createAppender();
    this.#checkpoints = this.#createCheckpoints();
    this.#peers = new PeerSource({
      timer: options.timer,
      peers: options.peers,
      // If the peer's state also ends before a gap, the next read detects the
      // rest of the gap.
      onSnapshot: (snapshot) => this.#prefix.restore(snapshot),
    });
  }

  /**
   * Starts reading, and queries the peers as well as the log. If the first
   * replica of the log to answer is behind, a restarted process would otherwise
   * follow an older configuration than before its restart.
   */
  start(): void {
    this.#isQueryingPeersAtStart = true;
    this.#options.timer.run(() =>
      this.#peers.query().then(() => this.#isQueryingPeersAtStart = false)
    );
    this.#reader.start();
    if (this.#options.writesCheckpoints !== false) this.#checkpoints.start();
  }

  /** Settles pending appends; a record that was sent may still be appended. */
  stop(): void {
    this.#reader.stop();
    this.#checkpoints.stop();
    this.#appender.stop();
  }

  /**
   * Appends a record; settles with its offset once it has been read back.
   * `append_not_made`: no reader ever applies it; `append_unknown`: one may.
   */
  append(body: RecordBody): Promise<Result<LogOffset, JournalFailure>> {
    return this.#appender.append(body);
  }

  /** Offset of the last record that the state includes; -1 before the first. */
  get position(): LogOffset {
    return this.#prefix.position;
  }

  /** False while the log service can't be read. */
  get reachable(): boolean {
    return this.#reader.reachable;
  }

  /** True once every record that any replica is known to have has been read. */
  get caughtUp(): boolean {
    const head = this.#reader.highestHead;
    if (this.#isQueryingPeersAtStart || this.missingRecords) return false;
    return head >= 0 && this.position + 1 >= head;
  }

  /**
   * Another process has read the stream up to below `head`. Otherwise, if a
   * replica of the log is stuck, this process would take its head for the end
   * of the log and follow an old configuration until the replica recovers.
   */
  noteHead(head: number): void {
    this.#reader.noteHead(head);
  }

  /**
   * True while records are missing and no state that includes them has been
   * found.
   */
  get missingRecords(): boolean {
    return this.#prefix.hasMissingRecords;
  }

  /** Timer time of the log's last answer. */
  get lastAnswer(): number | undefined {
    return this.#reader.lastAnswerAt;
  }

  /** Reads the log to check that this process has read all of it. */
  async isFresh(): Promise<boolean> {
    const { log, stream, timer } = this.#options;
    const answer = await withTimeout(
      log.read(stream, {
        from: numbered(this.position + 1),
        limit: 1,
        waitMilliseconds: 0,
      }),
      { timer, milliseconds: FRESHNESS_READ_TIMEOUT_MILLISECONDS },
    );
    if (answer === undefined || answer.isErr()) return false;
    return answer.value.head <= this.position + 1;
  }

  get counts(): JournalCounts {
    return {
      unreadable: this.#prefix.unreadable,
      repeated: this.#prefix.repeated,
      gaps: this.#prefix.gaps,
      checkpointsWritten: this.#checkpointsWritten,
      appendCalls: this.#appender.calls,
    };
  }

  /** The state at `position`, for a peer that can't read the log. */
  snapshot(): StreamSnapshot {
    return this.#prefix.save();
  }

  #createPrefix(): StreamPrefix {
    const { fold, guards, incarnation, writer } = this.#options;
    return new StreamPrefix({
      fold,
      guards,
      onApplied: (offset, body) => {
        if (body.kind === "checkpoint") this.#checkpoints.observe(body.upTo);
        this.#options.onApplied?.(offset, body);
      },
      onRead: (offset, envelope) => {
        const isOwn = envelope.writer === writer &&
          envelope.incarnation === incarnation;
        if (isOwn) this.#appender.confirm(offset, envelope.sequence);
      },
      onRestored: (position) => this.#options.onRestored?.(position),
    });
  }

  #createReader(): StreamReader {
    return new StreamReader({
      ...this.#options,
      next: () => this.#prefix.next,
      onItems: (items) => {
        this.#prefix.processItems(items);
        this.#options.onPage?.();
      },
      onGap: async (oldest) => {
        if (this.#prefix.handleGap(oldest)) await this.#peers.query();
      },
      onReachable: (reachable) => this.#handleReachability(reachable),
      onIdle: () => this.#handleIdle(),
    });
  }

  async #handleReachability(reachable: boolean): Promise<void> {
    if (reachable !== this.#lastReachable) this.#options.onState?.(reachable);
    this.#lastReachable = reachable;
    if (reachable) return;
    if (this.#hasState()) await this.#peers.queryDuringOutage();
    else await this.#peers.query();
  }

  #hasState(): boolean {
    return this.position >= 0 && !this.missingRecords;
  }

  /** Handles a read without new records. */
  async #handleIdle(): Promise<void> {
    if (this.missingRecords) await this.#peers.query();
    else if (this.caughtUp) this.#peers.resetBackoff();
    else await this.#peers.queryWhileBehind();
  }

  #createAppender(): Appender {
    return new Appender({
      ...this.#options,
      delayMilliseconds: this.#options.appendDelayMilliseconds,
      timeoutMilliseconds: this.#options.giveUpMilliseconds ??
        DEFAULT_APPEND_TIMEOUT_MILLISECONDS,
      onHead: (head) => this.noteHead(head),
      reachable: () => this.reachable,
    });
  }

  #createCheckpoints(): CheckpointWriter {
    return new CheckpointWriter({
      timer: this.#options.timer,
      random: this.#options.random,
      recordInterval: this.#options.checkpointRecords,
      intervalMilliseconds: this.#options.checkpointMilliseconds ??
        DEFAULT_CHECKPOINT_INTERVAL_MILLISECONDS,
      position: () => this.position,
      canWrite: () => this.reachable && this.caughtUp,
      write: () => this.#writeCheckpoint(),
    });
  }

  async #writeCheckpoint(): Promise<void> {
    const { upTo, state } = this.snapshot();
    const result = await this.append({ kind: "checkpoint", upTo, state });
    if (result.isOk()) this.#checkpointsWritten += 1;
  }
}
