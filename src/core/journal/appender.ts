import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { LogRecord, RecordBody } from "../../generated/log_records.ts";
import { failure } from "../errors/mod.ts";
import type { Incarnation, LogOffset, ProcessId } from "../identity/mod.ts";
import { type Random, withJitter } from "../random/mod.ts";
import {
  beforeDeadline,
  pause,
  type Subscription,
  type TimerService,
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
  /** How long a record waits for others that share its append. */
  readonly delayMilliseconds: number;
  /** How long an append is tried before its caller is told that it failed. */
  readonly giveUpMilliseconds: number;
  /** The log has told of a head, by the answer to an append. */
  readonly onHead: (head: number) => void;
  /** False while the log can't be read: appends fail at once then. */
  readonly reachable: () => boolean;
}

interface Waiting {
  readonly record: LogRecord;
  readonly settle: (result: Result<LogOffset, JournalFailure>) => void;
  alarm: Subscription | undefined;
  /** True from the moment at which the record may have reached the log. */
  inDoubt: boolean;
}

/**
 * Records in one append. Load: a burst of a few hundred records; several
 * hundred appends a second are all that the log takes, while one append can
 * carry many records. The limit keeps one append's size within a few hundred
 * kilobytes.
 */
const MOST_RECORDS_IN_APPEND = 200;
/**
 * Records that may wait. Harm prevented: a slow log makes memory grow without
 * bound; beyond the limit the caller learns at once that nothing was appended.
 */
const MOST_WAITING_RECORDS = 5_000;
/**
 * An append without an answer for this long counts as lost; doubled for each
 * further try. Harm prevented: a log that is slow gets every record several
 * times and becomes slower.
 */
const FIRST_ANSWER_MILLISECONDS = 1_500;
/** How long the record of a lost answer is looked for before a resend. */
const READ_BACK_MILLISECONDS = 300;
const FIRST_RETRY_MILLISECONDS = 50;
/** One refused call may be chance; the second one in a row is an outage. */
const REFUSALS_UNTIL_OUTAGE = 2;
const LONGEST_RETRY_MILLISECONDS = 1_000;

/**
 * Appends records of one process to one stream: several in one append, one
 * append under way, each settled once its own record has been read back.
 *
 * Lost answers: the same records are sent again with the same sequence
 * numbers; whichever landing comes first counts and the filter of every
 * reader drops the others, so asking twice can't act twice.
 */
export class Appender {
  readonly #options: AppenderOptions;
  #queue: Waiting[] = [];
  /** Records handed to the log and not read back yet, by sequence. */
  readonly #unread = new Map<number, Waiting>();
  #sequence = 0;
  #running = false;
  #stopped = false;
  /** Calls in a row that the log service turned away without effect. */
  #turnedAway = 0;
  #wakeSender: (() => void) | undefined;
  /** Calls of the log service's append, for measurements. */
  calls = 0;

  constructor(options: AppenderOptions) {
    this.#options = options;
  }

  append(body: RecordBody): Promise<Result<LogOffset, JournalFailure>> {
    if (this.#stopped) return this.#refused("the journal is stopped");
    if (!this.#options.reachable()) {
      return this.#refused("the log service can't be reached");
    }
    if (this.#isTurnedAway()) {
      return this.#refused("the log service turns appends away");
    }
    if (this.#queue.length >= MOST_WAITING_RECORDS) {
      return this.#refused("too many records wait for the log service");
    }
    return new Promise((resolve) => {
      const waiting = this.#wait(body, resolve);
      this.#queue.push(waiting);
      if (!this.#running) void this.#run();
    });
  }

  /** A record of this process's run has been read and counts. */
  seen(offset: LogOffset, sequence: number): void {
    const waiting = this.#unread.get(sequence);
    if (waiting === undefined) return;
    this.#settle(waiting, ok(offset));
  }

  stop(): void {
    this.#stopped = true;
    for (const waiting of [...this.#queue, ...this.#unread.values()]) {
      this.#giveUp(waiting, "the journal is stopped");
    }
    this.#queue = [];
  }

  /**
   * The reader learns of an outage when its long poll ends, seconds later.
   * Until then each append would be tried for its whole time, and a caller
   * would wait for a refusal that is certain. What is being sent goes on as
   * the probe; what comes behind it meanwhile is refused at once.
   */
  #isTurnedAway(): boolean {
    return this.#running && this.#turnedAway >= REFUSALS_UNTIL_OUTAGE;
  }

  #wait(body: RecordBody, settle: Waiting["settle"]): Waiting {
    const waiting: Waiting = {
      record: {
        writer: this.#options.writer,
        incarnation: this.#options.incarnation,
        sequence: this.#sequence++,
        body,
      },
      settle,
      alarm: undefined,
      inDoubt: false,
    };
    waiting.alarm = this.#options.timer.after(
      this.#options.giveUpMilliseconds,
      () => this.#giveUp(waiting, "no answer came in time"),
    );
    return waiting;
  }

