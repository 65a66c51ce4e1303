import type { OnceRecord, RecordBody } from "../../generated/log_records.ts";
import {
  type EndpointId,
  type IdempotencyKey,
  identifier,
  type Incarnation,
  type LogOffset,
  numbered,
} from "../identity/mod.ts";
import type { StreamFold } from "../journal/mod.ts";
import { timeOfKey } from "./key.ts";

/**
 * The record that currently owns a key, and the only place that may execute it.
 */
export interface KeyOwner {
  readonly key: IdempotencyKey;
  readonly record: LogOffset;
  readonly fingerprint: string;
  readonly endpoint: EndpointId;
  readonly sideIncarnation: Incarnation;
}

/**
 * How long a key is stored, measured in the time that keys carry. Every
 * non-idempotent request of a region adds one key to the memory of every entry,
 * so without expiry the memory grows until the entry fails. A retry after the
 * caller's own reconnect (minutes) must still find the first run; half an hour
 * covers retries by people and machines. docs/ONCE.md has the memory per key.
 *
 * Two readers with different windows stay safe: each takes a record by the same
 * rule or treats it as void, and a saved state contains the writer's expiry
 * threshold.
 */
export const KEY_RETENTION_MILLISECONDS = 30 * 60_000;

/**
 * Width of the time buckets in which keys expire, so no sorted list is needed.
 */
const BUCKET_MILLISECONDS = 60_000;

export interface OnceFoldOptions {
  readonly windowMilliseconds?: number;
  /** Called after a record has become the owner of its key. */
  readonly onOwner?: (owner: KeyOwner, replaces: number) => void;
  /**
   * Replaces the compare-and-set on `replaces`; only the schedule search and
   * the fault matrix set it, to show the failures that it prevents.
   */
  readonly mayReplace?: (
    record: OnceRecord,
    current: KeyOwner | undefined,
  ) => boolean;
}

/**
 * Owner of each idempotency key, determined by position in the `once` stream
 * alone. The first record of a key owns it; a later one takes over only if it
 * names the current record's offset in `replaces`. Every other record is void
 * for every reader, however late it was appended.
 *
 * Expiry uses no clock: stream time is the highest time of any key read so far.
 * A key that is older than stream time by more than the window is void from
 * that position on, and only such keys are removed, so a removed key can never
 * be owned again.
 */
export class OnceFold implements StreamFold {
  readonly #window: number;
  readonly #onOwner: (owner: KeyOwner, replaces: number) => void;
  readonly #mayReplace: NonNullable<OnceFoldOptions["mayReplace"]>;
  readonly #owners = new Map<string, KeyOwner>();
  readonly #keysByBucket = new Map<number, string[]>();
  /** Interned endpoint and incarnation strings, shared by all keys. */
  readonly #strings = new Map<string, string>();
  readonly #listeners = new Set<() => void>();
  #streamTime = 0;
  /** Keys with an earlier time are void; only increases. */
  #expiryThreshold = 0;
  #upTo = -1;

  constructor(options: OnceFoldOptions = {}) {
    this.#window = options.windowMilliseconds ?? KEY_RETENTION_MILLISECONDS;
    this.#onOwner = options.onOwner ?? (() => {});
    this.#mayReplace = options.mayReplace ?? replacesCurrent;
  }

  /** Highest time of any key read so far, milliseconds since 1970. */
  get streamTime(): number {
    return this.#streamTime;
  }

  /** Offset of the last applied record; -1 before the first. */
  get upTo(): number {
    return this.#upTo;
  }

  get size(): number {
    return this.#owners.size;
  }

  /**
   * Current owner of a key; undefined if there is none or the key has expired.
   */
  owner(key: IdempotencyKey): KeyOwner | undefined {
    const owner = this.#owners.get(key);
    return owner === undefined || this.isExpired(key) ? undefined : owner;
  }

  /** True if every further record of this key is void. */
  isExpired(key: IdempotencyKey): boolean {
    const time = timeOfKey(key);
    return time === undefined || time < this.#expiryThreshold;
  }

