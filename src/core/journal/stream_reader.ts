import type { LogOffset } from "../identity/mod.ts";
import { numbered } from "../identity/mod.ts";
import { type Random, withJitter } from "../random/mod.ts";
import { sleep, type TimerService, withTimeout } from "../time/mod.ts";
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
  /** Offset of the next record to read. */
  readonly next: () => LogOffset;
  /** Processes the records from `next` on, in order and without gaps. */
  readonly onItems: (items: readonly LogItem[]) => void;
  /** Records from `next` on have expired; `oldest` is the first one left. */
  readonly onGap: (oldest: LogOffset) => Promise<void>;
  /** A read returned no records. */
  readonly onIdle: () => Promise<void>;
  readonly onReachable: (reachable: boolean) => Promise<void>;
}

const MAX_RECORDS_PER_PAGE = 500;
/**
 * Long-poll timeout of reads at the end of the stream. 410 entries that each
 * tail three streams make 120 idle reads per second at 10 s, about 50 bytes per
 * second and entry.
 */
const LONG_POLL_MILLISECONDS = 10_000;
/**
 * A read without an answer this long after its long-poll timeout has failed.
 */
const READ_TIMEOUT_MARGIN_MILLISECONDS = 3_000;
const INITIAL_RETRY_MILLISECONDS = 100;
const MAX_RETRY_MILLISECONDS = 2_000;
/**
 * Pause after an empty answer before the end of the long poll, as from a
 * replica that is behind. Without it the reader would loop without delay.
 */
const EARLY_ANSWER_PAUSE_MILLISECONDS = 100;
/** Consecutive failed reads after which the log counts as unreachable. */
const FAILURES_UNTIL_UNREACHABLE = 2;
/**
 * An offset beyond any stream's head; a read there returns the oldest offset.
 */
const OFFSET_BEYOND_HEAD: LogOffset = numbered(2 ** 52);

/** Reads a stream forward continuously, through outages and stale replicas. */
export class StreamReader {
  readonly #options: StreamReaderOptions;
  #stopped = true;
  #generation = 0;
  #failures = 0;
  #retryMilliseconds = INITIAL_RETRY_MILLISECONDS;
  #reachable = true;
  #highestHead = -1;
  #lastAnswerAt: number | undefined;

  constructor(options: StreamReaderOptions) {
    this.#options = options;
  }

  get reachable(): boolean {
    return this.#reachable;
  }

  /** Highest head that any replica has reported; -1 before the first answer. */
  get highestHead(): number {
    return this.#highestHead;
  }

  /** Records below `head` exist, whatever the replica reports. */
  noteHead(head: number): void {
    this.#highestHead = Math.max(this.#highestHead, head);
  }

  /** Timer time of the log's last answer. */
  get lastAnswerAt(): number | undefined {
    return this.#lastAnswerAt;
  }

  start(): void {
    if (!this.#stopped) return;
    this.#stopped = false;
    this.#options.timer.run(() => this.#loop(++this.#generation));
  }

  stop(): void {
    this.#stopped = true;
    this.#generation += 1;
  }

  async #loop(generation: number): Promise<void> {
    while (generation === this.#generation) {
      const requestedAt = this.#options.timer.now();
      const isFirst = this.#highestHead < 0;
      const from = this.#options.next();
      const answer = await this.#read(from);
      if (generation !== this.#generation) return;
      if (answer === "failed") await this.#afterFailure();
      else if (answer === "expired") await this.#findOldest();
      else await this.#afterPage(answer, { from, requestedAt, isFirst });
    }
  }

  async #read(from: LogOffset): Promise<LogPage | "failed" | "expired"> {
    // The first read does not wait: a starting process has to know at once
    // whether the log answers. Nor does a read after an outage: on a quiet
    // stream, a long poll would delay the detection of the recovery by its
    // whole timeout.
    const skipsLongPoll = this.#highestHead < 0 || !this.#reachable;
    const waitMilliseconds = skipsLongPoll ? 0 : LONG_POLL_MILLISECONDS;
    const answer = await withTimeout(
      this.#options.log.read(this.#options.stream, {
        from,
        limit: MAX_RECORDS_PER_PAGE,
        waitMilliseconds,
      }),
      {
        timer: this.#options.timer,
        milliseconds: waitMilliseconds + READ_TIMEOUT_MARGIN_MILLISECONDS,
      },
    );
    if (answer === undefined) return "failed";
    if (answer.isOk()) return answer.value;
    return answer.error.name === "log_expired" ? "expired" : "failed";
  }

  async #afterPage(
    page: LogPage,
    options: { from: LogOffset; requestedAt: number; isFirst: boolean },
  ): Promise<void> {
    await this.#handleAnswer(page);
    if (page.oldest > options.from) {
      await this.#options.onGap(page.oldest);
      return;
    }
    const items = contiguousFrom(page.records, options.from);
    if (items.length > 0) {
      this.#options.onItems(items);
      return;
    }
    await this.#options.onIdle();
    const elapsed = this.#options.timer.now() - options.requestedAt;
    if (!options.isFirst && elapsed < EARLY_ANSWER_PAUSE_MILLISECONDS) {
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
    this.#retryMilliseconds = Math.min(wait * 2, MAX_RETRY_MILLISECONDS);
    await this.#pause(wait);
  }

  async #findOldest(): Promise<void> {
    const answer = await this.#options.log.read(this.#options.stream, {
      from: OFFSET_BEYOND_HEAD,
      limit: 1,
      waitMilliseconds: 0,
    });
    if (answer.isErr()) return await this.#afterFailure();
    await this.#handleAnswer(answer.value);
    await this.#options.onGap(answer.value.oldest);
  }

  async #handleAnswer(page: LogPage): Promise<void> {
    this.#lastAnswerAt = this.#options.timer.now();
    this.#highestHead = Math.max(this.#highestHead, page.head);
    this.#failures = 0;
    this.#retryMilliseconds = INITIAL_RETRY_MILLISECONDS;
    if (this.#reachable) return;
    this.#reachable = true;
    await this.#options.onReachable(true);
  }

  #pause(milliseconds: number): Promise<void> {
    return sleep(
      this.#options.timer,
      withJitter(milliseconds, { random: this.#options.random, share: 0.5 }),
    );
  }
}

/**
 * The records from the requested offset on, up to the first gap. Reading past a
 * gap would make this reader's state diverge permanently from all others'.
 */
function contiguousFrom(
  records: readonly LogItem[],
  from: LogOffset,
): readonly LogItem[] {
  const start = records.findIndex((item) => item.offset === from);
  if (start < 0) return [];
  const wanted = records.slice(start);
  const gap = wanted.findIndex((item, index) => item.offset !== from + index);
  return gap < 0 ? wanted : wanted.slice(0, gap);
}
