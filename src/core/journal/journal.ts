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
import { CheckpointSearch } from "./checkpoint_search.ts";
import { CheckpointWriter } from "./checkpoint_writer.ts";
import type { JournalFailure } from "./errors.ts";
import type { LogItem, LogService, StreamName } from "./log_service.ts";
import {
  readBody,
  readEnvelope,
  type RecordEnvelope,
} from "./record_reading.ts";
import { PeerSource } from "./peer_source.ts";
import { SequenceFilter } from "./sequence_filter.ts";
import type { StreamFold } from "./stream_fold.ts";
import { StreamReader } from "./stream_reader.ts";

export interface JournalOptions {
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
  readonly #filter = new SequenceFilter();
  #search: CheckpointSearch | undefined;
  #askingAtStart = false;
  #position = -1;
  #toldReachable = true;
  #unreadable = 0;
  #repeated = 0;
  #gaps = 0;
  #checkpointsWritten = 0;

  constructor(options: JournalOptions) {
    this.#options = options;
    this.#reader = this.#makeReader();
    this.#appender = this.#makeAppender();
    this.#checkpoints = this.#makeCheckpoints();
    this.#peers = new PeerSource({
      timer: options.timer,
      peers: options.peers,
      // Where the peer's state ends before a gap as well, the next read finds
      // the rest of the gap.
      onSnapshot: ({ state, upTo }) => this.#restore(upTo, state),
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
    return numbered(this.#position);
  }

  /** False while the log service can't be read. */
  get reachable(): boolean {
    return this.#reader.reachable;
  }

  /** True once everything that any replica has told of has been read. */
  get caughtUp(): boolean {
    const head = this.#reader.highestHead;
    if (this.#askingAtStart || this.#search !== undefined) return false;
    return head >= 0 && this.#position + 1 >= head;
  }

  /** True while records are missing and no state after them has been found. */
  get missingRecords(): boolean {
    return this.#search !== undefined;
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
        from: numbered(this.#position + 1),
        limit: 1,
        waitMilliseconds: 0,
      }),
      { timer, milliseconds: FRESH_READ_MILLISECONDS },
    );
    if (answer === undefined || answer.isErr()) return false;
    return answer.value.head <= this.#position + 1;
  }

  get counts(): JournalCounts {
    return {
      unreadable: this.#unreadable,
      repeated: this.#repeated,
      gaps: this.#gaps,
      checkpointsWritten: this.#checkpointsWritten,
      appendCalls: this.#appender.calls,
    };
  }

  /** The state at `position`, for a peer that can't read the log. */
  snapshot(): StreamSnapshot {
    return { upTo: this.#position, state: this.#state() };
  }

  #state(): Record<string, unknown> {
    return { fold: this.#options.fold.save(), writers: this.#filter.save() };
  }

  #takeItems(items: readonly LogItem[]): void {
    for (const item of items) {
      if (this.#search !== undefined) this.#lookForCheckpoint(item);
      else this.#apply(item);
    }
    this.#options.onPage?.();
  }

  #apply(item: LogItem): void {
    if (item.offset !== this.#position + 1) return;
    this.#position = item.offset;
    const envelope = readEnvelope(item.value);
    if (envelope === undefined) {
      this.#unreadable += 1;
      return;
    }
    if (!this.#filter.admit(envelope)) {
      this.#repeated += 1;
      return;
    }
    const body = readBody(envelope.body);
    if (body === undefined) this.#unreadable += 1;
    else this.#applyBody(item.offset, body);
    if (this.#isOwn(envelope)) {
      this.#appender.seen(item.offset, envelope.sequence);
    }
  }

  #applyBody(offset: LogOffset, body: RecordBody): void {
    if (body.kind === "checkpoint") this.#checkpoints.seen(body.upTo);
    else this.#options.fold.apply(offset, body);
    this.#options.onApplied?.(offset, body);
  }

  #isOwn(envelope: RecordEnvelope): boolean {
    return envelope.writer === this.#options.writer &&
      envelope.incarnation === this.#options.incarnation;
  }

  /**
   * Records between the position and `oldest` have expired. What goes wrong
   * without this: the fold goes on without them, and this process differs from
   * all others for good. Instead it takes a peer's state or a checkpoint.
   */
  async #closeGap(oldest: LogOffset): Promise<void> {
    // A peer's state may have come while the read was under way.
    if (this.#position + 1 >= oldest) return;
    this.#gaps += 1;
    this.#search = new CheckpointSearch(oldest);
    await this.#peers.ask();
  }

  #lookForCheckpoint(item: LogItem): void {
    const body = readBody(readEnvelope(item.value)?.body);
    const found = this.#search?.look(item, body);
    if (found === undefined) return;
    const { checkpoint, following } = found;
    this.#restore(checkpoint.upTo, checkpoint.state);
    for (const next of following) this.#apply(next);
  }

  #restore(upTo: number, state: Readonly<Record<string, unknown>>): void {
    if (upTo <= this.#position) return;
    this.#search = undefined;
    this.#options.fold.load((state.fold ?? {}) as Record<string, unknown>);
    this.#filter.load(state.writers);
    this.#position = upTo;
    this.#options.onRestored?.(numbered(upTo));
  }

  #makeReader(): StreamReader {
    return new StreamReader({
      ...this.#options,
      next: () => numbered(this.#search?.next ?? this.#position + 1),
      onItems: (items) => this.#takeItems(items),
      onGap: (oldest) => this.#closeGap(oldest),
      onReachable: (reachable) => this.#reachability(reachable),
      onIdle: () => this.#idle(),
    });
  }

  async #reachability(reachable: boolean): Promise<void> {
    if (reachable !== this.#toldReachable) this.#options.onState?.(reachable);
    this.#toldReachable = reachable;
    if (reachable) this.#peers.outageEnded();
    else if (this.#hasState()) await this.#peers.askInOutage();
    else await this.#peers.ask();
  }

  #hasState(): boolean {
    return this.#position >= 0 && this.#search === undefined;
  }

  /** Nothing new on the stream; a search that found nothing asks again. */
  async #idle(): Promise<void> {
    if (this.#search !== undefined) await this.#peers.ask();
  }

  #makeAppender(): Appender {
    return new Appender({
      ...this.#options,
      delayMilliseconds: this.#options.appendDelayMilliseconds,
      giveUpMilliseconds: this.#options.giveUpMilliseconds ??
        DEFAULT_GIVE_UP_MILLISECONDS,
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
      position: () => this.#position,
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
