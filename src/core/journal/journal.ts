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
import { beforeDeadline, type TimerService } from "../time/mod.ts";
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
  /** One run of the process; sequence numbers start at 0 in each. */
  readonly incarnation: Incarnation;
  /** How long a record waits for others that share its append. */
  readonly appendDelayMilliseconds: number;
  /** How long an append is tried before its caller is told. */
  readonly giveUpMilliseconds?: number;
  /** The highest snapshot that a peer offers, if any does. */
  readonly peers?: () => Promise<StreamSnapshot | undefined>;
  /** Records after which the state is written again. */
  readonly checkpointRecords: number;
  /** Time after which it is written again; well below the log's retention. */
  readonly checkpointMilliseconds?: number;
  /** False for readers that leave checkpoints to others. */
  readonly writesCheckpoints?: boolean;
  /** A record counts and the fold has it. */
  readonly onApplied?: (offset: LogOffset, body: RecordBody) => void;
  /** Everything that one read brought has been taken, whatever it was. */
  readonly onPage?: () => void;
  /** The state has jumped to a snapshot or checkpoint. */
  readonly onRestored?: (position: LogOffset) => void;
  readonly onState?: (reachable: boolean) => void;
}

/** Counts of what a journal has passed over or done, for metrics. */
export interface JournalCounts {
  /** Records that do not fit the schema. */
  readonly unreadable: number;
  /** Records that landed again, or after a later one of their writer. */
  readonly repeated: number;
  /** Times that records had expired before they were read. */
  readonly gaps: number;
  readonly checkpointsWritten: number;
  readonly appendCalls: number;
}

const DEFAULT_GIVE_UP_MILLISECONDS = 5_000;
const DEFAULT_CHECKPOINT_MILLISECONDS = 600_000;
const FRESH_READ_MILLISECONDS = 15_000;

/**
 * One process's view of one stream: reads it without holes into a fold and
 * appends to it. The position only rises: a replica that answers with an older
 * head delays the journal and never takes it back.
 */
export class Journal {
  readonly #options: JournalOptions;
  readonly #reader: StreamReader;
  readonly #appender: Appender;
  readonly #checkpoints: CheckpointWriter;
  readonly #peers: PeerSource;
  readonly #prefix: StreamPrefix;
  #askingAtStart = false;
  #toldReachable = true;
  #checkpointsWritten = 0;

