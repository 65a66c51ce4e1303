import type { EntryLink, PeerAddress } from "../core/links/mod.ts";
import type { Random } from "../core/random/mod.ts";
import { withJitter } from "../core/random/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { SideReport, WatchAnswer } from "../generated/messages.ts";

export interface WatchLoopOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly entries: EntryLink;
  /** Entries to attach to, best first; may change at any time. */
  readonly candidates: () => readonly PeerAddress[];
  /** This loop's place among the side's loops, from 0. */
  readonly place: number;
  /** Number of loops, so that two loops never share an entry. */
  readonly loops: number;
  readonly report: () => SideReport;
  readonly onAnswer: (answer: WatchAnswer) => void;
  /** How long the entry may hold the question open, milliseconds. */
  readonly waitMilliseconds: number;
}

/** Pause before a question is asked again after a failure, milliseconds. */
const RETRY_MILLISECONDS = 500;
/** Spreads the sides' returns after an entry's restart over time. */
const RETRY_JITTER_SHARE = 1;

/**
 * Asks an entry over and over for what is in force for the endpoint. A side
 * keeps two of these, on two entries, so that the loss of one entry delays
 * nothing. After a failure the loop turns to its next candidate: entry VMs are
 * replaced, and a side that stayed with a lost one would never hear again.
 */
export class WatchLoop {
  readonly #options: WatchLoopOptions;
  #failures = 0;
  #stopped = false;
  #pause: Subscription | undefined;

  constructor(options: WatchLoopOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#ask();
  }

  stop(): void {
    this.#stopped = true;
    this.#pause?.cancel();
  }

  async #ask(): Promise<void> {
    const { entries, report, waitMilliseconds } = this.#options;
    const entry = this.#entry();
    if (entry === undefined) return this.#askLater();
    const answer = await entries.watch(entry, {
      report: report(),
      waitMilliseconds,
    });
    if (this.#stopped) return;
    if (answer.isErr()) {
      this.#failures += 1;
      return this.#askLater();
    }
    this.#options.onAnswer(answer.value);
    void this.#ask();
  }

  /** The loops step through the candidates by their number, so they never meet. */
  #entry(): PeerAddress | undefined {
    const { candidates, place, loops } = this.#options;
    const all = candidates();
    if (all.length === 0) return undefined;
    return all[(place + loops * this.#failures) % all.length];
  }

  #askLater(): void {
    const { timer, random } = this.#options;
    const delay = withJitter(RETRY_MILLISECONDS, {
      random,
      share: RETRY_JITTER_SHARE,
    });
    this.#pause = timer.after(delay, () => void this.#ask());
  }
}
