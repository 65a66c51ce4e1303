import type { EndpointId } from "../identity/mod.ts";
import type { Random } from "../random/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import type { RoleCounts } from "../roles/mod.ts";
import type { EndpointPicture } from "./endpoint_picture.ts";
import { PrefixIndex } from "./prefix_index.ts";
import type { RoutingPlan } from "./routing_plan.ts";

export interface PlacerOptions {
  readonly random: Random;
  readonly availabilityZone: string;
  /** Endpoints drawn at random for one decision. */
  readonly choices: number;
  /** Time that a placement in another availability zone is held to cost. */
  readonly otherZoneMilliseconds: number;
  /** Load above the pool's mean up to which a cached prefix is followed. */
  readonly mostAffinityLoad: number;
  readonly mostPrefixes: number;
  /** Weight of the engine's time against the finish. */
  readonly engineCostWeight: number;
  /** Share of the endpoints that may be ejected at once. */
  readonly mostEjectedShare: number;
}

/** What placement needs to know beside the profile. */
export interface PlacementQuestion {
  readonly profile: RequestProfile;
  readonly rank: number;
  readonly outputTokens: number;
  readonly now: number;
}

/** An endpoint with the finish that is expected there. */
export interface Candidate {
  readonly picture: EndpointPicture;
  readonly milliseconds: number;
  /** Time of the whole engine that the request takes. */
  readonly engineMilliseconds: number;
  /** Tokens of the prompt that the endpoint has to process. */
  readonly promptTokens: number;
  /** What candidates are compared by; smaller is better. */
  readonly score: number;
}

/** Least that any endpoint offers a request. */
export interface Shortest {
  readonly milliseconds: number;
  readonly engineMilliseconds: number;
}

/**
 * Chooses the endpoint for a request: a few random choices of the subset,
 * compared by predicted finish, plus the one that has the prompt's prefix.
 * Load: many entries with old reports. Harm prevented: all of them follow the
 * same report to the same endpoint.
 */
