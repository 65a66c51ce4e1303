import type { TimerService } from "../../time/mod.ts";

/**
 * How long a refusal is remembered. Callers come back within a third of the
 * time they have, which is two seconds for long prompts.
 */
const MEMORY_MILLISECONDS = 3_000;
/**
 * Refusals that are remembered. Load: a burst in which most of several hundred
 * prompts a second are refused; three seconds of it are some thousand. Harm
 * prevented: a flood of refused requests fills a thin VM's memory.
 */
const MOST_REMEMBERED = 5_000;
/** Refusals that wait to be told to peers. */
const MOST_UNTOLD = 500;

/** A refusal as peers tell of it: the prompt, and its caller's wait so far. */
export type ToldRefusal = readonly [prompt: string, waitedMilliseconds: number];

/**
 * How long callers have waited before this attempt. Targets count from the first
 * attempt, so that a caller that was refused before can often be answered late
 * only, whichever entry it comes back to.
 *
 * A caller is recognized by its own part of the prompt, which it sends again. The
 * rest of its deadline is ambiguous, since callers' deadlines differ.
 */
export class ReturningCallers {
  readonly #timer: TimerService;
  /** When the caller of a refused prompt first came, the oldest first. */
  readonly #firstArrivals = new Map<string, number>();
  #untold: ToldRefusal[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Time since the first attempt with this prompt, milliseconds. */
  waited(prompt: string | undefined): number {
    if (prompt === undefined) return 0;
    const firstArrival = this.#firstArrivals.get(prompt);
    const now = this.#timer.now();
    if (
      firstArrival === undefined || now - firstArrival > MEMORY_MILLISECONDS
    ) {
      return 0;
    }
    return now - firstArrival;
  }

  /** This entry has refused the prompt; its caller has waited so long. */
  refused(prompt: string, waitedMilliseconds: number): void {
    this.peerRefused([prompt, waitedMilliseconds]);
    if (this.#untold.length >= MOST_UNTOLD) return;
    this.#untold.push([prompt, Math.round(waitedMilliseconds)]);
  }

  /** A peer has refused the prompt. */
  peerRefused([prompt, waitedMilliseconds]: ToldRefusal): void {
    this.#firstArrivals.delete(prompt);
    this.#firstArrivals.set(prompt, this.#timer.now() - waitedMilliseconds);
    if (this.#firstArrivals.size <= MOST_REMEMBERED) return;
    for (const oldest of this.#firstArrivals.keys()) {
      this.#firstArrivals.delete(oldest);
      return;
    }
  }

  /** Own refusals since the last call, for the peers. */
  takeUntold(): readonly ToldRefusal[] {
    const untold = this.#untold;
    this.#untold = [];
    return untold;
  }

  /** True where there is something to tell peers. */
  get hasUntold(): boolean {
    return this.#untold.length > 0;
  }
}
