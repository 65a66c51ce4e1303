import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { LogRecord, RecordBody } from "../../generated/log_records.ts";
import { failure } from "../errors/mod.ts";
import type { Incarnation, LogOffset, ProcessId } from "../identity/mod.ts";
import { type Random, withJitter } from "../random/mod.ts";
import {
  sleep,
  type Subscription,
  type TimerService,
  withTimeout,
} from "../time/mod.ts";
import {
  APPEND_NOT_MADE,
  APPEND_UNKNOWN,
  type JournalFailure,
} from "./errors.ts";
import type { LogService, StreamName } from "./log_service.ts";

export interface AppenderOptions {
  readonly log: LogService;
  readonly stream: StreamName;
  readonly timer: TimerService;
  readonly random: Random;
  readonly writer: ProcessId;
  readonly incarnation: Incarnation;
  /** How long a record waits for others to share its append. */
  readonly delayMilliseconds: number;
  /** How long an append is retried before it fails. */
  readonly timeoutMilliseconds: number;
  /** Called with the stream's head, as known from the answer to an append. */
  readonly onHead: (head: number) => void;
  /** False while the log can't be read: appends then fail at once. */
  readonly reachable: () => boolean;
}

interface PendingRecord {
  readonly record: LogRecord;
  readonly settle: (result: Result<LogOffset, JournalFailure>) => void;
  timeout: Subscription | undefined;
  /** True from the time at which the record may have reached the log. */
  mayBeAppended: boolean;
}

/**
 * Largest number of records in one append. A burst has a few hundred records,
 * and the log serves only several hundred appends per second, while one append
 * can carry many records. The limit keeps one append within a few hundred
 * kilobytes.
 */
const MAX_RECORDS_PER_APPEND = 200;
/**
 * Largest number of queued records, so that a slow log does not grow memory
 * without bound; beyond it, an append fails at once and has no effect.
 */
const MAX_QUEUED_RECORDS = 5_000;
/**
 * Timeout of an append's answer, doubled for each further attempt: with a
 * constant timeout, a slow log receives every record several times and becomes
 * slower.
 */
const INITIAL_ANSWER_TIMEOUT_MILLISECONDS = 1_500;
/**
 * How long to wait for the record to be read back after a lost answer before
 * sending it again.
 */
const READ_BACK_WAIT_MILLISECONDS = 300;
const INITIAL_RETRY_MILLISECONDS = 50;
/** A single rejected call may be transient; two in a row are an outage. */
const REJECTIONS_UNTIL_OUTAGE = 2;
const MAX_RETRY_MILLISECONDS = 1_000;

/**
 * Appends records of one process to one stream: several records per append, one
 * append in flight, each settled once its own record has been read back.
 *
 * After a lost answer the same records are sent again with the same sequence
 * numbers. Only the first copy on the log counts, since every reader's filter
 * drops the others, so a repeated append has no second effect.
 */
export class Appender {
  readonly #options: AppenderOptions;
  #queue: PendingRecord[] = [];
  /** Records sent to the log and not yet read back, by sequence number. */
  readonly #unconfirmed = new Map<number, PendingRecord>();
  #sequence = 0;
  #running = false;
  #stopped = false;
  /** Consecutive calls that the log service rejected without effect. */
  #consecutiveRejections = 0;
  #endRetryWait: (() => void) | undefined;
  /** Number of calls of the log service's `append`, for metrics. */
  calls = 0;

  constructor(options: AppenderOptions) {
    this.#options = options;
  }

  append(body: RecordBody): Promise<Result<LogOffset, JournalFailure>> {
    if (this.#stopped) return this.#reject("the journal has stopped");
    if (!this.#options.reachable()) {
      return this.#reject("the log service is unreachable");
    }
    if (this.#isRejected()) {
      return this.#reject("the log service rejects appends");
    }
    if (this.#queue.length >= MAX_QUEUED_RECORDS) {
      return this.#reject("the append queue is full");
    }
    return new Promise((resolve) => {
      const pending = this.#createPending(body, resolve);
      this.#queue.push(pending);
      if (!this.#running) this.#options.timer.run(() => this.#run());
    });
  }

  /** A record of this incarnation has been read back and counts. */
  confirm(offset: LogOffset, sequence: number): void {
    const pending = this.#unconfirmed.get(sequence);
    if (pending === undefined) return;
    this.#settle(pending, ok(offset));
  }

  stop(): void {
    this.#stopped = true;
    for (const pending of [...this.#queue, ...this.#unconfirmed.values()]) {
      this.#fail(pending, "the journal has stopped");
    }
    this.#queue = [];
  }

  /**
   * True during an outage that the reader has not detected yet: its long poll
   * ends only seconds later. Until then each append would be retried for its
   * whole timeout, and a caller would wait for a certain failure. The append in
   * flight continues as the probe; later ones fail at once.
   */
  #isRejected(): boolean {
    return this.#running &&
      this.#consecutiveRejections >= REJECTIONS_UNTIL_OUTAGE;
  }

  #createPending(
    body: RecordBody,
    settle: PendingRecord["settle"],
  ): PendingRecord {
    const pending: PendingRecord = {
      record: {
        writer: this.#options.writer,
        incarnation: this.#options.incarnation,
        sequence: this.#sequence++,
        body,
      },
      settle,
      timeout: undefined,
      mayBeAppended: false,
    };
    pending.timeout = this.#options.timer.after(
      this.#options.timeoutMilliseconds,
      () => this.#fail(pending, "no answer before the append timeout"),
    );
    return pending;
  }