export class Placer {
  readonly #options: PlacerOptions;
  readonly #prefixes: PrefixIndex;
  #pictures: readonly EndpointPicture[] = [];
  #plan: RoutingPlan | undefined;
  #byId = new Map<EndpointId, EndpointPicture>();

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#prefixes = new PrefixIndex(options.mostPrefixes);
  }

  get pictures(): readonly EndpointPicture[] {
    return this.#pictures;
  }

  use(pictures: readonly EndpointPicture[]): void {
    this.#pictures = pictures;
    this.#byId = new Map(pictures.map((one) => [one.facts.endpoint, one]));
  }

  get(endpoint: EndpointId): EndpointPicture | undefined {
    return this.#byId.get(endpoint);
  }

  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void {
    this.#prefixes.forget(endpoint, event.dropped);
    this.#prefixes.learn(endpoint, event.added);
  }

  /** Takes a new division of the classes among the roles. */
  follow(plan: RoutingPlan): void {
    plan.continueFrom(this.#plan);
    this.#plan = plan;
  }

  /** Share of the class's arrivals that the pool has room for. */
  servedShare(className: string): number {
    return this.#plan?.servedShare(className) ?? 1;
  }

  /** True where a request of the class finds a free place. */
  hasRoom(className: string, options: { rank: number; now: number }): boolean {
    const { rank, now } = options;
    return this.#pictures.some((picture) =>
      isOpen(picture, now) && picture.room(rank, now) >= 1 &&
      (rank === 0 || this.#suits(picture, className))
    );
  }

  /**
   * True where the plan gives the class to the endpoint's role. The most
   * urgent class takes another role as well: for it a free place in the wrong
   * one is better than a wait.
   */
  #suits(picture: EndpointPicture, className: string): boolean {
    const plan = this.#plan;
    if (plan === undefined || !plan.serves(className)) return true;
    return plan.share(className, picture.role) > 0 &&
      !plan.hasHadEnough(className, picture.role);
  }

  /** Places that the pool offers to this entry, free or taken by it. */
  places(now: number): number {
    let places = 0;
    for (const picture of this.#pictures) {
      if (!isOpen(picture, now)) continue;
      places += Math.max(0, picture.limit - picture.foreign(now));
    }
    return places;
  }

  /** Number of endpoints that get work, by role. */
  usable(now: number): RoleCounts {
    const counts = { mixed: 0, prefill: 0, decode: 0 };
    for (const picture of this.#pictures) {
      if (isOpen(picture, now)) counts[picture.role] += 1;
    }
    return counts;
  }

  /** Any endpoint that could serve now or soon. */
  hasUsable(now: number): boolean {
    return this.#pictures.some((picture) => isOpen(picture, now));
  }

  /** The best place, or nothing where no endpoint is usable at all. */
  choose(question: PlacementQuestion): Candidate | undefined {
    const open = this.#openFor(question);
    if (open.length === 0) return undefined;
    const probe = open.find((picture) => picture.health.mayProbe(question.now));
    const mayFail = question.profile.idempotent && question.rank > 0;
    if (probe !== undefined && mayFail) {
      return this.#judge(probe, question);
    }
    const healthy = open.filter((picture) => !picture.health.ejected);
    return this.#best(healthy.length > 0 ? healthy : open, question);
  }

  /** Finish on an endpoint, from the placement on, milliseconds. */
  #judge(picture: EndpointPicture, question: PlacementQuestion): Candidate {
    const { profile, rank, now } = question;
    const cached = this.#cachedShare(picture, profile);
    const promptTokens = (profile.promptTokens + profile.deliveredTokens) *
      (1 - cached);
    const zone =
      picture.facts.availabilityZone === this.#options.availabilityZone
        ? 0
        : this.#options.otherZoneMilliseconds;
    const milliseconds = zone +
      picture.firstTokenMilliseconds({ promptTokens, rank }, now) +
      picture.decodeMilliseconds(question.outputTokens);
    const cost = picture.engineMilliseconds({
      promptTokens,
      outputTokens: question.outputTokens,
    });
    const score = milliseconds + this.#options.engineCostWeight * cost;
    return {
      picture,
      milliseconds,
      engineMilliseconds: cost,
      promptTokens,
      score,
    };
  }

  /** The shortest finish that any healthy endpoint offers now. */
  shortest(question: PlacementQuestion): Shortest {
    let milliseconds = Infinity;
    let engineMilliseconds = Infinity;
    for (const picture of this.#pictures) {
      if (!isOpen(picture, question.now) || picture.health.ejected) continue;
      const found = this.#judge(picture, question);
      milliseconds = Math.min(milliseconds, found.milliseconds);
      engineMilliseconds = Math.min(
        engineMilliseconds,
        found.engineMilliseconds,
      );
    }
    return { milliseconds, engineMilliseconds };
  }

  learnPlacement(endpoint: EndpointId, profile: RequestProfile): void {
    this.#prefixes.learn(endpoint, profile.prefixHashes);
    const role = this.#byId.get(endpoint)?.role;
    if (role !== undefined) this.#plan?.placed(profile.className, role);
  }

  /** Ejects what is bad, as far as the ceiling allows. */
  review(now: number): void {
    const judged = this.#pictures.filter((picture) => picture.usable);
    const most = Math.floor(judged.length * this.#options.mostEjectedShare);
    let ejected = judged.filter((one) => one.health.ejected).length;
    const median = medianOf(judged.map((one) => one.health.overRated));
    for (const picture of judged) {
      if (ejected >= most) return;
      if (!picture.health.isBad(median)) continue;
      picture.health.eject(now);
      ejected += 1;
    }
  }

  #openFor(question: PlacementQuestion): EndpointPicture[] {
    const open = this.#pictures.filter((one) => isOpen(one, question.now));
    const { excluded } = question.profile;
    if (excluded.size === 0) return open;
    const others = open.filter((one) => !excluded.has(one.facts.endpoint));
    return others.length > 0 ? others : open;
  }

  #best(
    open: readonly EndpointPicture[],
    question: PlacementQuestion,
  ): Candidate {
    const { rank, now, profile } = question;
    const roomy = open.filter((one) => one.room(rank, now) >= 1);
    const suited = roomy.filter((one) => this.#suits(one, profile.className));
    const usable = suited.length > 0 ? suited : roomy;
    const from = this.#ofOneRole(usable.length > 0 ? usable : open, question);
    let best = this.#judge(this.#draw(from), question);
    for (let drawn = 1; drawn < this.#options.choices; drawn++) {
      const other = this.#judge(this.#draw(from), question);
      if (other.score < best.score) best = other;
    }
    const found = this.#withAffinity(best, from, question);
    return rank === 0 ? this.#inTime(found, open, question) : found;
  }

  /**
   * For urgent work: an endpoint that has no free place but makes room at its
   * side goes before a free one that can't be in time.
   */
  #inTime(
    found: Candidate,
    open: readonly EndpointPicture[],
    question: PlacementQuestion,
  ): Candidate {
    const left = question.profile.deadline - question.now;
    if (found.milliseconds <= left) return found;
    let best = found;
    for (const picture of open) {
      const other = this.#judge(picture, question);
      if (other.milliseconds < best.milliseconds) best = other;
    }
    return best;
  }

  /** Endpoints of one role, drawn by the shares of the plan. */
  #ofOneRole(
    from: readonly EndpointPicture[],
    { profile }: PlacementQuestion,
  ): readonly EndpointPicture[] {
    const plan = this.#plan;
    if (plan === undefined) return from;
    const roles = [...new Set(from.map((one) => one.role))];
    if (roles.length === 1) return from;
    const shares = roles.map((role) => plan.share(profile.className, role));
    const total = shares.reduce((sum, share) => sum + share, 0);
    let drawn = this.#options.random() * total;
    const role = roles.find((_, index) => (drawn -= shares[index]) < 0);
    if (role === undefined) return from;
    return from.filter((one) => one.role === role);
  }

  #draw(from: readonly EndpointPicture[]): EndpointPicture {
    return from[Math.floor(this.#options.random() * from.length)];
  }

  /** The endpoint with the prefix, if its load is near the mean. */
  #withAffinity(
    best: Candidate,
    from: readonly EndpointPicture[],
    question: PlacementQuestion,
  ): Candidate {
    const found = this.#prefixes.find(question.profile.prefixHashes);
    if (found === undefined) return best;
    const holder = this.#byId.get(found.endpoint);
    if (holder === undefined || !from.includes(holder)) return best;
    const bound = this.#options.mostAffinityLoad *
      meanOccupancy(from, question.now);
    if (holder.occupancy(question.now) > Math.max(bound, 0.1)) return best;
    const candidate = this.#judge(holder, question);
    return candidate.score <= best.score ? candidate : best;
  }

  #cachedShare(picture: EndpointPicture, profile: RequestProfile): number {
    if (profile.prefixHashes.length === 0) return 0;
    const found = this.#prefixes.find(profile.prefixHashes);
    return found?.endpoint === picture.facts.endpoint ? found.share : 0;
  }
}

function isOpen(picture: EndpointPicture, now: number): boolean {
  if (!picture.usable) return false;
  return !picture.health.ejected || picture.health.mayProbe(now);
}

function meanOccupancy(
  pictures: readonly EndpointPicture[],
  now: number,
): number {
  let sum = 0;
  for (const picture of pictures) sum += picture.occupancy(now);
  return sum / Math.max(1, pictures.length);
}

function medianOf(values: number[]): number {
  if (values.length === 0) return 1;
  values.sort((one, other) => one - other);
  return values[values.length >> 1];
}
