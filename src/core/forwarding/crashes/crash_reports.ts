import type { SuspectDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import {
  digestOfLoss,
  type ReportedLoss,
  type ReportedProof,
} from "./reported_loss.ts";

/** Maximum number of losses, and of proofs, in one report. */
const MAX_PER_REPORT = 64;
/** Maximum number of losses that are queued for the next reports. */
const MAX_PENDING = 512;
/**
 * Time during which a loss is reported repeatedly, in case a datagram is lost.
 */
const RESEND_MILLISECONDS = 3_000;

/** A report to peers of losses and proofs, sent immediately. */
export interface CrashReport {
  readonly losses: readonly ReportedLoss[];
  /** Suspects that an endpoint has run without a crash. */
  readonly cleared: readonly ReportedProof[];
}

interface DatedLoss {
  readonly loss: ReportedLoss;
  readonly at: number;
}

interface DatedProof {
  readonly digest: SuspectDigest;
  readonly beganAt: number;
}

/** Pending reports to peers of what was lost with endpoints. */
export class CrashReports {
  readonly #timer: TimerService;
  #own: DatedLoss[] = [];
  readonly #losses: DatedLoss[] = [];
  readonly #cleared: DatedProof[] = [];
  #onPending: () => void = () => {};

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Sets the listener that is called whenever there is something to report. */
  onPending(listener: () => void): void {
    this.#onPending = listener;
  }

  /** Adds a loss that this entry has observed with an endpoint. */
  addOwn(loss: ReportedLoss): void {
    this.#addForResend({ loss, at: this.#timer.now() });
    this.add([loss]);
  }

  add(losses: Iterable<ReportedLoss>): void {
    const at = this.#timer.now();
    for (const loss of losses) {
      if (this.#losses.length < MAX_PENDING) this.#losses.push({ loss, at });
    }
    this.#onPending();
  }

  /** Adds a suspect of which a run that began at this time has not crashed. */
  addCleared(digest: SuspectDigest, beganAt: number): void {
    if (this.#cleared.length >= MAX_PENDING) return;
    this.#cleared.push({ digest, beganAt });
    this.#onPending();
  }

  /** Stops the repeated reports of losses that are disproved. */
  discard(digest: SuspectDigest, before: number): void {
    this.#own = this.#own.filter(({ at, loss }) =>
      digestOfLoss(loss) !== digest || at > before
    );
  }

  /** Removes and returns the next report; undefined if nothing is pending. */
  take(): CrashReport | undefined {
    const now = this.#timer.now();
    const losses = this.#losses.splice(0, MAX_PER_REPORT);
    const cleared = this.#cleared.splice(0, MAX_PER_REPORT);
    if (losses.length + cleared.length === 0) return undefined;
    return {
      losses: losses.map((each) => withAge(each, now)),
      cleared: cleared.map(({ beganAt, digest }) =>
        [digest, Math.round(now - beganAt)] as const
      ),
    };
  }

  /** Own losses of the last seconds, for peers that missed the first report. */
  recentLosses(): readonly ReportedLoss[] {
    const now = this.#timer.now();
    this.#own = this.#own.filter(({ at }) => at >= now - RESEND_MILLISECONDS);
    return this.#own.map((each) => withAge(each, now));
  }

  /**
   * Keeps the losses with the most crashes, of which few others are known to
   * report.
   */
  #addForResend(dated: DatedLoss): void {
    if (this.#own.length < MAX_PER_REPORT) return void this.#own.push(dated);
    const crashes = this.#own.map(({ loss: [, , , crash] }) => crash);
    const fewest = crashes.indexOf(Math.min(...crashes));
    const [, , , crash] = dated.loss;
    if (crash <= crashes[fewest]) return;
    this.#own.splice(fewest, 1);
    this.#own.push(dated);
  }
}

/** The loss with the time since it, which has grown since it was recorded. */
function withAge({ at, loss }: DatedLoss, now: number): ReportedLoss {
  const [digest, endpoint, startedAt, crash, lasted = 0, ago = 0, isFirst] =
    loss;
  const age = ago + Math.round(now - at);
  const aged = [digest, endpoint, startedAt, crash, lasted, age] as const;
  return isFirst === undefined ? aged : [...aged, isFirst];
}
