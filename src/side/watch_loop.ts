import type { EntryLink, PeerAddress } from "../core/links/mod.ts";
import type { Random } from "../core/random/mod.ts";
import { withJitter } from "../core/random/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { SideReport, WatchAnswer } from "../generated/messages.ts";

export interface WatchLoopOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly entries: EntryLink;
  /** Entries to attach to, best first; the list may change at any time. */
  readonly candidates: () => readonly PeerAddress[];
  /** Index of this loop among the side's loops, from 0. */
  readonly loopIndex: number;
  /** Number of the side's loops, by which each steps through the candidates. */
  readonly loopCount: number;
  readonly report: () => SideReport;
  readonly onAnswer: (answer: WatchAnswer) => void;
  /** Maximum time that the entry holds a long poll open, milliseconds. */
  readonly waitMilliseconds: number;
}

/** Base delay before a retry after a failure, milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500;
/**
 * Jitter as a fraction of the retry delay; it spreads the reconnects of the
 * sides after an entry's restart.
 */
const RETRY_JITTER_SHARE = 1;

/**
 * Long-polls an entry for the configuration and order in force for the
 * endpoint. A side runs two loops on two entries, so that the loss of one entry
 * delays nothing. After a failure, the loop switches to its next candidate:
 * entry VMs are replaced, and a side that only retried a lost one would never
 * get an update again.
 */
export class WatchLoop {
  readonly #options: WatchLoopOptions;
  #failures = 0;
  #stopped = false;
  #retryTimer: Subscription | undefined;

  constructor(options: WatchLoopOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.timer.run(() => this.#poll());
  }

  stop(): void {
    this.#stopped = true;
    this.#retryTimer?.cancel();
  }

  async #poll(): Promise<void> {
    const { entries, report, waitMilliseconds } = this.#options;
    const entry = this.#entry();
    if (entry === undefined) return this.#retryLater();
    const answer = await entries.watch(entry, {
      report: report(),
      waitMilliseconds,
    });
    if (this.#stopped) return;
    if (answer.isErr()) {
      this.#failures += 1;
      return this.#retryLater();
    }
    this.#options.onAnswer(answer.value);
    this.#options.timer.run(() => this.#poll());
  }

  /**
   * Current candidate of this loop. Each loop steps through the candidates by
   * the number of loops, so that two loops use different entries. After a
   * failure they can still share one if the number of candidates is not a
   * multiple of the number of loops.
   */
  #entry(): PeerAddress | undefined {
    const { candidates, loopIndex, loopCount } = this.#options;
    const all = candidates();
    if (all.length === 0) return undefined;
    return all[(loopIndex + loopCount * this.#failures) % all.length];
  }

  #retryLater(): void {
    const { timer, random } = this.#options;
    const delay = withJitter(RETRY_DELAY_MILLISECONDS, {
      random,
      share: RETRY_JITTER_SHARE,
    });
    this.#retryTimer = timer.after(delay, () => this.#poll());
  }
}
