import type { EndpointId } from "../identity/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { SideReport } from "../../generated/messages.ts";
import type { Role, RoleProfiles, RoleRates } from "../roles/mod.ts";
import { roleRates } from "../roles/mod.ts";
import { EndpointHealth, type HealthLimits } from "./endpoint_health.ts";

/** Weight of the older placements: the last twenty count most. */
const PLACED_DECAY = 0.95;

/** What is known of an endpoint before it has reported. */
export interface EndpointFacts {
  readonly endpoint: EndpointId;
  readonly availabilityZone: string;
  readonly engine: EngineCharacteristics;
  readonly role: Role;
  readonly serving: boolean;
}

/** How reports are weighed against what the entry itself knows. */
export interface PictureOptions {
  readonly profiles: RoleProfiles;
  readonly health: HealthLimits;
  /** Time in which half of a report's foreign load is taken to be gone. */
  readonly reportHalfLifeMilliseconds: number;
  /** Prompts waiting above which less urgent classes find no room. */
  readonly mostPrefillWaitMilliseconds: number;
  /** Requests sent beyond the limit, to wait at the side. */
  readonly extraPlaces: number;
  /** Share of the limit that less urgent classes may hold. */
  readonly lessUrgentShare: number;
}

/** One request that the entry has at the endpoint. */
export interface OwnAttempt {
  readonly rank: number;
  readonly promptTokens: number;
}

/**
 * One entry's picture of one endpoint: the last report, aged, corrected by the
 * entry's own work. Load: several entries place on reports that are up to
 * seconds old. Harm prevented: an endpoint that looked idle in the last report
 * is given everything until the next one.
 */
export class EndpointPicture {
  readonly health: EndpointHealth;
  readonly #options: PictureOptions;
  #facts: EndpointFacts;
  #ranks: number;
  #role: Role;
  #rates: RoleRates;
  #state: SideReport["state"];
  #suspected = false;
  #limit: number;
  #millisecondsBetweenTokens = 0;
  #reportedAt = -Infinity;
  /** Work of other entries at the time of the report. */
  #foreign = 0;
  /** Part of the foreign work that is left, reckoned once for each time. */
  #decay = 1;
  #decayedAt = -Infinity;
  #own = 0;
  #ownLessUrgent = 0;
  /** For each rank of class: when the prompts up to that rank are done. */
  readonly #prefillDoneAt: number[] = [];
  /** Prompts placed here lately by rank, with a decaying weight. */
  readonly #placedTokens: number[] = [];

  constructor(
    facts: EndpointFacts,
    options: PictureOptions & { ranks: number },
  ) {
    this.#facts = facts;
    this.#options = options;
    this.#ranks = options.ranks;
    this.health = new EndpointHealth(options.health);
    this.#role = facts.role;
    this.#rates = roleRates(facts.engine, options.profiles[facts.role]);
    this.#state = facts.serving ? "serving" : "draining";
    this.#limit = this.#rates.slots;
  }

  get facts(): EndpointFacts {
    return this.#facts;
  }

  /** Takes what a new inventory says; what reports have told stays. */
  useFacts(facts: EndpointFacts, ranks: number): void {
    if (facts.serving && !this.#facts.serving) this.#state = "serving";
    this.#facts = facts;
    this.#ranks = ranks;
    this.#rates = roleRates(facts.engine, this.#options.profiles[this.#role]);
  }

  get role(): Role {
    return this.#role;
  }

  get own(): number {
    return this.#own;
  }

  get limit(): number {
    return this.#limit;
  }

  /** False: gets no new work at all. */
  get usable(): boolean {
    return this.#facts.serving && this.#state === "serving" && !this.#suspected;
  }

  suspect(suspected: boolean): void {
    this.#suspected = suspected;
  }

  report(report: SideReport, receivedAt: number): void {
    this.#state = report.state;
    if (report.role !== undefined && report.role !== this.#role) {
      this.#role = report.role;
      this.#rates = roleRates(
        this.#facts.engine,
        this.#options.profiles[report.role],
      );
    }
    this.takeLoad(report.load, receivedAt);
  }

  /** Load as it came with a report or with the end of an answer. */
  takeLoad(load: SideReport["load"], receivedAt: number): void {
    this.#limit = load.limit;
    this.#millisecondsBetweenTokens = load.millisecondsBetweenTokens;
    this.#reportedAt = receivedAt - (load.ageMilliseconds ?? 0);
    this.#decayedAt = -Infinity;
    this.#foreign = Math.max(0, load.running + load.waiting - this.#own);
    if (load.prefillBacklogTokens === undefined) return;
    const wait = this.#prefillMilliseconds(load.prefillBacklogTokens);
    for (let rank = 0; rank < this.#ranks; rank++) {
      const share = this.#shareUpTo(rank);
      this.#prefillDoneAt[rank] = receivedAt + wait * share;
    }
  }

