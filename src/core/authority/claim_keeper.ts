import type { Incarnation, ProcessId } from "../identity/mod.ts";
import type { Journal } from "../journal/mod.ts";
import type { Random } from "../random/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";
import { type Claim, NO_HOLDER } from "./claim.ts";

/** State that a keeper observes; the folds that apply claims provide it. */
export interface ClaimView {
  readonly claim: Claim | undefined;
  /** Offset of the last record that the claim's holder can have written. */
  readonly lastSign: number;
}

export interface ClaimKeeperOptions {
  readonly journal: Journal;
  readonly view: ClaimView;
  readonly timer: TimerService;
  readonly random: Random;
  readonly process: ProcessId;
  readonly incarnation: Incarnation;
  /** Time without a record of the holder after which others claim. */
  readonly claimSilenceMilliseconds: number;
  /**
   * False while this process must not hold the claim, such as during shutdown.
   */
  readonly eligible?: () => boolean;
  /** Timer time of the holder's last direct message to this process. */
  readonly heardDirectly?: (holder: string) => number | undefined;
  readonly onGained?: (claim: Claim) => void;
  readonly onLost?: (claim: Claim | undefined) => void;
}

/**
 * Renewals per claim timeout. 11 regions with two claims each make 22 renewals
 * per second for the whole platform at a timeout of 3 s, out of several hundred
 * appends. Three, so that a single lost append does not cause a takeover.
 */
const RENEWALS_PER_TIMEOUT = 3;
const CHECKS_PER_TIMEOUT = 10;
/**
 * Largest jitter of the takeover timeout, as a share of it. Without jitter, the
 * 40 entries of a region that all detect the same timeout append 40 claims, of
 * which 39 are void; at half the timeout, one claim is usually on the log
 * before the next is due.
 */
const JITTER_SHARE = 0.5;
/**
 * Largest delay of claims on an unheld authority, as a share of the claim
 * timeout: 1 s at 3 s, against about 40 ms until all processes have read a
 * claim, so that two or three of 40 entries claim.
 */
const UNHELD_JITTER_SHARE = 1 / 3;
/**
 * Ratio of the takeover timeout to the longest recent gap between records of
 * the holder.
 */
const TIMEOUT_TO_LONGEST_GAP = 2;
/**
 * Factor by which the stored longest gap decays with each record of the holder.
 */
const GAP_DECAY = 0.9;

