import type { WorkspaceId } from "../../identity/mod.ts";
import type { FairShares } from "./fair_shares.ts";

export interface RequestShareOptions {
  readonly workspace: WorkspaceId;
  /** Priority of the request; 0 is the most urgent. */
  readonly rank: number;
  /**
   * True if the caller was refused before; its work has been counted as asked
   * for by then.
   */
  readonly isReturning: boolean;
  /** True if the caller retries at the time for which it has a reservation. */
  readonly isDue?: boolean;
}

/** One request's claim to its workspace's share of a pool. */
export class RequestShare {
  readonly workspace: WorkspaceId;
  /** True if the caller retries at the time for which it has a reservation. */
  readonly isDue: boolean;
  readonly #shares: FairShares;
  readonly #rank: number;
  readonly #isReturning: boolean;
  #workMilliseconds: number | undefined;
  #isAdmitted = false;
  #displacedBy: WorkspaceId | undefined;

  constructor(shares: FairShares, options: RequestShareOptions) {
    this.#shares = shares;
    this.workspace = options.workspace;
    this.#rank = options.rank;
    this.#isReturning = options.isReturning;
    this.isDue = options.isDue ?? false;
  }

  /** Records the request's work; only the first call counts. */
  ask(workMilliseconds: number): void {
    if (this.#workMilliseconds !== undefined) return;
    this.#workMilliseconds = workMilliseconds;
    if (this.#isReturning) return;
    this.#shares.recordAsked(this.workspace, {
      milliseconds: workMilliseconds,
      rank: this.#rank,
    });
  }

  /** Records that the request's work was sent; only the first call counts. */
  admit(): void {
    if (this.#isAdmitted) return;
    this.#isAdmitted = true;
    this.#shares.record(this.workspace, this.workMilliseconds);
  }

  /** Engine work of the request, in milliseconds; 0 until it is known. */
  get workMilliseconds(): number {
    return this.#workMilliseconds ?? 0;
  }

  /** Records that a prompt of this workspace takes the request's place. */
  displace(by: WorkspaceId): void {
    this.#displacedBy = by;
  }

  /** The workspace whose prompt took the request's place, if one did. */
  get displacedBy(): WorkspaceId | undefined {
    return this.#displacedBy;
  }

  /** True while the workspace has more than its share of scarce capacity. */
  get isAboveShare(): boolean {
    return this.#shares.isAboveShare(this.workspace, this.#rank);
  }

  /** Share of the pool's recent work that the workspace got, 0 to 1. */
  get used(): number {
    return this.#shares.usedShare(this.workspace);
  }
}
