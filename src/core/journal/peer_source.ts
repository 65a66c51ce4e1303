import type { StreamSnapshot } from "../links/mod.ts";
import { type TimerService, withTimeout } from "../time/mod.ts";

export interface PeerSourceOptions {
  readonly timer: TimerService;
  /** Returns the highest snapshot of any peer, if one has any. */
  readonly peers: (() => Promise<StreamSnapshot | undefined>) | undefined;
  readonly onSnapshot: (snapshot: StreamSnapshot) => void;
}

/**
 * Shortest interval between queries, used by a process without a usable state.
 */
const QUERY_INTERVAL_MILLISECONDS = 5_000;
/**
 * Initial delay before a process that has a state queries its peers while it
 * can't read the log; doubled each time. In an outage of the log, all 40
 * entries of a region have the same state and no new records arrive, and
 * without the backoff they would continuously fetch hundreds of kilobytes from
 * each other. A process that alone is cut off from the log still receives
 * changes.
 */
const INITIAL_OUTAGE_DELAY_MILLISECONDS = 30_000;
/**
 * The same for a process whose log replica is behind: here the peers do have
 * newer records.
 */
const INITIAL_LAG_DELAY_MILLISECONDS = 5_000;
const MAX_QUERY_DELAY_MILLISECONDS = 600_000;
const ANSWER_TIMEOUT_MILLISECONDS = 3_000;

/** Fetches a stream's state from peers when the log can't provide it. */
export class PeerSource {
  readonly #options: PeerSourceOptions;
  #lastQueryAt = -Infinity;
  #degradedSince: number | undefined;
  #nextQueryAfter = 0;

  constructor(options: PeerSourceOptions) {
    this.#options = options;
  }

  /** Queries the peers, unless it did so within the minimum interval. */
  async query(): Promise<void> {
    const { onSnapshot, peers, timer } = this.#options;
    if (peers === undefined) return;
    if (timer.now() - this.#lastQueryAt < QUERY_INTERVAL_MILLISECONDS) return;
    this.#lastQueryAt = timer.now();
    const snapshot = await withTimeout(peers(), {
      timer,
      milliseconds: ANSWER_TIMEOUT_MILLISECONDS,
    });
    if (snapshot !== undefined) onSnapshot(snapshot);
  }

  /**
   * Queries the peers while the log is unreachable, with exponential backoff.
   */
  async queryDuringOutage(): Promise<void> {
    await this.#queryWithBackoff(INITIAL_OUTAGE_DELAY_MILLISECONDS);
  }

  /**
   * Queries the peers while the log replica is behind, with exponential
   * backoff.
   */
  async queryWhileBehind(): Promise<void> {
    await this.#queryWithBackoff(INITIAL_LAG_DELAY_MILLISECONDS);
  }

  /** The log is readable again up to its highest known head. */
  resetBackoff(): void {
    this.#degradedSince = undefined;
  }

  async #queryWithBackoff(initialMilliseconds: number): Promise<void> {
    const now = this.#options.timer.now();
    if (this.#degradedSince === undefined) {
      this.#degradedSince = now;
      this.#nextQueryAfter = initialMilliseconds;
    }
    const waited = now - this.#degradedSince;
    if (waited < this.#nextQueryAfter) return;
    this.#nextQueryAfter = waited +
      Math.min(waited, MAX_QUERY_DELAY_MILLISECONDS);
    await this.query();
  }
}
