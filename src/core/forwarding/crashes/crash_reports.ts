import type { RequestDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { digestOfLoss, type ToldLoss } from "./told_loss.ts";

/** Losses, and requests cleared, that one report carries. */
const MOST_TOLD = 64;
/** Losses that wait for the next reports. */
const MOST_UNTOLD = 512;
/** How long a loss is told again, in case its datagram was lost. */
const TOLD_AGAIN_MILLISECONDS = 3_000;

/** What peers are told at once of requests and crashes. */
export interface CrashReport {
  readonly losses: readonly ToldLoss[];
  /** Requests that an endpoint has run to their end. */
  readonly cleared: readonly RequestDigest[];
}

/** What peers have not been told yet of requests lost with endpoints. */
export class CrashReports {
  readonly #timer: TimerService;
  readonly #own: { readonly loss: ToldLoss; readonly at: number }[] = [];
  readonly #losses: ToldLoss[] = [];
  readonly #cleared: RequestDigest[] = [];
  #onNews: () => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Calls back each time that there is something new to tell. */
  onNews(listener: () => void): void {
    this.#onNews = listener;
  }

  /** An endpoint was lost with a request of this entry. */
  addOwn(loss: ToldLoss): void {
    if (this.#own.length < MOST_TOLD) {
      this.#own.push({ loss, at: this.#timer.now() });
    }
    this.add([loss]);
  }

  add(losses: Iterable<ToldLoss>): void {
    for (const loss of losses) {
      if (this.#losses.length < MOST_UNTOLD) this.#losses.push(loss);
    }
    this.#onNews();
  }

  /** A request was run to its end here. */
  addCleared(digest: RequestDigest): void {
    if (this.#cleared.length >= MOST_UNTOLD) return;
    this.#cleared.push(digest);
    this.#onNews();
  }

  /** Tells nothing more of a request that was run to its end. */
  drop(digest: RequestDigest): void {
    const kept = this.#own.filter(({ loss }) => digestOfLoss(loss) !== digest);
    this.#own.splice(0, this.#own.length, ...kept);
  }

  /** The next report; undefined where there is nothing to tell. */
  take(): CrashReport | undefined {
    const losses = this.#losses.splice(0, MOST_TOLD);
    const cleared = this.#cleared.splice(0, MOST_TOLD);
    if (losses.length + cleared.length === 0) return undefined;
    return { losses, cleared };
  }

  /** Own losses of the last seconds, for peers that missed the first report. */
  recentLosses(): readonly ToldLoss[] {
    const since = this.#timer.now() - TOLD_AGAIN_MILLISECONDS;
    while (this.#own.length > 0 && this.#own[0].at < since) this.#own.shift();
    return this.#own.map(({ loss }) => loss);
  }
}