  async #run(): Promise<void> {
    this.#running = true;
    await sleep(this.#options.timer, this.#options.delayMilliseconds);
    while (this.#queue.length > 0 && !this.#stopped) {
      const batch = this.#queue.splice(0, MAX_RECORDS_PER_APPEND);
      for (const pending of batch) {
        this.#unconfirmed.set(pending.record.sequence, pending);
      }
      await this.#send(batch);
    }
    this.#running = false;
  }

  /** Returns when the batch is on the log or has timed out. */
  async #send(batch: readonly PendingRecord[]): Promise<void> {
    let retry = INITIAL_RETRY_MILLISECONDS;
    let answerTimeout = INITIAL_ANSWER_TIMEOUT_MILLISECONDS;
    for (;;) {
      const unconfirmed = batch.filter((pending) =>
        this.#isUnconfirmed(pending)
      );
      if (unconfirmed.length === 0) return;
      const outcome = await this.#tryOnce(unconfirmed, answerTimeout);
      this.#consecutiveRejections = outcome === "no_effect"
        ? this.#consecutiveRejections + 1
        : 0;
      answerTimeout *= 2;
      if (outcome === "appended") return;
      const wait = outcome === "lost"
        ? Math.max(READ_BACK_WAIT_MILLISECONDS, retry)
        : retry;
      await this.#pauseUntilSettled(
        withJitter(wait, { random: this.#options.random, share: 0.5 }),
      );
      retry = Math.min(retry * 2, MAX_RETRY_MILLISECONDS);
    }
  }

  async #tryOnce(
    unconfirmed: readonly PendingRecord[],
    answerMilliseconds: number,
  ): Promise<"appended" | "no_effect" | "lost"> {
    const before = unconfirmed.map((pending) => pending.mayBeAppended);
    for (const pending of unconfirmed) pending.mayBeAppended = true;
    this.calls += 1;
    const answer = await withTimeout(
      this.#options.log.append(
        this.#options.stream,
        unconfirmed.map((pending) => pending.record),
      ),
      { timer: this.#options.timer, milliseconds: answerMilliseconds },
    );
    if (answer === undefined) return "lost";
    if (answer.isOk()) {
      this.#options.onHead(answer.value + unconfirmed.length);
      return "appended";
    }
    if (answer.error.name !== "log_unavailable") return "lost";
    unconfirmed.forEach((pending, index) =>
      pending.mayBeAppended = before[index]
    );
    return "no_effect";
  }

  #pauseUntilSettled(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timeout = this.#options.timer.after(milliseconds, resolve);
      this.#endRetryWait = () => {
        timeout.cancel();
        resolve();
      };
    });
  }

  #isUnconfirmed(pending: PendingRecord): boolean {
    return this.#unconfirmed.has(pending.record.sequence);
  }

  #settle(
    pending: PendingRecord,
    result: Result<LogOffset, JournalFailure>,
  ): void {
    pending.timeout?.cancel();
    if (!this.#unconfirmed.delete(pending.record.sequence)) {
      this.#queue = this.#queue.filter((other) => other !== pending);
    }
    pending.settle(result);
    if (this.#unconfirmed.size === 0) this.#endRetryWait?.();
  }

  #fail(pending: PendingRecord, reason: string): void {
    const values = { stream: this.#options.stream, reason };
    const definition = pending.mayBeAppended ? APPEND_UNKNOWN : APPEND_NOT_MADE;
    this.#settle(pending, err(failure(definition, values)));
  }

  #reject(reason: string): Promise<Result<LogOffset, JournalFailure>> {
    const values = { stream: this.#options.stream, reason };
    return Promise.resolve(err(failure(APPEND_NOT_MADE, values)));
  }
}
