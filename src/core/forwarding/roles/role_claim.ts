import type { TimerService } from "../../time/mod.ts";

/**
 * How long after its append a claim may be used for orders. Harm prevented: a
 * holder that was slow gives orders after another has taken over; engines that
 * check fencing numbers refuse them, others would carry them out.
 */
const USABLE_MILLISECONDS = 1_500;
/** Spare time beyond the lease before a claim of another is replaced. */
const TAKEOVER_MARGIN_MILLISECONDS = 1_000;

/** The newest claim on giving orders, as it stands on the log. */
export interface StandingClaim {
  readonly holder: string;
  /** Offset of its record: the fencing number of its orders. */
  readonly offset: number;
}

export interface RoleClaimOptions {
  readonly timer: TimerService;
  /** Name of this run of this process. */
  readonly self: string;
  /** Time that has to lie between the orders of two holders. */
  readonly leaseMilliseconds: number;
}

/**
 * Who may give orders to engines. A claim is a record that is appended only
 * if the log still ends where the claimant last saw its end; its offset is the
 * fencing number. Each round of orders has a claim of its own, so that an
 * order of an earlier round that is carried out late is refused for its lower
 * number.
 */
export class RoleClaim {
  readonly #options: RoleClaimOptions;
  #standing: StandingClaim | undefined;
  #seenAt = -Infinity;
  #usableUntil = -Infinity;

  constructor(options: RoleClaimOptions) {
    this.#options = options;
  }

  /** The log has shown its newest claim. */
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

  /** An engine has seen a higher number: somebody else holds the claim. */
  refused(): void {
    this.#usableUntil = -Infinity;
    this.#seenAt = this.#options.timer.now();
    if (this.#standing?.holder === this.#options.self) {
      this.#standing = { holder: "", offset: this.#standing.offset };
    }
  }

  /** Fencing number for an order that is sent now. */
  get fencing(): number | undefined {
    const isUsable = this.#options.timer.now() < this.#usableUntil;
    return isUsable ? this.#standing?.offset : undefined;
  }
}
