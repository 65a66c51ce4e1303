import type { Result } from "neverthrow";
import {
  type EndpointRegistry,
  isPrefillEngine,
  type ListedVersions,
  type RegisteredEndpoint,
  type ServingVersion,
  SharedRead,
  type StoreFailure,
  STREAM_LIFETIME_MILLISECONDS,
} from "../../core/forwarding/mod.ts";
import type {
  ProcessId,
  ServiceName,
  SoftwareVersion,
} from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import {
  type Subscription,
  type TimerService,
  withTimeout,
} from "../../core/time/mod.ts";
import type { Broadcast, SendToPeer } from "./notifications/notifications.ts";
import {
  decodeVersion,
  encodeVersion,
  type VersionNotification,
  VERSIONS_METHOD,
} from "./notifications/version_notification.ts";

/** Delay after which the next entry lists a version that is still missing. */
const NEXT_WRITER_MILLISECONDS = 300;
/** Spread of the writes of entries that do not know who is first. */
const UNRANKED_SPREAD_MILLISECONDS = 1_000;
/** Delay between attempts to read the list or to write to it. */
const RETRY_MILLISECONDS = 500;
/** Time for which a caller waits for the list to be read again. */
const CONFIRMATION_MILLISECONDS = 300;
/** Bounds the reads for callers whose streams no entry knows. */
const MIN_READ_INTERVAL_MILLISECONDS = 50;
/** Interval of comparisons of the list with the versions that serve. */
const SWEEP_MILLISECONDS = 30_000;
/**
 * Time without replicas after which a version that comes back is listed again.
 * Another entry may have removed it, and the news of that be lost. It is well
 * below the time after which versions are removed, as entries see the last
 * replica at different times.
 */
const RELIST_MILLISECONDS = STREAM_LIFETIME_MILLISECONDS / 2;
/** Time after the last replica of a version in which one may come back. */
const RETURN_MILLISECONDS = 10_000;
/**
 * Time in which all entries that reach the store notice that it was restored,
 * and list the versions again that it lacks. Each reads the list of the fleet
 * every 12 s.
 */
const RESTORE_MILLISECONDS = 20_000;

/** The list in the store. */
export interface VersionLink {
  readonly read: () => Promise<Result<readonly ServingVersion[], StoreFailure>>;
  readonly add: (
    version: ServingVersion,
  ) => Promise<Result<void, StoreFailure>>;
  readonly remove: (
    version: ServingVersion,
  ) => Promise<Result<void, StoreFailure>>;
}

/**
 * The version that has begun every stream of a pool, or why it is not known:
 * there is no list, or it could not be read in time, or may lack versions as the
 * store was restored from an older copy, or names several.
 */
export type VersionProof =
  | { readonly softwareVersion: SoftwareVersion }
  | "no_list"
  | "list_not_read"
  | "list_restored"
  | "several_versions";

export interface VersionListingOptions {
  readonly self: ProcessId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: EndpointRegistry;
  readonly listed: ListedVersions;
  /** Absent: versions are not listed, and none is known to be the only one. */
  readonly link: VersionLink | undefined;
  /**
   * Time since which this entry has read the registrations without a gap;
   * Infinity during a gap.
   */
  readonly registrationsFollowedSince: () => number;
  /** Live entries including this one; the first one writes. */
  readonly ranking: (subject: string) => readonly ProcessId[];
  /** Entries in the list of the fleet, without this one. */
  readonly peers: () => readonly ProcessId[];
  readonly broadcast: Broadcast;
  readonly send: SendToPeer;
}

/**
 * Lists the software versions that serve each pool in the store, so that an
 * entry that has just started knows whether another one may have begun a
 * stream. A version is listed before its replicas begin resumable streams.
 */
export class VersionListing {
  readonly #options: VersionListingOptions;
  /** When a replica of each version was last registered, by key. */
  readonly #seenAt = new Map<string, number>();
  /** Versions that may have begun streams and that the list lacks, by key. */
  readonly #unlisted = new Map<string, ServingVersion>();
  /** Versions that this entry is to list after a delay, by key. */
  readonly #scheduled = new Set<string>();
  /** Writes to the list and removals that are under way, by key. */
  readonly #writes = new Map<string, Promise<void>>();
  /** When the last successful read of the whole list began. */
  #readAt = -Infinity;
  /** When the whole list was last learned, from the store or from a peer. */
  #knownSince = -Infinity;
  /** When this entry noticed that the store was restored from a copy. */
  #restoredAt = -Infinity;
  /** True while versions that a restored store lacks are looked for. */
  #isRestoring = false;
  #sweep: Subscription | undefined;
  #isStopped = false;
  /** Reads of the list for callers whose streams no entry knows. */
  readonly #confirmation: SharedRead;

