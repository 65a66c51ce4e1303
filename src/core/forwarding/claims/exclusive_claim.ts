import type { TimerService } from "../../time/mod.ts";

/**
 * Time after its append during which a claim may be used. A holder that was
 * slow or suspended could otherwise act after another one has taken over, and
 * not every receiver checks fencing tokens.
 */
const CLAIM_VALIDITY_MILLISECONDS = 1_500;
/** Margin added to the lease before another holder's claim may be replaced. */
const TAKEOVER_MARGIN_MILLISECONDS = 1_000;
/** Holder of a claim that is known only by its token; its lease is waited for. */
const UNKNOWN_HOLDER = "";

/** The newest claim on a duty that only one holder at a time may perform. */
export interface CurrentClaim {
  readonly holder: string;
  /** Offset of its record in the store, used as the fencing token. */
  readonly offset: number;
}

/** The log of claims, as read from the store. */
export interface ClaimLog {
  readonly claim: CurrentClaim | undefined;
  /** Offset after the last record. */
  readonly end: number;
}

export interface ExclusiveClaimOptions {
  readonly timer: TimerService;
  /** Identifies this run of this process. */
  readonly self: string;
  /** Minimum time between the calls of two holders. */
  readonly leaseMilliseconds: number;
}

/**
 * Mutual exclusion for duties that only one holder at a time may perform. A
 * claim is a record that is appended only if the end of the log has not moved
 * since the claimant read it; its offset is the fencing token. Each round
 * appends its own claim, so that a delayed call of an earlier round is refused
 * because of its lower token.
 */
export class ExclusiveClaim {
  readonly #options: ExclusiveClaimOptions;
  #current: CurrentClaim | undefined;
  #lastSeenAt = -Infinity;
  #validUntil = -Infinity;
  /** End of the lease of a claim that a restore may have lost. */
  #restoreLeaseUntil = -Infinity;

  constructor(options: ExclusiveClaimOptions) {
    this.#options = options;
  }

  /**
   * Records a claim that was read from the log or reported by a peer. False if
   * a newer one is known.
   */
  observe(claim: CurrentClaim): boolean {
    const newest = this.#current?.offset ?? -1;
    if (claim.offset <= newest) return claim.offset === newest;
    this.#current = claim;
    this.#lastSeenAt = this.#options.timer.now();
    if (claim.holder !== this.#options.self) this.#validUntil = -Infinity;
    return true;
  }

  /**
   * Records the newest claim of the log and the log's end. A known claim that is
   * not in the log was lost with a restore, or never appended: its token no
   * longer hides those of the log, but its lease still has to expire.
   */
  observeLog({ claim, end }: ClaimLog): void {
    const isLost = this.#current !== undefined && this.#current.offset >= end;
    if (isLost) {
      this.#current = { holder: UNKNOWN_HOLDER, offset: -1 };
      this.#validUntil = -Infinity;
    }
    if (claim === undefined) return;
    const isOwn = claim.holder === this.#options.self;
    if (isLost && isOwn) {
      this.#current = { ...claim, holder: UNKNOWN_HOLDER };
    } else this.observe(claim);
  }

  /**
   * Records that the store was restored from an older copy. The log may lack a
   * claim that is in use and that this entry has never read.
   */
  noteRestored(): void {
    this.#validUntil = -Infinity;
    this.#restoreLeaseUntil = this.#options.timer.now() + this.#takeoverDelay;
  }

  /**
   * Returns whether a claim may be appended without violating another holder's
   * lease.
   */
  canClaim(): boolean {
    const { self, timer } = this.#options;
    if (timer.now() < this.#restoreLeaseUntil) return false;
    const current = this.#current;
    if (current === undefined || current.holder === self) return true;
    return timer.now() - this.#lastSeenAt >= this.#takeoverDelay;
  }

  get #takeoverDelay(): number {
    return this.#options.leaseMilliseconds + CLAIM_VALIDITY_MILLISECONDS +
      TAKEOVER_MARGIN_MILLISECONDS;
  }

  /**
   * Records an own claim that was appended; `sentAt` is the time before the
   * append. False if a newer claim was observed meanwhile, which may be in use.
   */
  recordAcquired(offset: number, sentAt: number): boolean {
    if (offset < (this.#current?.offset ?? -1)) return false;
    this.#current = { holder: this.#options.self, offset };
    this.#lastSeenAt = this.#options.timer.now();
    this.#validUntil = sentAt + CLAIM_VALIDITY_MILLISECONDS;
    return true;
  }

  /**
   * Records that a receiver has seen a higher token: there is another holder.
   */
  refused(): void {
    this.#validUntil = -Infinity;
    this.#lastSeenAt = this.#options.timer.now();
    if (this.#current?.holder === this.#options.self) {
      this.#current = { ...this.#current, holder: UNKNOWN_HOLDER };
    }
  }

  /**
   * Fencing token for a call that is sent now; undefined without a valid claim.
   */
  get fencing(): number | undefined {
    const isValid = this.#options.timer.now() < this.#validUntil;
    return isValid ? this.#current?.offset : undefined;
  }

  /** Holder of the newest known claim. */
  get holder(): string | undefined {
    return this.#current?.holder;
  }
}