  /**
   * Calls the listener after each change of position; returns the unsubscribe
   * function.
   */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  apply(offset: LogOffset, body: RecordBody): void {
    this.#upTo = Math.max(this.#upTo, offset);
    if (body.kind === "once") this.#applyOnce(offset, body);
    for (const listener of [...this.#listeners]) listener();
  }

  save(): Record<string, unknown> {
    const owners = [...this.#owners.values()]
      .filter((owner) => !this.isExpired(owner.key))
      .sort((one, other) => one.record - other.record);
    return {
      upTo: this.#upTo,
      streamTime: this.#streamTime,
      horizon: this.#expiryThreshold,
      owners,
    };
  }

  load(state: Record<string, unknown>): void {
    this.#owners.clear();
    this.#keysByBucket.clear();
    this.#upTo = Number(state.upTo ?? -1);
    this.#streamTime = Number(state.streamTime ?? 0);
    this.#expiryThreshold = expiryThresholdOf(state, this.#window);
    for (const owner of (state.owners ?? []) as KeyOwner[]) this.#store(owner);
    for (const listener of [...this.#listeners]) listener();
  }

  #applyOnce(offset: LogOffset, record: OnceRecord): void {
    const time = timeOfKey(record.key);
    if (time === undefined || time !== record.keyTime) return;
    if (time < this.#expiryThreshold) return;
    this.#advanceStreamTime(time);
    const key = identifier<IdempotencyKey>(record.key);
    const current = this.#owners.get(key);
    if (!this.#mayReplace(record, current)) return;
    const owner: KeyOwner = {
      key,
      record: numbered<LogOffset>(offset),
      fingerprint: record.fingerprint,
      endpoint: identifier(this.#intern(record.endpoint)),
      sideIncarnation: identifier(this.#intern(record.sideIncarnation)),
    };
    this.#store(owner);
    this.#onOwner(owner, record.replaces);
  }

  #store(owner: KeyOwner): void {
    const known = this.#owners.has(owner.key);
    this.#owners.set(owner.key, owner);
    if (known) return;
    const bucket = bucketOf(timeOfKey(owner.key) ?? 0);
    const keys = this.#keysByBucket.get(bucket);
    if (keys === undefined) this.#keysByBucket.set(bucket, [owner.key]);
    else keys.push(owner.key);
  }

  #advanceStreamTime(time: number): void {
    if (time <= this.#streamTime) return;
    this.#streamTime = time;
    this.#expiryThreshold = Math.max(
      this.#expiryThreshold,
      time - this.#window,
    );
    const oldest = bucketOf(this.#expiryThreshold);
    for (const [group, keys] of this.#keysByBucket) {
      if (group >= oldest) continue;
      for (const key of keys) this.#owners.delete(key);
      this.#keysByBucket.delete(group);
    }
  }

  #intern(value: string): string {
    const known = this.#strings.get(value);
    if (known !== undefined) return known;
    if (this.#strings.size >= MAX_INTERNED_STRINGS) this.#strings.clear();
    this.#strings.set(value, value);
    return value;
  }
}

/**
 * Twice the 12,000 endpoints of the largest fleet, each with one incarnation.
 */
const MAX_INTERNED_STRINGS = 24_000;

/**
 * Expiry threshold of a loaded state. The state may come from a process with a
 * shorter window, which has already removed keys that this process would still
 * store. Such a key would look new, be owned again and run its work twice, so
 * keys that the writer has expired count as expired here too.
 */
function expiryThresholdOf(
  state: Record<string, unknown>,
  window: number,
): number {
  const streamTime = Number(state.streamTime ?? 0);
  return Math.max(Number(state.horizon ?? 0), streamTime - window);
}

function bucketOf(time: number): number {
  return Math.floor(time / BUCKET_MILLISECONDS);
}

/**
 * Compare-and-set on the key's current record. Without it, a record whose
 * append was given up but completes late takes the key from the side that
 * runs it: the operation then runs on two endpoints, such as a permit booked
 * twice. A takeover must carry the same fingerprint, or its answer would be
 * returned for a different body.
 */
function replacesCurrent(
  record: OnceRecord,
  current: KeyOwner | undefined,
): boolean {
  if (current === undefined) return record.replaces === -1;
  return record.replaces === current.record &&
    record.fingerprint === current.fingerprint;
}