  constructor(options: VersionListingOptions) {
    this.#options = options;
    this.#confirmation = new SharedRead({
      timer: options.timer,
      read: () => this.#read(),
      minIntervalMilliseconds: MIN_READ_INTERVAL_MILLISECONDS,
      timeoutMilliseconds: CONFIRMATION_MILLISECONDS,
    });
  }

  start(): void {
    if (this.#options.link === undefined) return;
    this.#options.timer.run(() => this.#readFirst());
    this.#sweep = this.#options.timer.every(
      SWEEP_MILLISECONDS,
      () => this.#compare(),
    );
  }

  stop(): void {
    this.#isStopped = true;
    this.#sweep?.cancel();
  }

  /** True if a version that may have begun streams is not listed. */
  get hasUnlisted(): boolean {
    return this.#unlisted.size > 0;
  }

  /** Age of the list as it was last read from the store, in milliseconds. */
  get ageMilliseconds(): number {
    return this.#options.timer.now() - this.#readAt;
  }

  /**
   * Finds the version that has begun every stream of the pool that could be
   * taken up when this was called. The list is read again for that: another
   * version may have joined while this entry could not hear of it.
   */
  async confirmSoleVersion(pool: ServiceName): Promise<VersionProof> {
    if (this.#options.link === undefined) return "no_list";
    if (this.#versionsOf(pool).size > 1) return "several_versions";
    const isRead = await withTimeout(this.#confirmation.read(), {
      timer: this.#options.timer,
      milliseconds: CONFIRMATION_MILLISECONDS,
    });
    if (isRead !== true) return "list_not_read";
    const [softwareVersion, ...others] = this.#versionsOf(pool);
    if (softwareVersion === undefined || others.length > 0) {
      return "several_versions";
    }
    // This read may have been the first to show that the store was restored.
    const restoredFor = this.#options.timer.now() - this.#restoredAt;
    return restoredFor < RESTORE_MILLISECONDS
      ? "list_restored"
      : { softwareVersion };
  }

  /**
   * Handles that the store was restored from an older copy, which may lack
   * versions that it had accepted. They are listed again, also those without
   * replicas: their streams may be taken up.
   */
  onStoreRestored(): void {
    const { link, random, timer } = this.#options;
    if (link === undefined || this.#isStopped) return;
    this.#restoredAt = timer.now();
    if (this.#isRestoring) return;
    this.#isRestoring = true;
    // The entries of a fleet notice it at the same time.
    const delay = random() * RETRY_MILLISECONDS;
    timer.after(delay, () => this.#listMissing(link));
  }

  /** True if replicas of the version are registered, or were lately. */
  mayReturn(version: ServingVersion): boolean {
    const { registry, timer } = this.#options;
    const key = keyOf(version);
    const seenAt = this.#seenAt.get(key) ?? -Infinity;
    return timer.now() - seenAt < RETURN_MILLISECONDS ||
      registry.inPool(version.pool).some((each) => keyOf(each) === key);
  }

  /**
   * Endpoints at which a resumable stream may begin: those of listed versions,
   * as the list would not prove that another version has begun none. Of these,
   * the ones whose version more than one endpoint has come first, so that
   * others can continue the stream. Engines that only prefill write nothing.
   */
  filterBeginners(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const writers = endpoints.filter((each) => !isPrefillEngine(each));
    const listed = writers.filter((each) => this.#isListed(each));
    const counts = countByVersion(listed);
    if (listed.length === writers.length && counts.size < 2) return endpoints;
    const isLasting = ({ softwareVersion }: RegisteredEndpoint) =>
      (counts.get(softwareVersion) ?? 0) > 1;
    const lasting = listed.filter(isLasting);
    const chosen = new Set(lasting.length > 0 ? lasting : listed);
    return endpoints.filter((each) =>
      isPrefillEngine(each) || chosen.has(each)
    );
  }

  /**
   * Lists the versions of a pool that has no listed one yet, without the delay
   * that leaves it to other entries; an entry that has just started reads the
   * list before. Settles when that is done, or has failed.
   */
  async listFirst(pool: ServiceName): Promise<void> {
    const { link, listed, registry, timer } = this.#options;
    if (!listed.isComplete) {
      await withTimeout(this.#confirmation.read(), {
        timer,
        milliseconds: CONFIRMATION_MILLISECONDS,
      });
    }
    const unlisted = [...this.#unlisted.values()].filter((each) =>
      each.pool === pool
    );
    const mayWrite = link !== undefined && listed.isComplete &&
      unlisted.length > 0 &&
      !registry.inPool(pool).some((each) =>
        !isPrefillEngine(each) && listed.has(each)
      );
    if (!mayWrite) return;
    const writes = unlisted.map((each) => this.#write(link, each));
    await withTimeout(Promise.all(writes), {
      timer,
      milliseconds: CONFIRMATION_MILLISECONDS,
    });
  }

  /** Handles a new, changed or ended registration. */
  onEndpointChange(endpoint: RegisteredEndpoint): void {
    const key = keyOf(endpoint);
    const now = this.#options.timer.now();
    const absentFor = now - (this.#seenAt.get(key) ?? this.#knownSince);
    this.#seenAt.set(key, now);
    const isBack = absentFor > RELIST_MILLISECONDS;
    if (isBack) this.#options.listed.remove(endpoint);
    if (isBack || !endpoint.leaving) this.#noteServing(endpoint);
  }

  /** Sends the list to a peer that has started. */
  onPeerStart(peer: ProcessId): void {
    const { listed, send } = this.#options;
    const params: VersionNotification = {
      added: listed.all.map(encodeVersion),
      isWhole: listed.isComplete,
    };
    send(peer, { method: VERSIONS_METHOD, params });
  }

  /** Applies a peer's changes of the list. */
  onNotification(params: VersionNotification): void {
    const { listed } = this.#options;
    const added = params.added.map(decodeVersion);
    if (params.isWhole === true) {
      listed.addAll(added);
      this.#knownSince = this.#options.timer.now();
    } else for (const each of added) listed.add(each);
    for (const row of params.removed ?? []) listed.remove(decodeVersion(row));
    this.#noteRegistered();
  }

  #isListed(endpoint: RegisteredEndpoint): boolean {
    return this.#options.link === undefined ||
      this.#options.listed.has(endpoint);
  }

  async #readFirst(): Promise<void> {
    const { timer } = this.#options;
    if (await this.#read() || this.#isStopped) return;
    timer.after(RETRY_MILLISECONDS, () => this.#readFirst());
  }

  /** Reads the whole list; true if that succeeded. */
  async #read(): Promise<boolean> {
    const { link, listed, logger, timer } = this.#options;
    const startedAt = timer.now();
    const read = await link?.read();
    if (read === undefined || this.#isStopped) return false;
    if (read.isErr()) {
      const reason = read.error.message;
      logger.warn({ reason }, "Cannot read the list of serving versions");
      return false;
    }
    this.#readAt = Math.max(this.#readAt, startedAt);
    this.#knownSince = Math.max(this.#knownSince, startedAt);
    listed.addAll(read.value);
    this.#noteRegistered();
    return true;
  }

  /** Lists the versions again that a restored store lacks. */
  async #listMissing(link: VersionLink): Promise<void> {
    const { listed, logger, timer } = this.#options;
    const restoredAt = this.#restoredAt;
    const read = await link.read();
    if (this.#isStopped) return;
    if (read.isErr() || this.#restoredAt !== restoredAt) {
      const reason = read.isErr() ? read.error.message : "restored again";
      logger.warn({ reason }, "Cannot compare the list of a restored store");
      timer.after(RETRY_MILLISECONDS, () => this.#listMissing(link));
      return;
    }
    this.#isRestoring = false;
    const present = new Set(read.value.map(keyOf));
    for (const version of listed.all) {
      const key = keyOf(version);
      if (present.has(key)) continue;
      logger.warn({ ...version }, "A restored store lacks a listed version");
      listed.remove(version);
      this.#unlisted.set(key, version);
      this.#list(version);
    }
  }

  /** Versions that may have begun streams of the pool, as far as known here. */
  #versionsOf(pool: ServiceName): ReadonlySet<SoftwareVersion> {
    const versions = new Set(this.#options.listed.of(pool));
    for (const unlisted of this.#unlisted.values()) {
      if (unlisted.pool === pool) versions.add(unlisted.softwareVersion);
    }
    return versions;
  }

  #noteRegistered(): void {
    for (const endpoint of this.#options.registry.all) {
      if (!endpoint.leaving) this.#noteServing(endpoint);
    }
    for (const version of this.#unlisted.values()) this.#list(version);
  }

  #noteServing({ pool, softwareVersion }: ServingVersion): void {
    const version: ServingVersion = { pool, softwareVersion };
    if (this.#options.link === undefined) return;
    if (this.#options.listed.has(version)) return;
    this.#unlisted.set(keyOf(version), version);
    this.#list(version);
  }

  /** Has the version listed by the first entry, or by the next ones later. */
  #list(version: ServingVersion): void {
    const { link, listed, timer } = this.#options;
    const key = keyOf(version);
    if (listed.has(version)) this.#unlisted.delete(key);
    const mayWrite = listed.isComplete && !listed.has(version) &&
      !this.#scheduled.has(key) && !this.#writes.has(key) && !this.#isStopped;
    if (link === undefined || !mayWrite) return;
    const delay = this.#writeDelay(key);
    if (delay === 0) return timer.run(() => this.#write(link, version));
    this.#scheduled.add(key);
    timer.after(delay, () => {
      this.#scheduled.delete(key);
      return this.#write(link, version);
    });
  }

  #writeDelay(key: string): number {
    const { peers, random, ranking, self } = this.#options;
    const live = ranking(key);
    // Entries that start together have not heard of each other yet.
    const isUnranked = live.length === 1 && peers().length > 0;
    return isUnranked
      ? random() * UNRANKED_SPREAD_MILLISECONDS
      : Math.max(0, live.indexOf(self)) * NEXT_WRITER_MILLISECONDS;
  }

  /** Lists the version, or waits for the write that does. */
  #write(link: VersionLink, version: ServingVersion): Promise<void> {
    const key = keyOf(version);
    const current = this.#writes.get(key);
    if (current !== undefined) return current;
    const write = this.#add(link, version)
      .finally(() => this.#writes.delete(key));
    this.#writes.set(key, write);
    return write;
  }

  async #add(link: VersionLink, version: ServingVersion): Promise<void> {
    const { broadcast, listed, logger, timer } = this.#options;
    const key = keyOf(version);
    if (listed.has(version)) this.#unlisted.delete(key);
    if (listed.has(version) || this.#isStopped) return;
    const written = await link.add(version);
    if (listed.has(version) || written.isOk()) this.#unlisted.delete(key);
    if (written.isOk()) {
      listed.add(version);
      logger.info({ ...version }, "Listed a software version");
      const params = { added: [encodeVersion(version)] };
      return broadcast({ method: VERSIONS_METHOD, params });
    }
    const reason = written.error.message;
    logger.warn({ ...version, reason }, "Cannot list a version; retrying");
    timer.after(RETRY_MILLISECONDS, () => this.#list(version));
  }

  /**
   * Compares the list with what serves. One entry reads it, and removes versions
   * that are gone, also those that the others no longer know, as a removal may
   * have failed.
   */
  async #compare(): Promise<void> {
    const { ranking, registry, self, timer } = this.#options;
    for (const endpoint of registry.all) {
      this.#seenAt.set(keyOf(endpoint), timer.now());
    }
    if (ranking(VERSIONS_METHOD)[0] !== self) return;
    await this.#confirmation.read();
    if (!this.#isStopped) this.#removeGone();
  }

  /**
   * Removes versions without replicas for longer than streams live. An entry
   * that was cut off or frozen does not know which replicas were registered
   * meanwhile, so a version may have had some until the gap's end.
   */
  #removeGone(): void {
    const { listed, registrationsFollowedSince, timer } = this.#options;
    const now = timer.now();
    const followedSince = registrationsFollowedSince();
    for (const version of listed.all) {
      const key = keyOf(version);
      const seenAt = this.#seenAt.get(key) ?? now;
      this.#seenAt.set(key, seenAt);
      const isGone =
        now - Math.max(seenAt, followedSince) > STREAM_LIFETIME_MILLISECONDS;
      if (isGone) timer.run(() => this.#remove(version));
    }
  }

  /** Removes the version, unless it is being listed. */
  async #remove(version: ServingVersion): Promise<void> {
    const key = keyOf(version);
    if (this.#writes.has(key)) return;
    const removal = this.#removeFromStore(version)
      .finally(() => this.#writes.delete(key));
    this.#writes.set(key, removal);
    await removal;
    this.#noteRegistered();
  }

  /**
   * The version counts as not listed before the store removes it, and also if
   * that fails: a removal without an answer may have been executed, and streams
   * of a version that comes back meanwhile must wait until it is listed again.
   */
  async #removeFromStore(version: ServingVersion): Promise<void> {
    const { link, logger } = this.#options;
    if (link === undefined) return;
    this.#withdraw(version);
    const removed = await link.remove(version);
    this.#withdraw(version);
    if (removed.isErr()) {
      const reason = removed.error.message;
      return logger.warn({ ...version, reason }, "Cannot remove a version");
    }
    this.#seenAt.delete(keyOf(version));
    logger.info({ ...version }, "Removed a software version from the list");
  }

  /** Has no entry take the version for a listed one. */
  #withdraw(version: ServingVersion): void {
    const { broadcast, listed } = this.#options;
    listed.remove(version);
    const params = { added: [], removed: [encodeVersion(version)] };
    broadcast({ method: VERSIONS_METHOD, params });
  }
}

/** Key of a version in the store. */
export function keyOf({ pool, softwareVersion }: ServingVersion): string {
  return JSON.stringify([pool, softwareVersion]);
}

function countByVersion(
  endpoints: readonly RegisteredEndpoint[],
): ReadonlyMap<SoftwareVersion, number> {
  const counts = new Map<SoftwareVersion, number>();
  for (const { softwareVersion } of endpoints) {
    counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
  }
  return counts;
}