  constructor(options: JournalOptions) {
    this.#options = options;
    this.#prefix = this.#makePrefix();
    this.#reader = this.#makeReader();
    this.#appender = this.#makeAppender();
    this.#checkpoints = this.#makeCheckpoints();
    this.#peers = new PeerSource({
      timer: options.timer,
      peers: options.peers,
      // Where the peer's state ends before a gap as well, the next read finds
      // the rest of the gap.
      onSnapshot: (snapshot) => this.#prefix.restore(snapshot),
    });
  }

  /**
   * Asks the peers as well as the log. What goes wrong otherwise: the replica
   * of the log that answers first is behind, and a restarted process follows
   * an older configuration than before its restart.
   */
  start(): void {
    this.#askingAtStart = true;
    void this.#peers.ask().then(() => this.#askingAtStart = false);
    this.#reader.start();
    if (this.#options.writesCheckpoints !== false) this.#checkpoints.start();
  }

  /** Settles what is open; a record that was sent may still land. */
  stop(): void {
    this.#reader.stop();
    this.#checkpoints.stop();
    this.#appender.stop();
  }

  /**
   * Settles once the record has been read back, with its offset.
   * `append_not_made`: no reader ever takes it; `append_unknown`: one may.
   */
  append(body: RecordBody): Promise<Result<LogOffset, JournalFailure>> {
    return this.#appender.append(body);
  }

  /** Offset of the last record that the fold stands for; -1 at first. */
  get position(): LogOffset {
    return this.#prefix.position;
  }

  /** False while the log service can't be read. */
  get reachable(): boolean {
    return this.#reader.reachable;
  }

  /** True once everything that any replica has told of has been read. */
  get caughtUp(): boolean {
    const head = this.#reader.highestHead;
    if (this.#askingAtStart || this.missingRecords) return false;
    return head >= 0 && this.position + 1 >= head;
  }

  /**
   * Another process has read the stream up to below `head`. What goes wrong
   * without it: a replica of the log is stuck, this process takes it for the
   * whole log and follows an old configuration for as long.
   */
  noteHead(head: number): void {
    this.#reader.noteHead(head);
  }

  /** True while records are missing and no state after them has been found. */
  get missingRecords(): boolean {
    return this.#prefix.missingRecords;
  }

  /** Timer time of the log's last answer. */
  get lastAnswer(): number | undefined {
    return this.#reader.lastAnswer;
  }

  /** Asks the log now whether everything on it has been read here. */
  async isFresh(): Promise<boolean> {
    const { log, stream, timer } = this.#options;
    const answer = await beforeDeadline(
      log.read(stream, {
        from: numbered(this.position + 1),
        limit: 1,
        waitMilliseconds: 0,
      }),
      { timer, milliseconds: FRESH_READ_MILLISECONDS },
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

  #makePrefix(): StreamPrefix {
    const { fold, guards, incarnation, writer } = this.#options;
    return new StreamPrefix({
      fold,
      guards,
      onApplied: (offset, body) => {
        if (body.kind === "checkpoint") this.#checkpoints.seen(body.upTo);
        this.#options.onApplied?.(offset, body);
      },
      onRead: (offset, envelope) => {
        const isOwn = envelope.writer === writer &&
          envelope.incarnation === incarnation;
        if (isOwn) this.#appender.seen(offset, envelope.sequence);
      },
      onRestored: (position) => this.#options.onRestored?.(position),
    });
  }

  #makeReader(): StreamReader {
    return new StreamReader({
      ...this.#options,
      next: () => this.#prefix.next,
      onItems: (items) => {
        this.#prefix.take(items);
        this.#options.onPage?.();
      },
      onGap: async (oldest) => {
        if (this.#prefix.openGap(oldest)) await this.#peers.ask();
      },
      onReachable: (reachable) => this.#reachability(reachable),
      onIdle: () => this.#idle(),
    });
  }

  async #reachability(reachable: boolean): Promise<void> {
    if (reachable !== this.#toldReachable) this.#options.onState?.(reachable);
    this.#toldReachable = reachable;
    if (reachable) return;
    if (this.#hasState()) await this.#peers.askInOutage();
    else await this.#peers.ask();
  }

  #hasState(): boolean {
    return this.position >= 0 && !this.missingRecords;
  }

  /** The replica that was asked has nothing new. */
  async #idle(): Promise<void> {
    if (this.missingRecords) await this.#peers.ask();
    else if (this.caughtUp) this.#peers.troubleEnded();
    else await this.#peers.askWhileBehind();
  }

  #makeAppender(): Appender {
    return new Appender({
      ...this.#options,
      delayMilliseconds: this.#options.appendDelayMilliseconds,
      giveUpMilliseconds: this.#options.giveUpMilliseconds ??
        DEFAULT_GIVE_UP_MILLISECONDS,
      onHead: (head) => this.noteHead(head),
      reachable: () => this.reachable,
    });
  }

  #makeCheckpoints(): CheckpointWriter {
    return new CheckpointWriter({
      timer: this.#options.timer,
      random: this.#options.random,
      records: this.#options.checkpointRecords,
      milliseconds: this.#options.checkpointMilliseconds ??
        DEFAULT_CHECKPOINT_MILLISECONDS,
      position: () => this.position,
      ready: () => this.reachable && this.caughtUp,
      write: () => this.#writeCheckpoint(),
    });
  }

  async #writeCheckpoint(): Promise<void> {
    const { upTo, state } = this.snapshot();
    const result = await this.append({ kind: "checkpoint", upTo, state });
    if (result.isOk()) this.#checkpointsWritten += 1;
  }
}
