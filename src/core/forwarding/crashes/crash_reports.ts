import type { RequestDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { digestOfLoss, type ReportedLoss } from "./reported_loss.ts";

/** Losses, and requests cleared, that one report carries. */
const MOST_PER_REPORT = 64;
/** Losses that wait for the next reports. */
const MOST_PENDING = 512;
/** How long a loss is reported again, in case its datagram was lost. */
const REPEAT_MILLISECONDS = 3_000;

/** A report to peers of requests and crashes, sent at once. */
export interface CrashReport {
  readonly losses: readonly ReportedLoss[];
  /** Requests that an endpoint has run to their end. */
  readonly cleared: readonly RequestDigest[];
}

/** Pending reports to peers of requests lost with endpoints. */
export class CrashReports {
  readonly #timer: TimerService;
  readonly #own: { readonly loss: ReportedLoss; readonly at: number }[] = [];
  readonly #losses: ReportedLoss[] = [];
  readonly #cleared: RequestDigest[] = [];
  #onNews: () => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Calls back each time that there is something new to report. */
  onNews(listener: () => void): void {
    this.#onNews = listener;
  }

  /** An endpoint was lost with a request of this entry. */
  addOwn(loss: ReportedLoss): void {
    if (this.#own.length < MOST_PER_REPORT) {
      this.#own.push({ loss, at: this.#timer.now() });
    }
    this.add([loss]);
  }

  add(losses: Iterable<ReportedLoss>): void {
    for (const loss of losses) {
      if (this.#losses.length < MOST_PENDING) this.#losses.push(loss);
    }
    this.#onNews();
  }

  /** A request was run to its end here. */
  addCleared(digest: RequestDigest): void {
    if (this.#cleared.length >= MOST_PENDING) return;
    this.#cleared.push(digest);
    this.#onNews();
  }

  /** Reports nothing more of a request that was run to its end. */
  drop(digest: RequestDigest): void {
    const kept = this.#own.filter(({ loss }) => digestOfLoss(loss) !== digest);
    this.#own.splice(0, this.#own.length, ...kept);
  }

  /** The next report; undefined where nothing is pending. */
  take(): CrashReport | undefined {
    const losses = this.#losses.splice(0, MOST_PER_REPORT);
    const cleared = this.#cleared.splice(0, MOST_PER_REPORT);
    if (losses.length + cleared.length === 0) return undefined;
    return { losses, cleared };
  }

  /** Own losses of the last seconds, for peers that missed the first report. */
  recentLosses(): readonly ReportedLoss[] {
    const since = this.#timer.now() - REPEAT_MILLISECONDS;
    while (this.#own.length > 0 && this.#own[0].at < since) this.#own.shift();
    return this.#own.map(({ loss }) => loss);
  }
}
