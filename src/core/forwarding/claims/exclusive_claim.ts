import type { TimerService } from "../../time/mod.ts";

/**
 * How long after its append a claim may be used. A holder that was slow or
 * frozen would otherwise act after another has taken over, and not every
 * receiver checks fencing tokens.
 */
const USABLE_MILLISECONDS = 1_500;
/** Spare time beyond the lease before a claim of another is replaced. */
const TAKEOVER_MARGIN_MILLISECONDS = 1_000;

/** The newest claim on what only one holder at a time may do. */
export interface StandingClaim {
  readonly holder: string;
  /** Offset of its record in the store: the fencing token of its calls. */
  readonly offset: number;
}

export interface ExclusiveClaimOptions {
  readonly timer: TimerService;
  /** Name of this run of this process. */
  readonly self: string;
  /** Time that has to lie between the calls of two holders. */
  readonly leaseMilliseconds: number;
}

/**
 * Whose turn it is to do what only one holder at a time may do. A claim is a
 * record that is appended only if the log still ends where the claimant last
 * saw its end; its offset is the fencing token. Each round has a claim of its
 * own, so that a call of an earlier round that is carried out late is refused
 * for its lower token.
 */
export class ExclusiveClaim {
  readonly #options: ExclusiveClaimOptions;
  #standing: StandingClaim | undefined;
  #seenAt = -Infinity;
  #usableUntil = -Infinity;

  constructor(options: ExclusiveClaimOptions) {
    this.#options = options;
  }

  /** The store or a peer has shown its newest claim. */
  saw(claim: StandingClaim): void {
    if (claim.offset <= (this.#standing?.offset ?? -1)) return;
    this.#standing = claim;
    this.#seenAt = this.#options.timer.now();
    if (claim.holder !== this.#options.self) this.#usableUntil = -Infinity;
  }

  /** True where an append of an own claim breaks into nobody's lease. */
  mayClaim(): boolean {
    const { leaseMilliseconds, self, timer } = this.#options;
    const standing = this.#standing;
    if (standing === undefined || standing.holder === self) return true;
    const wait = leaseMilliseconds + USABLE_MILLISECONDS +
      TAKEOVER_MARGIN_MILLISECONDS;
    return timer.now() - this.#seenAt >= wait;
  }

  /** The own claim stands; `sentAt` is the time before its append. */
  gained(offset: number, sentAt: number): void {
    this.#standing = { holder: this.#options.self, offset };
    this.#seenAt = this.#options.timer.now();
    this.#usableUntil = sentAt + USABLE_MILLISECONDS;
  }

  /** A receiver has seen a higher token: somebody else holds the claim. */
  refused(): void {
    this.#usableUntil = -Infinity;
    this.#seenAt = this.#options.timer.now();
    if (this.#standing?.holder === this.#options.self) {
      this.#standing = { holder: "", offset: this.#standing.offset };
    }
  }

  /** Fencing token for a call that is sent now. */
  get fencing(): number | undefined {
    const isUsable = this.#options.timer.now() < this.#usableUntil;
    return isUsable ? this.#standing?.offset : undefined;
  }

  /** Who had the claim when it was last seen. */
  get holder(): string | undefined {
    return this.#standing?.holder;
  }
}
