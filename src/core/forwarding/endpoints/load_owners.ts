import type { EndpointId, ProcessId } from "../../identity/mod.ts";
import { rendezvousOrder } from "../../membership/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Silence after which an entry no longer owns anything. Every entry tells of
 * itself once in 0.7 s; a dead owner leaves its endpoints to what everyone's
 * reports tell until then, and two lost datagrams move nothing.
 */
const SILENCE_MILLISECONDS = 1_600;
/**
 * Questions in a row without an answer after which an owner is not asked for a
 * while: it may be frozen or cut off.
 */
const UNANSWERED_UNTIL_PASSED_OVER = 3;
const PASSED_OVER_MILLISECONDS = 500;

interface Entry {
  heardAt: number;
  unanswered: number;
  passedOverUntil: number;
}

/**
 * Which entry keeps the whole of an endpoint's open work: one for each
 * endpoint, by rendezvous hashing over the live entries. In a large fleet
 * reports from every entry to every other come too late to place work by.
 * Entries that disagree on an owner for a while each know a part of the work.
 */
export class LoadOwners {
  readonly #self: ProcessId;
  readonly #timer: TimerService;
  #listed: ReadonlySet<ProcessId> = new Set();
  readonly #heard = new Map<ProcessId, Entry>();
  /** Known entries for each subject, the best owner first. */
  readonly #rankings = new Map<string, readonly ProcessId[]>();

  constructor(options: {
    readonly self: ProcessId;
    readonly timer: TimerService;
  }) {
    this.#self = options.self;
    this.#timer = options.timer;
  }

  /** Takes the fleet's list; an entry that is not on it owns nothing. */
  setMembers(names: Iterable<ProcessId>): void {
    this.#listed = new Set(names);
    for (const name of this.#heard.keys()) {
      if (!this.#listed.has(name)) this.#heard.delete(name);
    }
    this.#rankings.clear();
  }

  /** Something has come from the entry. */
  heard(name: ProcessId): void {
    if (!this.#listed.has(name)) return;
    const known = this.#heard.get(name);
    const heardAt = this.#timer.now();
    if (known !== undefined) {
      known.heardAt = heardAt;
      return;
    }
    this.#heard.set(name, {
      heardAt,
      unanswered: 0,
      passedOverUntil: -Infinity,
    });
    this.#rankings.clear();
  }

  /** The entry that keeps the endpoint's open work; it may be this one. */
  ownerOf(endpoint: EndpointId): ProcessId {
    return this.#ranking(endpoint).find((name) => this.#isAlive(name)) ??
      this.#self;
  }

  /** The live entries, this one included, the best owner first. */
  liveRanking(subject: string): readonly ProcessId[] {
    return this.#ranking(subject).filter((name) => this.#isAlive(name));
  }

  #isAlive(name: ProcessId): boolean {
    if (name === this.#self) return true;
    const heardAt = this.#heard.get(name)?.heardAt ?? -Infinity;
    return heardAt >= this.#timer.now() - SILENCE_MILLISECONDS;
  }

  /** The endpoints by the other entries that own them; own ones are left out. */
  byOtherOwner(
    endpoints: Iterable<EndpointId>,
  ): ReadonlyMap<ProcessId, readonly EndpointId[]> {
    const byOwner = new Map<ProcessId, EndpointId[]>();
    for (const endpoint of endpoints) {
      const owner = this.ownerOf(endpoint);
      if (owner === this.#self) continue;
      const known = byOwner.get(owner);
      if (known === undefined) byOwner.set(owner, [endpoint]);
      else known.push(endpoint);
    }
    return byOwner;
  }

  /** True while it is worth asking this owner. */
  mayAsk(owner: ProcessId): boolean {
    const known = this.#heard.get(owner);
    return known !== undefined && this.#timer.now() >= known.passedOverUntil;
  }

  /** The owner has answered a question, or not in time. */
  asked(owner: ProcessId, { answered }: { readonly answered: boolean }): void {
    const known = this.#heard.get(owner);
    if (known === undefined) return;
    known.unanswered = answered ? 0 : known.unanswered + 1;
    if (known.unanswered < UNANSWERED_UNTIL_PASSED_OVER) return;
    known.passedOverUntil = this.#timer.now() + PASSED_OVER_MILLISECONDS;
  }

  #ranking(subject: string): readonly ProcessId[] {
    let ranking = this.#rankings.get(subject);
    if (ranking === undefined) {
      const entries = [this.#self, ...this.#heard.keys()];
      ranking = rendezvousOrder(entries.map((id) => ({ id })), subject)
        .map(({ id }) => id);
      this.#rankings.set(subject, ranking);
    }
    return ranking;
  }
}
