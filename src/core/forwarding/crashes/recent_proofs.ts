import type { SuspectDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Maximum number of digests with a proof. */
const MAX_PROOFS = 4_096;
/**
 * Time for which a run shows that what it holds does not crash endpoints. What
 * many requests hold has such a run at any time.
 */
const VALIDITY_MILLISECONDS = 1_000;

/** When the last run of requests and parts began that did not crash. */
export class RecentProofs {
  readonly #timer: TimerService;
  /** The oldest record first, milliseconds. */
  readonly #beganAt = new Map<SuspectDigest, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  record(digest: SuspectDigest, beganAt: number): void {
    const known = this.#beganAt.get(digest) ?? -Infinity;
    this.#beganAt.delete(digest);
    this.#beganAt.set(digest, Math.max(known, beganAt));
    if (this.#beganAt.size <= MAX_PROOFS) return;
    for (const oldest of this.#beganAt.keys()) {
      this.#beganAt.delete(oldest);
      return;
    }
  }

  /** When the last such run began; -Infinity if none is known. */
  beganAt(digest: SuspectDigest): number {
    return this.#beganAt.get(digest) ?? -Infinity;
  }

  isRecent(digest: SuspectDigest): boolean {
    const oldest = this.#timer.now() - VALIDITY_MILLISECONDS;
    return this.beganAt(digest) >= oldest;
  }
}