/**
 * Holds a claim while its process is able to, and takes one over from a holder
 * that stopped renewing it. This affects liveness only: the log determines who
 * holds the claim, so a false detection costs a takeover but not safety.
 *
 * The timeout counts only while this process reads the log without delay.
 * Otherwise, after an outage or while the log is slow, every entry takes the
 * missing renewals for a failed holder, and the claim flaps between entries.
 */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #ownName: string;
  #nextCheck: Subscription | undefined;
  #seenRecord = -1;
  #seenClaim: number | undefined;
  #timeoutStart: number;
  /**
   * Random share of the jitter, drawn again after each record of the holder so
   * that claimants differ.
   */
  #jitter: number;
  #longestGap = 0;
  #lastRenewal = -Infinity;
  #lastCheckAt: number;
  #appending = false;
  #heldOffset: number | undefined;
  #stopped = true;

  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
    this.#ownName = holderName(options.process, options.incarnation);
    this.#timeoutStart = options.timer.now();
    this.#lastCheckAt = options.timer.now();
    this.#jitter = options.random();
  }

  /** The claim of this incarnation, while it is in force. */
  get held(): Claim | undefined {
    const { claim } = this.#options.view;
    return claim?.holder === this.#ownName ? claim : undefined;
  }

  start(): void {
    this.#stopped = false;
    this.#timeoutStart = this.#options.timer.now();
    this.#lastCheckAt = this.#options.timer.now();
    this.#scheduleCheck();
  }

  /**
   * Calls `onLost` and `onGained` if the holder has changed; call it after each
   * record.
   */
  changed(): void {
    const held = this.held?.offset;
    if (held === this.#heldOffset) return;
    const wasHeld = this.#heldOffset !== undefined;
    this.#heldOffset = held;
    if (wasHeld) this.#options.onLost?.(this.#options.view.claim);
    if (this.held !== undefined) this.#options.onGained?.(this.held);
  }

  /** Releases the claim, so that a planned stop does not leave a gap. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#nextCheck?.cancel();
    const held = this.held;
    if (held === undefined) return;
    await this.#options.journal.append({
      kind: "claim",
      holder: NO_HOLDER,
      replaces: held.offset,
    });
  }

  /**
   * Schedules checks at random intervals, so that entries started together do
   * not stay synchronized.
   */
  #scheduleCheck(): void {
    const { claimSilenceMilliseconds, random, timer } = this.#options;
    const period = claimSilenceMilliseconds / CHECKS_PER_TIMEOUT;
    this.#nextCheck = timer.after(2 * period * random(), () => {
      this.#scheduleCheck();
      this.#check();
    });
  }

  #check(): void {
    this.changed();
    this.#detectOwnPause();
    this.#observeHolder();
    if (this.#appending || this.#options.eligible?.() === false) return;
    if (this.held !== undefined) this.#renew();
    else if (this.#hasTimedOut()) {
      this.#options.timer.run(() => this.#claimAfterRead());
    }
  }

  /**
   * Restarts the timeout after a pause of this process, which says nothing
   * about the holder. Counted as a gap of the holder, the pause would stretch
   * the takeover timeout to a multiple of it; a failed holder's claim would
   * stay unclaimed that long, and publications would wait for their verdicts.
   */
  #detectOwnPause(): void {
    const now = this.#options.timer.now();
    const wasPaused = now - this.#lastCheckAt >= this.#options
      .claimSilenceMilliseconds;
    this.#lastCheckAt = now;
    if (wasPaused) this.#restartTimeout();
  }

  #observeHolder(): void {
    const { journal, timer, view } = this.#options;
    const contactAt = this.#lastDirectContact();
    if (contactAt > this.#timeoutStart) this.#timeoutStart = contactAt;
    const isCurrent = journal.reachable && journal.caughtUp;
    if (isCurrent && view.lastSign === this.#seenRecord) return;
    const gap = timer.now() - this.#timeoutStart;
    const decayed = this.#longestGap * GAP_DECAY;
    // The gap before another holder's first record is a takeover, which does
    // not show how far apart a running holder's records are.
    const isSameHolder = view.claim?.offset === this.#seenClaim;
    this.#longestGap = isCurrent && isSameHolder
      ? Math.max(decayed, gap)
      : decayed;
    this.#seenRecord = view.lastSign;
    this.#seenClaim = view.claim?.offset;
    this.#restartTimeout();
  }

  #restartTimeout(): void {
    this.#timeoutStart = this.#options.timer.now();
    this.#jitter = this.#options.random();
  }

  #lastDirectContact(): number {
    const holder = this.#options.view.claim?.holder;
    if (holder === undefined || holder === NO_HOLDER) return -Infinity;
    return this.#options.heardDirectly?.(holder) ?? -Infinity;
  }

  /**
   * Time without a record of the holder after which this process claims,
   * milliseconds.
   */
  #takeoverTimeout(): number {
    const { claimSilenceMilliseconds } = this.#options;
    if (this.#isUnheld()) {
      return claimSilenceMilliseconds * UNHELD_JITTER_SHARE * this.#jitter;
    }
    const allowed = Math.max(
      claimSilenceMilliseconds,
      TIMEOUT_TO_LONGEST_GAP * this.#longestGap,
    );
    return allowed * (1 + JITTER_SHARE * this.#jitter);
  }

  /**
   * A claim without a holder, or held by an earlier incarnation of this
   * process, can be claimed after a short random delay.
   */
  #isUnheld(): boolean {
    const holder = this.#options.view.claim?.holder;
    return holder === undefined || holder === NO_HOLDER ||
      holder.startsWith(`${this.#options.process}${HOLDER_SEPARATOR}`);
  }

  #hasTimedOut(): boolean {
    return this.#options.timer.now() - this.#timeoutStart >=
      this.#takeoverTimeout();
  }

  /**
   * Claims after a fresh read of the log. Without it, when the log becomes slow
   * and the holder's renewals arrive late, the claim moves from entry to entry,
   * each time with a new fencing token. The read takes as long as the log is
   * slow, and delayed records arrive meanwhile.
   */
  async #claimAfterRead(): Promise<void> {
    this.#appending = true;
    const isFresh = await this.#options.journal.isFresh();
    if (!isFresh) this.#restartTimeout();
    // Records of the holder, or another process's claim, may have arrived.
    this.#observeHolder();
    if (this.#hasTimedOut() && !this.#stopped) await this.#claim();
    this.#appending = false;
  }

  async #claim(): Promise<void> {
    const { journal, view } = this.#options;
    await journal.append({
      kind: "claim",
      holder: this.#ownName,
      replaces: view.claim?.offset ?? -1,
    });
    // Also after a failure: while the log rejects appends, the holder's
    // renewals are missing as well, so the timeout restarts.
    this.#restartTimeout();
    if (!this.#stopped) this.changed();
  }

  #renew(): void {
    const { claimSilenceMilliseconds, timer, view } = this.#options;
    const now = timer.now();
    const period = claimSilenceMilliseconds / RENEWALS_PER_TIMEOUT;
    if (now - Math.max(this.#timeoutStart, this.#lastRenewal) < period) return;
    this.#lastRenewal = now;
    this.#options.timer.run(() =>
      this.#appendRenewal(view.claim?.offset ?? -1)
    );
  }

  async #appendRenewal(claim: number): Promise<void> {
    this.#appending = true;
    await this.#options.journal.append({ kind: "renewal", claim });
    this.#appending = false;
  }
}

const HOLDER_SEPARATOR = "#";

/**
 * Name under which one incarnation of a process holds claims. It includes the
 * incarnation because a restarted process must not treat its earlier claim as
 * its own: it has no state of that incarnation's pending work.
 */
export function holderName(
  process: ProcessId,
  incarnation: Incarnation,
): string {
  return `${process}${HOLDER_SEPARATOR}${incarnation}`;
}