  async #run(): Promise<void> {
    this.#running = true;
    await pause(this.#options.timer, this.#options.delayMilliseconds);
    while (this.#queue.length > 0 && !this.#stopped) {
      const batch = this.#queue.splice(0, MOST_RECORDS_IN_APPEND);
      for (const waiting of batch) {
        this.#unread.set(waiting.record.sequence, waiting);
      }
      await this.#send(batch);
    }
    this.#running = false;
  }

  /** Returns when the batch stands on the log or has been given up. */
  async #send(batch: readonly Waiting[]): Promise<void> {
    let retry = FIRST_RETRY_MILLISECONDS;
    let patience = FIRST_ANSWER_MILLISECONDS;
    for (;;) {
      const open = batch.filter((waiting) => this.#isOpen(waiting));
      if (open.length === 0) return;
      const outcome = await this.#tryOnce(open, patience);
      this.#turnedAway = outcome === "no_effect" ? this.#turnedAway + 1 : 0;
      patience *= 2;
      if (outcome === "stands") return;
      const wait = outcome === "lost"
        ? Math.max(READ_BACK_MILLISECONDS, retry)
        : retry;
      await this.#pauseUntilSettled(
        withJitter(wait, { random: this.#options.random, share: 0.5 }),
      );
      retry = Math.min(retry * 2, LONGEST_RETRY_MILLISECONDS);
    }
  }

  async #tryOnce(
    open: readonly Waiting[],
    answerMilliseconds: number,
  ): Promise<"stands" | "no_effect" | "lost"> {
    const before = open.map((waiting) => waiting.inDoubt);
    for (const waiting of open) waiting.inDoubt = true;
    this.calls += 1;
    const answer = await beforeDeadline(
      this.#options.log.append(
        this.#options.stream,
        open.map((waiting) => waiting.record),
      ),
      { timer: this.#options.timer, milliseconds: answerMilliseconds },
    );
    if (answer === undefined) return "lost";
    if (answer.isOk()) {
      this.#options.onHead(answer.value + open.length);
      return "stands";
    }
    if (answer.error.name !== "log_unavailable") return "lost";
    open.forEach((waiting, index) => waiting.inDoubt = before[index]);
    return "no_effect";
  }

  #pauseUntilSettled(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const alarm = this.#options.timer.after(milliseconds, resolve);
      this.#wakeSender = () => {
        alarm.cancel();
        resolve();
      };
    });
  }

  #isOpen(waiting: Waiting): boolean {
    return this.#unread.has(waiting.record.sequence);
  }

  #settle(waiting: Waiting, result: Result<LogOffset, JournalFailure>): void {
    waiting.alarm?.cancel();
    if (!this.#unread.delete(waiting.record.sequence)) {
      this.#queue = this.#queue.filter((other) => other !== waiting);
    }
    waiting.settle(result);
    if (this.#unread.size === 0) this.#wakeSender?.();
  }

  #giveUp(waiting: Waiting, reason: string): void {
    const values = { stream: this.#options.stream, reason };
    const definition = waiting.inDoubt ? APPEND_UNKNOWN : APPEND_NOT_MADE;
    this.#settle(waiting, err(failure(definition, values)));
  }

  #refused(reason: string): Promise<Result<LogOffset, JournalFailure>> {
    const values = { stream: this.#options.stream, reason };
    return Promise.resolve(err(failure(APPEND_NOT_MADE, values)));
  }
}
