import type { Incarnation, ProcessId } from "../identity/mod.ts";
import type { Journal } from "../journal/mod.ts";
import type { Random } from "../random/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";
import { type Claim, NO_HOLDER } from "./claim.ts";

/** What a keeper looks at; the folds of claims give it. */
export interface ClaimView {
  readonly claim: Claim | undefined;
  /** Offset of the last record that shows the claim's holder alive. */
  readonly lastSign: number;
}

export interface ClaimKeeperOptions {
  readonly journal: Journal;
  readonly view: ClaimView;
  readonly timer: TimerService;
  readonly random: Random;
  readonly process: ProcessId;
  readonly incarnation: Incarnation;
  /** Silence of the holder after which others claim. */
  readonly claimSilenceMilliseconds: number;
  /** False where this process must not hold the claim, as when it leaves. */
  readonly eligible?: () => boolean;
  /** Timer time at which the holder last spoke to this process directly. */
  readonly heardDirectly?: (holder: string) => number | undefined;
  readonly onGained?: (claim: Claim) => void;
  readonly onLost?: (claim: Claim | undefined) => void;
}

/**
 * Renewals in one span of allowed silence. Load: 11 regions with two claims
 * each, at 3 s of silence, make 22 renewals a second for the whole platform,
 * of several hundred appends. Three, so that one lost append is no takeover.
 */
const RENEWALS_IN_SILENCE = 3;
const LOOKS_IN_SILENCE = 10;
/**
 * Share of the patience over which claimants spread. Load: the 40 entries of a
 * region that all see the same silence. Harm prevented: 40 claims of which 39
 * are void; at half the patience one claim mostly stands before the next is due.
 */
const JITTER_SHARE = 0.5;
/**
 * Share of the silence over which claims on a free authority spread: 1 s at
 * 3 s of silence, against about 40 ms until a claim has been read by all, so
 * that of 40 entries two or three claim.
 */
const FREE_SPREAD_SHARE = 1 / 3;
/** Patience against the longest recent pause between signs of life. */
const PATIENCE_TO_LONGEST_PAUSE = 2;
/** What each sign of life takes off the longest pause that is remembered. */
const PAUSE_DECAY = 0.9;

