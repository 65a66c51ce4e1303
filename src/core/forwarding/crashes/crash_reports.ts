import type { RequestDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { digestOfLoss, type ReportedLoss } from "./reported_loss.ts";

/** Maximum number of losses, and of cleared requests, in one report. */
const MAX_PER_REPORT = 64;
/** Maximum number of losses that are queued for the next reports. */
const MAX_PENDING = 512;
/**
 * Time during which a loss is reported repeatedly, in case a datagram is lost.
 */
const RESEND_MILLISECONDS = 3_000;

/** A report to peers of lost and cleared requests, sent immediately. */
export interface CrashReport {
  readonly losses: readonly ReportedLoss[];
  /** Requests that an endpoint has completed. */
  readonly cleared: readonly RequestDigest[];
}

/** Pending reports to peers of requests that were lost with endpoints. */
export class CrashReports {
  readonly #timer: TimerService;
  readonly #own: { readonly loss: ReportedLoss; readonly at: number }[] = [];
  readonly #losses: ReportedLoss[] = [];
  readonly #cleared: RequestDigest[] = [];
  #onPending: () => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Sets the listener that is called whenever there is something to report. */
  onPending(listener: () => void): void {
    this.#onPending = listener;
  }

  /** Adds the loss of a request of this entry with an endpoint. */
  addOwn(loss: ReportedLoss): void {
    if (this.#own.length < MAX_PER_REPORT) {
      this.#own.push({ loss, at: this.#timer.now() });
    }
    this.add([loss]);
  }

  add(losses: Iterable<ReportedLoss>): void {
    for (const loss of losses) {
      if (this.#losses.length < MAX_PENDING) this.#losses.push(loss);
    }
    this.#onPending();
  }

  /** Adds a request that was completed here. */
  addCleared(digest: RequestDigest): void {
    if (this.#cleared.length >= MAX_PENDING) return;
    this.#cleared.push(digest);
    this.#onPending();
  }

  /** Stops the repeated reports of a request that was completed. */
  discard(digest: RequestDigest): void {
    const remaining = this.#own.filter(({ loss }) =>
      digestOfLoss(loss) !== digest
    );
    this.#own.splice(0, this.#own.length, ...remaining);
  }

  /** Removes and returns the next report; undefined if nothing is pending. */
  take(): CrashReport | undefined {
    const losses = this.#losses.splice(0, MAX_PER_REPORT);
    const cleared = this.#cleared.splice(0, MAX_PER_REPORT);
    if (losses.length + cleared.length === 0) return undefined;
    return { losses, cleared };
  }

  /** Own losses of the last seconds, for peers that missed the first report. */
  recentLosses(): readonly ReportedLoss[] {
    const since = this.#timer.now() - RESEND_MILLISECONDS;
    while (this.#own.length > 0 && this.#own[0].at < since) this.#own.shift();
    return this.#own.map(({ loss }) => loss);
  }
}
