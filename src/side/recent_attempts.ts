import type { TimerService } from "../core/time/mod.ts";

/** Retention of attempt ids, milliseconds. */
const RETENTION_MILLISECONDS = 120_000;
/** Maximum retained attempt ids; the oldest are evicted first. */
const MAX_ATTEMPT_IDS = 20_000;

/**
 * Ids of recently received attempts, for dropping messages that the network
 * delivers twice: a duplicate would execute the call again and use its permit
 * twice. The memory is bounded: a duplicate could only arrive after the bounds
 * over a link that buffers messages for minutes, which a TCP connection does
 * not.
 */
export class RecentAttempts {
  readonly #timer: TimerService;
  readonly #arrivedAt = new Map<string, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records an attempt. Returns false if it has arrived before. */
  add(attemptId: string): boolean {
    if (this.#arrivedAt.has(attemptId)) return false;
    this.#arrivedAt.set(attemptId, this.#timer.now());
    this.#evict();
    return true;
  }

  #evict(): void {
    const cutoff = this.#timer.now() - RETENTION_MILLISECONDS;
    for (const [attemptId, arrivedAt] of this.#arrivedAt) {
      if (arrivedAt > cutoff && this.#arrivedAt.size <= MAX_ATTEMPT_IDS) return;
      this.#arrivedAt.delete(attemptId);
    }
  }
}
