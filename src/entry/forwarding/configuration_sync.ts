import { identifier, type ProcessId } from "../../core/identity/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { ConfigurationStatus } from "./configuration_status.ts";
import {
  CONFIGURATION_METHOD,
  type ConfigurationNotification,
} from "./notifications/configuration_notification.ts";
import type { Broadcast } from "./notifications/notifications.ts";

/**
 * How long to wait for this entry's own read after a peer reports a newer
 * version. All entries read a new version within milliseconds of each other,
 * and their reports cross.
 */
const OWN_READ_GRACE_MILLISECONDS = 100;
/** Interval of queries to peers while one of them has a newer version. */
const FETCH_INTERVAL_MILLISECONDS = 200;
/**
 * Longest random delay, per entry of the fleet, that spreads the queries to the
 * few entries that have a new version.
 */
const FETCH_SPREAD_PER_ENTRY_MILLISECONDS = 1;
/** The same for the announcements of a new version. */
const ANNOUNCEMENT_SPREAD_PER_ENTRY_MILLISECONDS = 0.3;
/** Announcements of a version after which further ones are suppressed. */
const MAX_ANNOUNCEMENTS = 3;

export interface ConfigurationSyncOptions {
  readonly process: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly status: ConfigurationStatus;
  /** Version in force here; undefined until there is one. */
  readonly version: () => number | undefined;
  /** Number of entries in the fleet. */
  readonly entries: () => number;
  readonly broadcast: Broadcast;
  /** Called when the version in force here is known to be current. */
  readonly onConfirmed: () => void;
  /** Checks whether the store has a newer version. */
  readonly checkStore: () => void;
  /** Queries a peer for its configuration and applies it if it is newer. */
  readonly fetchFrom: (peer: ProcessId) => Promise<void>;
}

/**
 * Spreads the news of a configuration among the entries: each announces a new
 * version, and one that is behind reads the store again and queries peers that
 * have the version.
 */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  /** Versions of the peers that are ahead of this entry. */
  readonly #newerPeers = new Map<ProcessId, number>();
  #catchUp: Subscription | undefined;
  #announcement: Subscription | undefined;
  /** Announcements of the version in force by peers. */
  #heardAnnouncements = 0;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#catchUp?.cancel();
    this.#announcement?.cancel();
  }

  /** Records that this entry has read the store's newest version. */
  onStoreRead(): void {
    this.#options.status.onConfirmed();
    this.#options.onConfirmed();
  }

  /**
   * Tells the peers that the version in force here is current, so that one
   * entry checks on behalf of all.
   */
  announceCurrent(): void {
    this.#announce({ isCurrent: true });
  }

  /** Handles that another version has come into force here. */
  onApplied(): void {
    this.#options.status.onApplied();
    for (const [peer, version] of this.#newerPeers) {
      if (version <= this.#ownVersion) this.#newerPeers.delete(peer);
    }
    if (this.#newerPeers.size === 0) this.#stopCatchUp();
    this.#heardAnnouncements = 0;
    // A further version must not delay the announcement.
    this.#announcement ??= this.#options.timer.after(
      this.#spread(ANNOUNCEMENT_SPREAD_PER_ENTRY_MILLISECONDS),
      () => {
        this.#announcement = undefined;
        if (this.#heardAnnouncements >= MAX_ANNOUNCEMENTS) return;
        this.#announce({ isCurrent: false });
      },
    );
  }

  /** Applies a peer's notification. */
  onNotification(
    { entry, isCurrent, version }: ConfigurationNotification,
  ): void {
    if (version === this.#ownVersion) {
      this.#heardAnnouncements += 1;
      if (isCurrent) this.onStoreRead();
    }
    this.onPeerVersion(identifier<ProcessId>(entry), version);
  }

  /** Records the version that a peer has in force. */
  onPeerVersion(peer: ProcessId, version: number): void {
    this.#options.status.onPeerVersion(peer, version);
    if (version <= this.#ownVersion) return;
    this.#newerPeers.set(peer, version);
    // A further version must not delay the query for one that is missing.
    this.#catchUp ??= this.#options.timer.after(
      OWN_READ_GRACE_MILLISECONDS +
        this.#spread(FETCH_SPREAD_PER_ENTRY_MILLISECONDS),
      () => this.#continueCatchUp(),
    );
  }

  get #ownVersion(): number {
    return this.#options.version() ?? -Infinity;
  }

  #spread(millisecondsPerEntry: number): number {
    const { entries, random } = this.#options;
    return millisecondsPerEntry * entries() * random();
  }

  #announce({ isCurrent }: { readonly isCurrent: boolean }): void {
    const { broadcast, process, version } = this.#options;
    const ownVersion = version();
    if (ownVersion === undefined) return;
    const params = { entry: process, version: ownVersion, isCurrent };
    broadcast({ method: CONFIGURATION_METHOD, params });
  }

  #stopCatchUp(): void {
    this.#catchUp?.cancel();
    this.#catchUp = undefined;
  }

  /** Queries the store and one peer, and repeats this until it has caught up. */
  #continueCatchUp(): void {
    const { checkStore, fetchFrom, random, timer } = this.#options;
    const peers = [...this.#newerPeers.keys()];
    if (peers.length === 0) return this.#stopCatchUp();
    this.#catchUp = timer.after(
      FETCH_INTERVAL_MILLISECONDS,
      () => this.#continueCatchUp(),
    );
    checkStore();
    const peer = peers[Math.floor(random() * peers.length)];
    // If the query fails, the next one goes to another peer that is known.
    if (peers.length > 1) this.#newerPeers.delete(peer);
    timer.run(() => fetchFrom(peer));
  }
}
