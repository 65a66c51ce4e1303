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

/** The record that owns a key at present, and who alone may execute it. */
export interface OnceOwner {
  readonly key: IdempotencyKey;
  readonly record: LogOffset;
  readonly fingerprint: string;
  readonly endpoint: EndpointId;
  readonly sideIncarnation: Incarnation;
}

/**
 * How long a key is remembered, counted in the time that keys carry.
 * Load: every non-idempotent request of a region puts one key into the memory
 * of every entry. Harm prevented: a retry after the caller's own reconnect
 * (minutes) must still find the first run; without an end the memory grows
 * until the entry dies. Limit: half an hour covers retries by people and
 * machines; docs/ONCE.md gives the memory per key that was measured.
 * Two readers with other windows stay safe: each takes a record either by the
 * same rule or as void, and a saved state says how far its writer has forgotten.
 */
export const ONCE_WINDOW_MILLISECONDS = 30 * 60_000;

/** Keys are forgotten in groups of this width, so no sorted list is needed. */
const GROUP_WIDTH_MILLISECONDS = 60_000;

export interface OnceFoldOptions {
  readonly windowMilliseconds?: number;
  /** Told of each record that takes a key over, after it has. */
  readonly onOwner?: (owner: OnceOwner, replaces: number) => void;
  /**
   * Stands in for the compare-and-set of `replaces`; only the search and the
   * fault matrix pass it, to show what happens without.
   */
  readonly mayReplace?: (
    record: OnceRecord,
    current: OnceOwner | undefined,
  ) => boolean;
}

/**
 * Who owns each idempotency key, by position in the `once` stream alone. The
 * first record of a key owns it; a later one takes over only if it names the
 * current record's offset in `replaces`. Anything else is void, for every
 * reader alike, however late it landed.
 *
 * Forgetting needs no clock: stream time is the highest time that any key
 * read so far carries. A key that is older than stream time by more than the
 * window is void from that position on, and only such keys are forgotten, so
 * a forgotten key can never be owned anew.
 */
export class OnceFold implements StreamFold {
  readonly #window: number;
  readonly #onOwner: (owner: OnceOwner, replaces: number) => void;
  readonly #mayReplace: NonNullable<OnceFoldOptions["mayReplace"]>;
  readonly #owners = new Map<string, OnceOwner>();
  readonly #groups = new Map<number, string[]>();
  /** One copy of each endpoint's and incarnation's text for all its keys. */
  readonly #texts = new Map<string, string>();
  readonly #listeners = new Set<() => void>();
  #streamTime = 0;
  /** Keys of an earlier time are void; it only rises. */
  #horizon = 0;
  #upTo = -1;

  constructor(options: OnceFoldOptions = {}) {
    this.#window = options.windowMilliseconds ?? ONCE_WINDOW_MILLISECONDS;
    this.#onOwner = options.onOwner ?? (() => {});
    this.#mayReplace = options.mayReplace ?? replacesCurrent;
  }

  /** Highest time of any key read so far, milliseconds since 1970. */
  get streamTime(): number {
    return this.#streamTime;
  }

  /** Offset of the last record that is part of the state; -1 for none. */
  get upTo(): number {
    return this.#upTo;
  }

  get size(): number {
    return this.#owners.size;
  }

  /** Current owner of a key; undefined where there is none or it expired. */
  owner(key: IdempotencyKey): OnceOwner | undefined {
    const owner = this.#owners.get(key);
    return owner === undefined || this.isExpired(key) ? undefined : owner;
  }

  /** True where every record of this key is void from here on. */
  isExpired(key: IdempotencyKey): boolean {
    const time = timeOfKey(key);
    return time === undefined || time < this.#horizon;
  }

  /** Calls the listener after each change of position; gives the way to stop. */
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
      horizon: this.#horizon,
      owners,
    };
  }

  load(state: Record<string, unknown>): void {
    this.#owners.clear();
    this.#groups.clear();
    this.#upTo = Number(state.upTo ?? -1);
    this.#streamTime = Number(state.streamTime ?? 0);
    this.#horizon = horizonOf(state, this.#window);
    for (const owner of (state.owners ?? []) as OnceOwner[]) this.#keep(owner);
    for (const listener of [...this.#listeners]) listener();
  }

  #applyOnce(offset: LogOffset, record: OnceRecord): void {
    const time = timeOfKey(record.key);
    if (time === undefined || time !== record.keyTime) return;
    if (time < this.#horizon) return;
    this.#advance(time);
    const key = identifier<IdempotencyKey>(record.key);
    const current = this.#owners.get(key);
    if (!this.#mayReplace(record, current)) return;
    const owner: OnceOwner = {
      key,
      record: numbered<LogOffset>(offset),
      fingerprint: record.fingerprint,
      endpoint: identifier(this.#text(record.endpoint)),
      sideIncarnation: identifier(this.#text(record.sideIncarnation)),
    };
    this.#keep(owner);
    this.#onOwner(owner, record.replaces);
  }

  #keep(owner: OnceOwner): void {
    const known = this.#owners.has(owner.key);
    this.#owners.set(owner.key, owner);
    if (known) return;
    const group = groupOf(timeOfKey(owner.key) ?? 0);
    const keys = this.#groups.get(group);
    if (keys === undefined) this.#groups.set(group, [owner.key]);
    else keys.push(owner.key);
  }

  #advance(time: number): void {
    if (time <= this.#streamTime) return;
    this.#streamTime = time;
    this.#horizon = Math.max(this.#horizon, time - this.#window);
    const oldest = groupOf(this.#horizon);
    for (const [group, keys] of this.#groups) {
      if (group >= oldest) continue;
      for (const key of keys) this.#owners.delete(key);
      this.#groups.delete(group);
    }
  }

  #text(value: string): string {
    const known = this.#texts.get(value);
    if (known !== undefined) return known;
    if (this.#texts.size >= MOST_SHARED_TEXTS) this.#texts.clear();
    this.#texts.set(value, value);
    return value;
  }
}

/** Twice the 12,000 endpoints of the largest fleet, each with one incarnation. */
const MOST_SHARED_TEXTS = 24_000;

/**
 * A state may come from a process with a shorter window, which has forgotten
 * keys that this one would still remember. Taken for never seen, such a key
 * would be owned anew and its work done twice, so what the writer has
 * forgotten counts as expired here too.
 */
function horizonOf(state: Record<string, unknown>, window: number): number {
  const streamTime = Number(state.streamTime ?? 0);
  return Math.max(Number(state.horizon ?? 0), streamTime - window);
}

function groupOf(time: number): number {
  return Math.floor(time / GROUP_WIDTH_MILLISECONDS);
}

/**
 * Compare-and-set on the key's current record. Without it a record that was
 * given up as lost and lands late takes a key from the side that runs it: the
 * operation then runs on two endpoints, seen as a permit booked twice. A
 * takeover must carry the same fingerprint, or it would answer another body.
 */
function replacesCurrent(
  record: OnceRecord,
  current: OnceOwner | undefined,
): boolean {
  if (current === undefined) return record.replaces === -1;
  return record.replaces === current.record &&
    record.fingerprint === current.fingerprint;
}
