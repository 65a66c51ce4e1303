import type { EndpointId } from "../identity/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { SideReport } from "../../generated/messages.ts";
import type { Role, RoleProfiles, RoleRates } from "../roles/mod.ts";
import { roleRates } from "../roles/mod.ts";
import { EndpointHealth, type HealthLimits } from "./endpoint_health.ts";

/** Decay of older placements: about the last twenty count. */
const PLACEMENT_DECAY = 0.95;

/** Configuration of an endpoint, used until it reports. */
export interface EndpointConfig {
  readonly endpoint: EndpointId;
  readonly availabilityZone: string;
  readonly engine: EngineCharacteristics;
  readonly role: Role;
  readonly serving: boolean;
}

/** Weights of reports against what the entry itself knows. */
export interface EndpointViewOptions {
  readonly profiles: RoleProfiles;
  readonly health: HealthLimits;
  /** Half-life of the load that a report attributes to other entries. */
  readonly reportHalfLifeMilliseconds: number;
  /** Prefill backlog above which less urgent classes get no slot. */
  readonly mostPrefillWaitMilliseconds: number;
  /** Requests sent beyond the limit, to wait at the side. */
  readonly extraPlaces: number;
  /** Share of the limit that less urgent classes may hold. */
  readonly lessUrgentShare: number;
}

/** One request that this entry has at the endpoint. */
export interface OwnAttempt {
  readonly rank: number;
  readonly promptTokens: number;
}

/**
 * One entry's view of one endpoint: the last report, decayed with age and
 * corrected by the entry's own work. Several entries place on reports that are
 * up to seconds old; without the correction, an endpoint that looked idle in
 * the last report gets all requests until the next one.
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
  /** Load of other entries at the time of the report. */
  #reportedForeignLoad = 0;
  /** Fraction of the foreign load that remains, cached per point in time. */
  #foreignDecay = 1;
  #decayedAt = -Infinity;
  #ownAttempts = 0;
  #ownLessUrgentAttempts = 0;
  /** Per rank: time at which the prompts up to that rank are processed. */
  readonly #prefillDoneAt: number[] = [];
  /** Prompt tokens placed here recently, by rank, with exponential decay. */
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

  /** Applies a new inventory; reported values stay. */
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

  /** Whether the endpoint may get new work. */
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

  /** Applies the load of a report or of the end of an answer. */
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

  /** Share of the recent prompt tokens that are of the rank or more urgent. */
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

  /** Remaining load of other entries at the endpoint. */
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

  /** Free slots for a request of the rank; the most urgent rank is 0. */
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

  /** Load as a share of the limit. */
  occupancy(now: number): number {
    return (this.#ownAttempts + this.foreignLoad(now)) /
      Math.max(1, this.#limit);
  }

  /** Time until a prompt of the rank would start, milliseconds. */
  prefillWait(rank: number, now: number): number {
    return Math.max(0, (this.#prefillDoneAt[rank] ?? 0) - now);
  }

  millisecondsBetweenTokens(): number {
    return Math.max(
      this.#millisecondsBetweenTokens,
      this.#rates.millisecondsBetweenTokens,
    );
  }

  /** Time to the first token without a wait for a slot, milliseconds. */
  firstTokenMilliseconds(
    promptTokens: number,
    at: { rank: number; now: number },
  ): number {
    return this.health.slowness *
      (this.prefillWait(at.rank, at.now) +
        this.#prefillMilliseconds(promptTokens));
  }

  /**
   * Duration by the rated figures on an otherwise idle endpoint, milliseconds.
   */
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

  /**
   * Marks the endpoint as full after its side had no capacity, whatever the
   * view shows.
   */
  markFull(now: number): void {
    this.#reportedForeignLoad = Math.max(
      this.foreignLoad(now),
      this.#limit - this.#ownAttempts,
    );
    this.#reportedAt = now;
    this.#decayedAt = -Infinity;
  }

  /**
   * Engine time that the work uses, as if it had the whole engine,
   * milliseconds.
   */
  engineMilliseconds(promptTokens: number, outputTokens: number): number {
    return this.health.slowness *
      (this.#prefillMilliseconds(promptTokens) +
        outputTokens * 1_000 / this.#rates.outputTokensPerSecond);
  }

  recordAttemptStart(attempt: OwnAttempt, now: number): void {
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

  recordAttemptEnd(attempt: OwnAttempt): void {
    this.#ownAttempts -= 1;
    if (attempt.rank > 0) this.#ownLessUrgentAttempts -= 1;
  }

  #prefillMilliseconds(tokens: number): number {
    return tokens * 1_000 / this.#rates.prefillTokensPerSecond;
  }
}