/**
 * Holds a claim while its process can, and takes one over from a holder that
 * has fallen silent. It serves liveness alone: whoever holds the claim is
 * decided by the log, so a wrong guess here costs a takeover and no safety.
 *
 * Silence counts only while this process reads the log without delay. What
 * goes wrong otherwise: after an outage or while the log is slow every
 * entry takes the missing renewals for a dead holder, and the claim flaps.
 */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #self: string;
  #look: Subscription | undefined;
  #seenSign = -1;
  #seenClaim: number | undefined;
  #silentSince: number;
  /** Drawn anew after each sign of life, so that claimants differ. */
  #draw: number;
  #longestPause = 0;
  #lastRenewal = -Infinity;
  #lastLook: number;
  #appending = false;
  #held: number | undefined;
  #stopped = true;

  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
    this.#self = holderName(options.process, options.incarnation);
    this.#silentSince = options.timer.now();
    this.#lastLook = options.timer.now();
    this.#draw = options.random();
  }

  /** The claim of this run of the process, while it is in force. */
  get held(): Claim | undefined {
    const { claim } = this.#options.view;
    return claim?.holder === this.#self ? claim : undefined;
  }

  start(): void {
    this.#stopped = false;
    this.#silentSince = this.#options.timer.now();
    this.#lastLook = this.#options.timer.now();
    this.#planLook();
  }

  /** Call after each record, so that a change of holder is told at once. */
  changed(): void {
    const held = this.held?.offset;
    if (held === this.#held) return;
    const wasHeld = this.#held !== undefined;
    this.#held = held;
    if (wasHeld) this.#options.onLost?.(this.#options.view.claim);
    if (this.held !== undefined) this.#options.onGained?.(this.held);
  }

  /** Hands the claim over, so that a planned stop leaves no pause. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#look?.cancel();
    const held = this.held;
    if (held === undefined) return;
    await this.#options.journal.append({
      kind: "claim",
      holder: NO_HOLDER,
      replaces: held.offset,
    });
  }

  /** Looks at uneven times, so that entries started together drift apart. */
  #planLook(): void {
    const { claimSilenceMilliseconds, random, timer } = this.#options;
    const period = claimSilenceMilliseconds / LOOKS_IN_SILENCE;
    this.#look = timer.after(2 * period * random(), () => {
      this.#planLook();
      this.#consider();
    });
  }

  #consider(): void {
    this.changed();
    this.#noteOwnPause();
    this.#noteSigns();
    if (this.#appending || this.#options.eligible?.() === false) return;
    if (this.held !== undefined) this.#renew();
    else if (this.#isSilent()) void this.#claimAfterRead();
  }

  /**
   * A pause of this very process says nothing about the holder. Taken for the
   * holder's it would stretch the patience to a multiple of the pause, and a
   * dead holder's claim would stay untaken that long: a publication would
   * wait for its verdict meanwhile.
   */
  #noteOwnPause(): void {
    const now = this.#options.timer.now();
    const slept = now - this.#lastLook >= this.#options
      .claimSilenceMilliseconds;
    this.#lastLook = now;
    if (slept) this.#countAnew();
  }

  #noteSigns(): void {
    const { journal, timer, view } = this.#options;
    const heard = this.#heardDirectly();
    if (heard > this.#silentSince) this.#silentSince = heard;
    const quiet = journal.reachable && journal.caughtUp;
    if (quiet && view.lastSign === this.#seenSign) return;
    const pause = timer.now() - this.#silentSince;
    const decayed = this.#longestPause * PAUSE_DECAY;
    // The pause before another holder's first sign is a takeover, which says
    // nothing about how far apart a living holder's signs are.
    const isSameHolder = view.claim?.offset === this.#seenClaim;
    this.#longestPause = quiet && isSameHolder
      ? Math.max(decayed, pause)
      : decayed;
    this.#seenSign = view.lastSign;
    this.#seenClaim = view.claim?.offset;
    this.#countAnew();
  }

  #countAnew(): void {
    this.#silentSince = this.#options.timer.now();
    this.#draw = this.#options.random();
  }

  #heardDirectly(): number {
    const holder = this.#options.view.claim?.holder;
    if (holder === undefined || holder === NO_HOLDER) return -Infinity;
    return this.#options.heardDirectly?.(holder) ?? -Infinity;
  }

  /** Silence, milliseconds, after which this process claims. */
  #patience(): number {
    const { claimSilenceMilliseconds } = this.#options;
    if (this.#isFree()) {
      return claimSilenceMilliseconds * FREE_SPREAD_SHARE * this.#draw;
    }
    const allowed = Math.max(
      claimSilenceMilliseconds,
      PATIENCE_TO_LONGEST_PAUSE * this.#longestPause,
    );
    return allowed * (1 + JITTER_SHARE * this.#draw);
  }

  /**
   * A claim that nobody holds, or that an earlier run of this very process
   * held, needs no wait for signs of life.
   */
  #isFree(): boolean {
    const holder = this.#options.view.claim?.holder;
    return holder === undefined || holder === NO_HOLDER ||
      holder.startsWith(`${this.#options.process}${HOLDER_SEPARATOR}`);
  }

  #isSilent(): boolean {
    return this.#options.timer.now() - this.#silentSince >= this.#patience();
  }

  /**
   * Claims after a fresh read of the log. What goes wrong without it: the log
   * turns slow, the holder's renewals come late, and the claim goes from
   * entry to entry, each time with a new number. The read takes as long as the
   * log is slow, and what was on its way arrives meanwhile.
   */
  async #claimAfterRead(): Promise<void> {
    this.#appending = true;
    const isFresh = await this.#options.journal.isFresh();
    if (!isFresh) this.#countAnew();
    // Signs of life, or another's claim, may have come meanwhile.
    this.#noteSigns();
    if (this.#isSilent() && !this.#stopped) await this.#claim();
    this.#appending = false;
  }

  async #claim(): Promise<void> {
    const { journal, view } = this.#options;
    await journal.append({
      kind: "claim",
      holder: this.#self,
      replaces: view.claim?.offset ?? -1,
    });
    // Also after a failure: a log that takes no appends hides the holder's
    // renewals as well, so the silence counts anew.
    this.#countAnew();
    if (!this.#stopped) this.changed();
  }

  #renew(): void {
    const { claimSilenceMilliseconds, timer, view } = this.#options;
    const now = timer.now();
    const period = claimSilenceMilliseconds / RENEWALS_IN_SILENCE;
    if (now - Math.max(this.#silentSince, this.#lastRenewal) < period) return;
    this.#lastRenewal = now;
    void this.#appendRenewal(view.claim?.offset ?? -1);
  }

  async #appendRenewal(claim: number): Promise<void> {
    this.#appending = true;
    await this.#options.journal.append({ kind: "renewal", claim });
    this.#appending = false;
  }
}

const HOLDER_SEPARATOR = "#";

/**
 * Name under which one run of a process holds claims. The incarnation belongs
 * to it: a restarted process must not take its earlier run's claim for its
 * own, as it knows nothing of what that run had under way.
 */
export function holderName(
  process: ProcessId,
  incarnation: Incarnation,
): string {
  return `${process}${HOLDER_SEPARATOR}${incarnation}`;
}