  /** Share of the prompts placed here lately that are of the rank or above. */
  #shareUpTo(rank: number): number {
    if (rank === this.#ranks - 1) return 1;
    let upTo = 0;
    let all = 0;
    for (let other = 0; other < this.#ranks; other++) {
      const tokens = this.#placedTokens[other] ?? 0;
      all += tokens;
      if (other <= rank) upTo += tokens;
    }
    return all === 0 ? 1 : upTo / all;
  }

  /** Work of others at the endpoint, as far as it is still there. */
  foreign(now: number): number {
    if (this.#foreign === 0) return 0;
    if (now !== this.#decayedAt) {
      const age = Math.max(0, now - this.#reportedAt);
      this.#decay = 0.5 ** (age / this.#options.reportHalfLifeMilliseconds);
      this.#decayedAt = now;
    }
    return this.#foreign * this.#decay;
  }

  /** Free places for a request of the rank; the most urgent rank is 0. */
  room(rank: number, now: number): number {
    const free = this.#limit + this.#options.extraPlaces - this.#own -
      this.foreign(now);
    if (rank === 0) return free;
    const wait = this.prefillWait(rank, now);
    if (wait > this.#options.mostPrefillWaitMilliseconds) return 0;
    const most = Math.max(1, this.#limit * this.#options.lessUrgentShare) +
      this.#options.extraPlaces;
    return Math.min(free, most - this.#ownLessUrgent);
  }

  /** Share of the limit that is taken. */
  occupancy(now: number): number {
    return (this.#own + this.foreign(now)) / Math.max(1, this.#limit);
  }

  /** Time until a prompt of the rank would be begun, milliseconds. */
  prefillWait(rank: number, now: number): number {
    return Math.max(0, (this.#prefillDoneAt[rank] ?? 0) - now);
  }

  millisecondsBetweenTokens(): number {
    return Math.max(
      this.#millisecondsBetweenTokens,
      this.#rates.millisecondsBetweenTokens,
    );
  }

  /** Time to the first token, without a wait for a slot. */
  firstTokenMilliseconds(
    promptTokens: number,
    at: { rank: number; now: number },
  ): number {
    return this.health.slowness *
      (this.prefillWait(at.rank, at.now) +
        this.#prefillMilliseconds(promptTokens));
  }

  /** Time that the register's figures would give an endpoint to itself. */
  ratedMilliseconds(
    work: { promptTokens: number; outputTokens: number },
  ): number {
    return this.#prefillMilliseconds(work.promptTokens) +
      work.outputTokens * this.#rates.millisecondsBetweenTokens;
  }

  decodeMilliseconds(outputTokens: number): number {
    return this.health.slowness * outputTokens *
      this.millisecondsBetweenTokens();
  }

  /** The side had no room: whatever the picture says, it is full for now. */
  foundFull(now: number): void {
    this.#foreign = Math.max(this.foreign(now), this.#limit - this.#own);
    this.#reportedAt = now;
    this.#decayedAt = -Infinity;
  }

  /** Time of the whole engine that the work takes, milliseconds. */
  engineMilliseconds(promptTokens: number, outputTokens: number): number {
    return this.health.slowness *
      (this.#prefillMilliseconds(promptTokens) +
        outputTokens * 1_000 / this.#rates.outputTokensPerSecond);
  }

  started(attempt: OwnAttempt, now: number): void {
    this.#own += 1;
    if (attempt.rank > 0) this.#ownLessUrgent += 1;
    this.#notePlaced(attempt);
    const cost = this.#prefillMilliseconds(attempt.promptTokens);
    for (let rank = attempt.rank; rank < this.#ranks; rank++) {
      this.#prefillDoneAt[rank] = now + this.prefillWait(rank, now) + cost;
    }
  }

  #notePlaced(attempt: OwnAttempt): void {
    for (let rank = 0; rank < this.#ranks; rank++) {
      const added = rank === attempt.rank ? attempt.promptTokens : 0;
      this.#placedTokens[rank] = PLACED_DECAY *
          (this.#placedTokens[rank] ?? 0) + added;
    }
  }

  ended(attempt: OwnAttempt): void {
    this.#own -= 1;
    if (attempt.rank > 0) this.#ownLessUrgent -= 1;
  }

  #prefillMilliseconds(tokens: number): number {
    return tokens * 1_000 / this.#rates.prefillTokensPerSecond;
  }
}
