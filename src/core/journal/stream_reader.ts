import type { LogOffset } from "../identity/mod.ts";
import { numbered } from "../identity/mod.ts";
import { type Random, withJitter } from "../random/mod.ts";
import { beforeDeadline, pause, type TimerService } from "../time/mod.ts";
import type {
  LogItem,
  LogPage,
  LogService,
  StreamName,
} from "./log_service.ts";

export interface StreamReaderOptions {
  readonly log: LogService;
  readonly stream: StreamName;
  readonly timer: TimerService;
  readonly random: Random;
  /** Offset of the next record that is wanted. */
  readonly next: () => LogOffset;
  /** Takes the records that follow `next`, in order and without holes. */
  readonly onItems: (items: readonly LogItem[]) => void;
  /** Records from `next` on have expired; `oldest` is what is left. */
  readonly onGap: (oldest: LogOffset) => Promise<void>;
  /** A read came back without records. */
  readonly onIdle: () => Promise<void>;
  readonly onReachable: (reachable: boolean) => Promise<void>;
}

const MOST_RECORDS_IN_PAGE = 500;
/**
 * How long the log service holds a read open while nothing new stands on the
 * stream. Load: 410 nodes that each tail three streams make 120 idle reads a
 * second at 10 s, about 50 bytes a second a node.
 */
const LONG_POLL_MILLISECONDS = 10_000;
/** A read without an answer for this long after its wait counts as failed. */
const READ_GRACE_MILLISECONDS = 3_000;
const FIRST_RETRY_MILLISECONDS = 100;
const LONGEST_RETRY_MILLISECONDS = 2_000;
/**
 * Pause after an answer without records that came before the wait was over,
 * as from a replica that is behind. Harm prevented: a tight loop of reads.
 */
const EARLY_ANSWER_PAUSE_MILLISECONDS = 100;
/** Failed reads in a row after which the log counts as out of reach. */
const FAILURES_UNTIL_UNREACHABLE = 2;
/** An offset that no stream has; a read there tells the oldest record. */
const BEYOND_EVERY_HEAD: LogOffset = numbered(2 ** 52);

/** Reads a stream forward without end, through outages and stale replicas. */
export class StreamReader {
  readonly #options: StreamReaderOptions;
  #stopped = true;
  #run = 0;
  #failures = 0;
  #retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  #reachable = true;
  #highestHead = -1;
  #lastAnswer: number | undefined;

  constructor(options: StreamReaderOptions) {
    this.#options = options;
  }

  get reachable(): boolean {
    return this.#reachable;
  }

  /** Highest head that any replica has told of; -1 before the first answer. */
  get highestHead(): number {
    return this.#highestHead;
  }

  /** Somebody knows of records below `head`, whatever the replica says. */
  noteHead(head: number): void {
    this.#highestHead = Math.max(this.#highestHead, head);
  }

  /** Timer time of the log's last answer. */
  get lastAnswer(): number | undefined {
    return this.#lastAnswer;
  }

  start(): void {
    if (!this.#stopped) return;
    this.#stopped = false;
    void this.#loop(++this.#run);
  }

  stop(): void {
    this.#stopped = true;
    this.#run += 1;
  }

  async #loop(run: number): Promise<void> {
    while (run === this.#run) {
      const asked = this.#options.timer.now();
      const isFirst = this.#highestHead < 0;
      const from = this.#options.next();
      const answer = await this.#read(from);
      if (run !== this.#run) return;
      if (answer === "failed") await this.#afterFailure();
      else if (answer === "expired") await this.#findOldest();
      else await this.#afterPage(answer, { from, asked, isFirst });
    }
  }

  async #read(from: LogOffset): Promise<LogPage | "failed" | "expired"> {
    // The first read does not wait: a starting process wants to know at once
    // whether the log answers. Nor does a read after an outage: a long poll on
    // a quiet stream would hide for its whole length that the log is back.
    const asksWhetherUp = this.#highestHead < 0 || !this.#reachable;
    const waitMilliseconds = asksWhetherUp ? 0 : LONG_POLL_MILLISECONDS;
    const answer = await beforeDeadline(
      this.#options.log.read(this.#options.stream, {
        from,
        limit: MOST_RECORDS_IN_PAGE,
        waitMilliseconds,
      }),
      {
        timer: this.#options.timer,
        milliseconds: waitMilliseconds + READ_GRACE_MILLISECONDS,
      },
    );
    if (answer === undefined) return "failed";
    if (answer.isOk()) return answer.value;
    return answer.error.name === "log_expired" ? "expired" : "failed";
  }

  async #afterPage(
    page: LogPage,
    options: { from: LogOffset; asked: number; isFirst: boolean },
  ): Promise<void> {
    await this.#answered(page);
    if (page.oldest > options.from) {
      await this.#options.onGap(page.oldest);
      return;
    }
    const items = contiguous(page.records, options.from);
    if (items.length > 0) {
      this.#options.onItems(items);
      return;
    }
    await this.#options.onIdle();
    const took = this.#options.timer.now() - options.asked;
    if (!options.isFirst && took < EARLY_ANSWER_PAUSE_MILLISECONDS) {
      await this.#pause(EARLY_ANSWER_PAUSE_MILLISECONDS);
    }
  }

  async #afterFailure(): Promise<void> {
    this.#failures += 1;
    if (this.#failures >= FAILURES_UNTIL_UNREACHABLE) {
      this.#reachable = false;
      await this.#options.onReachable(false);
    }
    const wait = this.#retryMilliseconds;
    this.#retryMilliseconds = Math.min(wait * 2, LONGEST_RETRY_MILLISECONDS);
    await this.#pause(wait);
  }

  async #findOldest(): Promise<void> {
    const answer = await this.#options.log.read(this.#options.stream, {
      from: BEYOND_EVERY_HEAD,
      limit: 1,
      waitMilliseconds: 0,
    });
    if (answer.isErr()) return await this.#afterFailure();
    await this.#answered(answer.value);
    await this.#options.onGap(answer.value.oldest);
  }

  async #answered(page: LogPage): Promise<void> {
    this.#lastAnswer = this.#options.timer.now();
    this.#highestHead = Math.max(this.#highestHead, page.head);
    this.#failures = 0;
    this.#retryMilliseconds = FIRST_RETRY_MILLISECONDS;
    if (this.#reachable) return;
    this.#reachable = true;
    await this.#options.onReachable(true);
  }

  #pause(milliseconds: number): Promise<void> {
    return pause(
      this.#options.timer,
      withJitter(milliseconds, { random: this.#options.random, share: 0.5 }),
    );
  }
}

/**
 * The records from the wanted offset on, up to the first hole. A hole would
 * make this reader's state differ from everyone else's for good.
 */
function contiguous(
  records: readonly LogItem[],
  from: LogOffset,
): readonly LogItem[] {
  const start = records.findIndex((item) => item.offset === from);
  if (start < 0) return [];
  const wanted = records.slice(start);
  const hole = wanted.findIndex((item, index) => item.offset !== from + index);
  return hole < 0 ? wanted : wanted.slice(0, hole);
}
