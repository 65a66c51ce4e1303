import type { EndpointId, ProcessId } from "../../identity/mod.ts";
import { rendezvousOrder } from "../../membership/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Silence after which an entry owns no endpoints. Every entry announces itself
 * each 0.7 s, so the loss of two datagrams changes no owner. Until a dead owner
 * is replaced, placement relies on the reports of all peers.
 */
const LIVENESS_TIMEOUT_MILLISECONDS = 1_600;
/**
 * Number of successive unanswered queries after which an owner is not queried
 * for a while; it may be suspended or disconnected.
 */
const UNANSWERED_UNTIL_SKIPPED = 3;
const SKIP_MILLISECONDS = 500;

interface Peer {
  lastReceivedAt: number;
  unanswered: number;
  skippedUntil: number;
}

/**
 * Assigns each endpoint an owner, the entry that aggregates all open work
 * there, by rendezvous hashing over the live entries. In a large fleet, reports
 * from every entry to every other arrive too late for placement. While entries
 * disagree on an owner, each owner knows only a part of the work.
 */
export class LoadOwners {
  readonly #self: ProcessId;
  readonly #timer: TimerService;
  #members: ReadonlySet<ProcessId> = new Set();
  readonly #peers = new Map<ProcessId, Peer>();
  /** Known entries for each subject, the best owner first. */
  readonly #rankings = new Map<string, readonly ProcessId[]>();

  constructor(options: {
    readonly self: ProcessId;
    readonly timer: TimerService;
  }) {
    this.#self = options.self;
    this.#timer = options.timer;
  }

  /** Sets the members of the fleet; other entries own nothing. */
  setMembers(names: Iterable<ProcessId>): void {
    this.#members = new Set(names);
    for (const name of this.#peers.keys()) {
      if (!this.#members.has(name)) this.#peers.delete(name);
    }
    this.#rankings.clear();
  }

  /** Records that a message from the entry was received. */
  recordMessage(name: ProcessId): void {
    if (!this.#members.has(name)) return;
    const known = this.#peers.get(name);
    const receivedAt = this.#timer.now();
    if (known !== undefined) {
      known.lastReceivedAt = receivedAt;
      return;
    }
    this.#peers.set(name, {
      lastReceivedAt: receivedAt,
      unanswered: 0,
      skippedUntil: -Infinity,
    });
    this.#rankings.clear();
  }

  /** The entry that aggregates the endpoint's open work; it may be this one. */
  ownerOf(endpoint: EndpointId): ProcessId {
    return this.#ownerAt(endpoint, this.#timer.now());
  }

  /** True if the entry is this one or has sent a message within this time. */
  wasHeardWithin(name: ProcessId, milliseconds: number): boolean {
    return this.#wasHeardSince(name, this.#timer.now() - milliseconds);
  }

  /** True if another entry has sent a message within this time. */
  hasHeardOther(milliseconds: number): boolean {
    return [...this.#peers.keys()].some((name) =>
      this.wasHeardWithin(name, milliseconds)
    );
  }

  /** The live entries including this one, the best owner first. */
  liveRanking(subject: string): readonly ProcessId[] {
    return this.#ranking(subject).filter((name) => this.isLive(name));
  }

  /** Number of live entries, including this one. */
  get liveCount(): number {
    const live = [...this.#peers.keys()].filter((name) => this.isLive(name));
    return 1 + live.length;
  }

  /** True if the entry is this one or has been heard of lately. */
  isLive(name: ProcessId): boolean {
    return this.wasHeardWithin(name, LIVENESS_TIMEOUT_MILLISECONDS);
  }

  /**
   * Groups the endpoints by the other entries that own them, without own ones.
   */
  groupByOtherOwner(
    endpoints: Iterable<EndpointId>,
  ): ReadonlyMap<ProcessId, readonly EndpointId[]> {
    const byOwner = new Map<ProcessId, EndpointId[]>();
    const now = this.#timer.now();
    for (const endpoint of endpoints) {
      const owner = this.#ownerAt(endpoint, now);
      if (owner === this.#self) continue;
      const known = byOwner.get(owner);
      if (known === undefined) byOwner.set(owner, [endpoint]);
      else known.push(endpoint);
    }
    return byOwner;
  }

  /** Returns whether this owner should be queried. */
  mayQuery(owner: ProcessId): boolean {
    const known = this.#peers.get(owner);
    return known !== undefined && this.#timer.now() >= known.skippedUntil;
  }

  /** Records whether the owner answered a query in time. */
  recordQuery(
    owner: ProcessId,
    { answered }: { readonly answered: boolean },
  ): void {
    const known = this.#peers.get(owner);
    if (known === undefined) return;
    known.unanswered = answered ? 0 : known.unanswered + 1;
    if (known.unanswered < UNANSWERED_UNTIL_SKIPPED) return;
    known.skippedUntil = this.#timer.now() + SKIP_MILLISECONDS;
  }

  #ownerAt(endpoint: EndpointId, now: number): ProcessId {
    const heardSince = now - LIVENESS_TIMEOUT_MILLISECONDS;
    for (const name of this.#ranking(endpoint)) {
      if (this.#wasHeardSince(name, heardSince)) return name;
    }
    return this.#self;
  }

  #wasHeardSince(name: ProcessId, time: number): boolean {
    if (name === this.#self) return true;
    return (this.#peers.get(name)?.lastReceivedAt ?? -Infinity) >= time;
  }

  #ranking(subject: string): readonly ProcessId[] {
    let ranking = this.#rankings.get(subject);
    if (ranking === undefined) {
      const entries = [this.#self, ...this.#peers.keys()];
      ranking = rendezvousOrder(entries.map((id) => ({ id })), subject)
        .map(({ id }) => id);
      this.#rankings.set(subject, ranking);
    }
    return ranking;
  }
}
