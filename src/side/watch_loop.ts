import type { EntryLink, PeerAddress } from "../core/links/mod.ts";
import type { Random } from "../core/random/mod.ts";
import { withJitter } from "../core/random/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { SideReport, WatchAnswer } from "../generated/messages.ts";

export interface WatchLoopOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly entries: EntryLink;
  readonly entry: PeerAddress;
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
 * Asks one entry over and over for what is in force for the endpoint. A side
 * keeps two of these, on two entries, so that the loss of one entry delays
 * nothing.
 */
export class WatchLoop {
  readonly #options: WatchLoopOptions;
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
    const { entries, entry, report, waitMilliseconds } = this.#options;
    const answer = await entries.watch(entry, {
      report: report(),
      waitMilliseconds,
    });
    if (this.#stopped) return;
    if (answer.isOk()) {
      this.#options.onAnswer(answer.value);
      void this.#ask();
      return;
    }
    this.#askLater();
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
