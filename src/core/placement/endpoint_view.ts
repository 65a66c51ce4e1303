import type { EndpointId } from "../identity/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { SideReport } from "../../generated/messages.ts";
import type { Role, RoleProfiles, RoleRates } from "../roles/mod.ts";
import { roleRates } from "../roles/mod.ts";
import { EndpointHealth, type HealthLimits } from "./endpoint_health.ts";

/** Weight of the older placements: the last twenty count most. */
const PLACEMENT_DECAY = 0.95;

/** What is known of an endpoint before it has reported. */
export interface EndpointConfig {
  readonly endpoint: EndpointId;
  readonly availabilityZone: string;
  readonly engine: EngineCharacteristics;
  readonly role: Role;
  readonly serving: boolean;
}

/** How reports are weighed against what the entry itself knows. */
export interface EndpointViewOptions {
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
export class EndpointView {
  readonly health: EndpointHealth;
  readonly #options: EndpointViewOptions;
  #config: EndpointConfig;
  #ranks: number;
  #role: Role;
  #rates: RoleRates;
  #state: SideReport["state"];
  #suspected = false;
  #limit: number;
  #millisecondsBetweenTokens = 0;
  #reportedAt = -Infinity;
  /** Work of other entries at the time of the report. */
  #reportedForeignLoad = 0;
  /** Part of the foreign work that is left, reckoned once for each time. */
  #foreignDecay = 1;
  #decayedAt = -Infinity;
  #ownAttempts = 0;
  #ownLessUrgentAttempts = 0;
  /** For each rank of class: when the prompts up to that rank are done. */
  readonly #prefillDoneAt: number[] = [];
  /** Prompts placed here lately by rank, with a decaying weight. */
  readonly #recentPromptTokens: number[] = [];

  constructor(
    config: EndpointConfig,
    options: EndpointViewOptions & { ranks: number },
  ) {
    this.#config = config;
    this.#options = options;
    this.#ranks = options.ranks;
    this.health = new EndpointHealth(options.health);
    this.#role = config.role;
    this.#rates = roleRates(config.engine, options.profiles[config.role]);
    this.#state = config.serving ? "serving" : "draining";
    this.#limit = this.#rates.slots;
  }

  get config(): EndpointConfig {
    return this.#config;
  }

  /** Takes what a new inventory says; what reports have told stays. */
  updateConfig(config: EndpointConfig, ranks: number): void {
    if (config.serving && !this.#config.serving) this.#state = "serving";
    this.#config = config;
    this.#ranks = ranks;
    this.#rates = roleRates(config.engine, this.#options.profiles[this.#role]);
  }

  get role(): Role {
    return this.#role;
  }

  get ownAttempts(): number {
    return this.#ownAttempts;
  }

  get limit(): number {
    return this.#limit;
  }

  /** False: gets no new work at all. */
  get usable(): boolean {
    return this.#config.serving && this.#state === "serving" &&
      !this.#suspected;
  }

  setSuspected(suspected: boolean): void {
    this.#suspected = suspected;
  }

  applyReport(report: SideReport, receivedAt: number): void {
    this.#state = report.state;
    if (report.role !== undefined && report.role !== this.#role) {
      this.#role = report.role;
      this.#rates = roleRates(
        this.#config.engine,
        this.#options.profiles[report.role],
      );
    }
    this.applyLoad(report.load, receivedAt);
  }

  /** Load as it came with a report or with the end of an answer. */
  applyLoad(load: SideReport["load"], receivedAt: number): void {
    this.#limit = load.limit;
    this.#millisecondsBetweenTokens = load.millisecondsBetweenTokens;
    this.#reportedAt = receivedAt - (load.ageMilliseconds ?? 0);
    this.#decayedAt = -Infinity;
    this.#reportedForeignLoad = Math.max(
      0,
      load.running + load.waiting - this.#ownAttempts,
    );
    if (load.prefillBacklogTokens === undefined) return;
    const wait = this.#prefillMilliseconds(load.prefillBacklogTokens);
    for (let rank = 0; rank < this.#ranks; rank++) {
      const share = this.#promptShareUpTo(rank);
      this.#prefillDoneAt[rank] = receivedAt + wait * share;
    }
  }

  /** Share of the prompts placed here lately that are of the rank or above. */
  #promptShareUpTo(rank: number): number {
    if (rank === this.#ranks - 1) return 1;
    let upTo = 0;
    let all = 0;
    for (let other = 0; other < this.#ranks; other++) {
      const tokens = this.#recentPromptTokens[other] ?? 0;
      all += tokens;
      if (other <= rank) upTo += tokens;
    }
    return all === 0 ? 1 : upTo / all;
  }

  /** Work of others at the endpoint, as far as it is still there. */
  foreignLoad(now: number): number {
    if (this.#reportedForeignLoad === 0) return 0;
    if (now !== this.#decayedAt) {
      const age = Math.max(0, now - this.#reportedAt);
      this.#foreignDecay = 0.5 **
        (age / this.#options.reportHalfLifeMilliseconds);
      this.#decayedAt = now;
    }
    return this.#reportedForeignLoad * this.#foreignDecay;
  }

  /** Free places for a request of the rank; the most urgent rank is 0. */
  freeSlots(rank: number, now: number): number {
    const free = this.#limit + this.#options.extraPlaces - this.#ownAttempts -
      this.foreignLoad(now);
    if (rank === 0) return free;
    const wait = this.prefillWait(rank, now);
    if (wait > this.#options.mostPrefillWaitMilliseconds) return 0;
    const maxLessUrgent =
      Math.max(1, this.#limit * this.#options.lessUrgentShare) +
      this.#options.extraPlaces;
    return Math.min(free, maxLessUrgent - this.#ownLessUrgentAttempts);
  }

  /** Share of the limit that is taken. */
  occupancy(now: number): number {
    return (this.#ownAttempts + this.foreignLoad(now)) /
      Math.max(1, this.#limit);
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
  markFull(now: number): void {
    this.#reportedForeignLoad = Math.max(
      this.foreignLoad(now),
      this.#limit - this.#ownAttempts,
    );
    this.#reportedAt = now;
    this.#decayedAt = -Infinity;
  }

  /** Time of the whole engine that the work takes, milliseconds. */
  engineMilliseconds(promptTokens: number, outputTokens: number): number {
    return this.health.slowness *
      (this.#prefillMilliseconds(promptTokens) +
        outputTokens * 1_000 / this.#rates.outputTokensPerSecond);
  }

  attemptStarted(attempt: OwnAttempt, now: number): void {
    this.#ownAttempts += 1;
    if (attempt.rank > 0) this.#ownLessUrgentAttempts += 1;
    this.#recordPlacedPrompt(attempt);
    const cost = this.#prefillMilliseconds(attempt.promptTokens);
    for (let rank = attempt.rank; rank < this.#ranks; rank++) {
      this.#prefillDoneAt[rank] = now + this.prefillWait(rank, now) + cost;
    }
  }

  #recordPlacedPrompt(attempt: OwnAttempt): void {
    for (let rank = 0; rank < this.#ranks; rank++) {
      const added = rank === attempt.rank ? attempt.promptTokens : 0;
      this.#recentPromptTokens[rank] = PLACEMENT_DECAY *
          (this.#recentPromptTokens[rank] ?? 0) + added;
    }
  }

  attemptEnded(attempt: OwnAttempt): void {
    this.#ownAttempts -= 1;
    if (attempt.rank > 0) this.#ownLessUrgentAttempts -= 1;
  }

  #prefillMilliseconds(tokens: number): number {
    return tokens * 1_000 / this.#rates.prefillTokensPerSecond;
  }
}
