import type { StreamSnapshot } from "../links/mod.ts";
import { beforeDeadline, type TimerService } from "../time/mod.ts";

export interface PeerSourceOptions {
  readonly timer: TimerService;
  /** The highest snapshot that a peer offers, if any does. */
  readonly peers: (() => Promise<StreamSnapshot | undefined>) | undefined;
  readonly onSnapshot: (snapshot: StreamSnapshot) => void;
}

/** How often a process without a usable state asks its peers for one. */
const ASK_MILLISECONDS = 5_000;
/**
 * First wait before a process that has a state asks its peers while it can't
 * read the log; doubled each time. Load: an outage of the log, in which all 40
 * entries of a region have the same state and nothing new comes. Harm
 * prevented: they fetch hundreds of kilobytes from each other all the time. One
 * that is cut off from the log alone still hears of changes.
 */
const FIRST_ASK_IN_OUTAGE_MILLISECONDS = 30_000;
/**
 * The same for a process that reads a replica of the log which is behind what
 * others know: here the peers do have something newer.
 */
const FIRST_ASK_BEHIND_MILLISECONDS = 5_000;
const LONGEST_ASK_MILLISECONDS = 600_000;
const ANSWER_MILLISECONDS = 3_000;

/** Takes a stream's state from peers where the log can't give it. */
export class PeerSource {
  readonly #options: PeerSourceOptions;
  #askedAt = -Infinity;
  #troubleSince: number | undefined;
  #nextInTrouble = 0;

  constructor(options: PeerSourceOptions) {
    this.#options = options;
  }

  /** Asks, unless it has just done so. */
  async ask(): Promise<void> {
    const { onSnapshot, peers, timer } = this.#options;
    if (peers === undefined) return;
    if (timer.now() - this.#askedAt < ASK_MILLISECONDS) return;
    this.#askedAt = timer.now();
    const snapshot = await beforeDeadline(peers(), {
      timer,
      milliseconds: ANSWER_MILLISECONDS,
    });
    if (snapshot !== undefined) onSnapshot(snapshot);
  }

  /** Asks while the log is out of reach, ever more seldom. */
  async askInOutage(): Promise<void> {
    await this.#askInTrouble(FIRST_ASK_IN_OUTAGE_MILLISECONDS);
  }

  /** Asks while the log's answers are old, ever more seldom. */
  async askWhileBehind(): Promise<void> {
    await this.#askInTrouble(FIRST_ASK_BEHIND_MILLISECONDS);
  }

  /** The log can be read again up to what is known of it. */
  troubleEnded(): void {
    this.#troubleSince = undefined;
  }

  async #askInTrouble(firstMilliseconds: number): Promise<void> {
    const now = this.#options.timer.now();
    if (this.#troubleSince === undefined) {
      this.#troubleSince = now;
      this.#nextInTrouble = firstMilliseconds;
    }
    const waited = now - this.#troubleSince;
    if (waited < this.#nextInTrouble) return;
    this.#nextInTrouble = waited + Math.min(waited, LONGEST_ASK_MILLISECONDS);
    await this.ask();
  }
}
