import type { TimerService } from "../core/time/mod.ts";

/** How long an attempt's id is remembered, milliseconds. */
const REMEMBERED_MILLISECONDS = 120_000;
/** Most ids that are remembered; the oldest go first. */
const MOST_REMEMBERED = 20_000;

/**
 * Ids of attempts that have arrived. A message that the network delivers
 * twice would execute a call twice; one would notice a doubled permit. The
 * second message finds its id here and is dropped. The memory is bounded:
 * a copy that is later than the bounds can only come from a link that keeps
 * messages for minutes, which a TCP connection does not.
 */
export class RecentAttempts {
  readonly #timer: TimerService;
  readonly #seen = new Map<string, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** False where the attempt has arrived before. */
  add(attemptId: string): boolean {
    if (this.#seen.has(attemptId)) return false;
    this.#seen.set(attemptId, this.#timer.now());
    this.#forget();
    return true;
  }

  #forget(): void {
    const oldest = this.#timer.now() - REMEMBERED_MILLISECONDS;
    for (const [attemptId, at] of this.#seen) {
      if (at > oldest && this.#seen.size <= MOST_REMEMBERED) return;
      this.#seen.delete(attemptId);
    }
  }
}
