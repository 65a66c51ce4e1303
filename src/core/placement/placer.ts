import type { EndpointId } from "../identity/mod.ts";
import type { Random } from "../random/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import {
  type CachedPrefix,
  type Candidate,
  CandidateJudge,
  finishAt,
  type JudgeOptions,
  type PlacementQuestion,
  promptTokensAt,
} from "./candidate.ts";
import type { RoleCounts } from "../roles/mod.ts";
import type { EndpointPicture } from "./endpoint_picture.ts";
import { PrefixIndex } from "./prefix_index.ts";
import type { RoutingPlan } from "./routing_plan.ts";

export interface PlacerOptions extends JudgeOptions {
  readonly random: Random;
  /** Endpoints drawn at random for one decision. */
  readonly choices: number;
  /** Load above the pool's mean up to which a cached prefix is followed. */
  readonly mostAffinityLoad: number;
  readonly mostPrefixes: number;
  /** Share of the endpoints that may be ejected at once. */
  readonly mostEjectedShare: number;
}

/**
 * Occupancy up to which a prefix is followed whatever the mean. Harm
 * prevented: in a quiet hour the mean is near zero and no prefix would be.
 */
const LEAST_AFFINITY_OCCUPANCY = 0.1;

/** The subset as one request finds it. */
interface Field {
  /** Usable, with ejected ones that may be probed. */
  readonly open: EndpointPicture[];
  readonly healthy: EndpointPicture[];
  readonly roomy: EndpointPicture[];
  readonly suited: EndpointPicture[];
  probe?: EndpointPicture;
}

interface Asked {
  readonly question: PlacementQuestion;
  readonly cached: CachedPrefix | undefined;
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
  readonly #judge: CandidateJudge;
  readonly #prefixes: PrefixIndex;
  #pictures: readonly EndpointPicture[] = [];
  #plan: RoutingPlan | undefined;
  #byId = new Map<EndpointId, EndpointPicture>();

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#judge = new CandidateJudge(options);
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
    const field = this.#survey(question);
    const cached = this.#prefixes.find(question.profile.prefixHashes);
    const mayFail = question.profile.idempotent && question.rank > 0;
    if (field.probe !== undefined && mayFail) {
      return this.#judge.judge(field.probe, question, cached);
    }
    const usable = [field.suited, field.roomy, field.healthy, field.open]
      .find((list) => list.length > 0);
    if (usable === undefined) return undefined;
    const from = this.#ofOneRole(usable, question);
    const best = this.#best(from, question, cached);
    if (question.rank > 0) return best;
    return this.#inTime(best, field.healthy, { question, cached });
  }

  /** The shortest finish that any healthy endpoint offers now. */
  shortest(question: PlacementQuestion): Shortest {
    const cached = this.#prefixes.find(question.profile.prefixHashes);
    let milliseconds = Infinity;
    let engineMilliseconds = Infinity;
    for (const picture of this.#pictures) {
      if (!picture.usable || picture.health.ejected) continue;
      const promptTokens = promptTokensAt(picture, question, cached);
      milliseconds = Math.min(
        milliseconds,
        finishAt(picture, question, promptTokens),
      );
      engineMilliseconds = Math.min(
        engineMilliseconds,
        picture.engineMilliseconds(promptTokens, question.outputTokens),
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

  /** One pass over the subset, from the best endpoints to the last resort. */
  #survey(question: PlacementQuestion): Field {
    const { profile, rank, now } = question;
    const field: Field = { open: [], healthy: [], roomy: [], suited: [] };
    for (const picture of this.#pictures) {
      if (!isOpen(picture, now)) continue;
      field.open.push(picture);
      if (profile.excluded.has(picture.facts.endpoint)) continue;
      if (picture.health.ejected) {
        field.probe ??= picture;
        continue;
      }
      field.healthy.push(picture);
      if (picture.room(rank, now) < 1) continue;
      field.roomy.push(picture);
      if (this.#suits(picture, profile.className)) field.suited.push(picture);
    }
    return field;
  }

  #best(
    from: readonly EndpointPicture[],
    question: PlacementQuestion,
    cached: CachedPrefix | undefined,
  ): Candidate {
    let best = this.#judge.judge(this.#draw(from), question, cached);
    const draws = Math.min(this.#options.choices, from.length * 2);
    for (let drawn = 1; drawn < draws; drawn++) {
      const other = this.#judge.judge(this.#draw(from), question, cached);
      if (other.score < best.score) best = other;
    }
    return this.#withAffinity(best, from, { question, cached });
  }

  /**
   * For urgent work: an endpoint that has no free place but makes room at its
   * side goes before a free one that can't be in time.
   */
  #inTime(
    found: Candidate,
    healthy: readonly EndpointPicture[],
    asked: Asked,
  ): Candidate {
    const { question, cached } = asked;
    if (found.milliseconds <= question.profile.deadline - question.now) {
      return found;
    }
    let best = found;
    for (const picture of healthy) {
      const other = this.#judge.judge(picture, question, cached);
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
    const isMixed = from.some((one) => one.role !== from[0].role);
    if (!isMixed) return from;
    const roles = [...new Set(from.map((one) => one.role))];
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
    { question, cached }: Asked,
  ): Candidate {
    if (cached === undefined) return best;
    const holder = this.#byId.get(cached.endpoint);
    if (holder === undefined || !from.includes(holder)) return best;
    const bound = this.#options.mostAffinityLoad *
      meanOccupancy(from, question.now);
    const most = Math.max(bound, LEAST_AFFINITY_OCCUPANCY);
    if (holder.occupancy(question.now) > most) return best;
    const candidate = this.#judge.judge(holder, question, cached);
    return candidate.score <= best.score ? candidate : best;
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
