import type { EndpointId } from "../identity/mod.ts";
import type { Random } from "../random/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import {
  type CachedPrefix,
  type Candidate,
  CandidateScorer,
  type PlacementQuery,
  predictFinishMilliseconds,
  type ScoringOptions,
  uncachedPromptTokens,
} from "./candidate.ts";
import type { RoleCounts } from "../roles/mod.ts";
import type { EndpointView } from "./endpoint_view.ts";
import { PrefixIndex } from "./prefix_index.ts";
import type { RoutingPlan } from "./routing_plan.ts";

export interface PlacerOptions extends ScoringOptions {
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
const MIN_AFFINITY_OCCUPANCY = 0.1;

/** The subset as one request finds it. */
interface EligibleEndpoints {
  /** Usable, with ejected ones that may be probed. */
  readonly available: EndpointView[];
  readonly healthy: EndpointView[];
  readonly withCapacity: EndpointView[];
  readonly suited: EndpointView[];
  probe?: EndpointView;
}

interface QueryContext {
  readonly query: PlacementQuery;
  readonly cached: CachedPrefix | undefined;
}

/** Least that any endpoint offers a request. */
export interface MinimumTimes {
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
  readonly #scorer: CandidateScorer;
  readonly #prefixes: PrefixIndex;
  #views: readonly EndpointView[] = [];
  #plan: RoutingPlan | undefined;
  #byId = new Map<EndpointId, EndpointView>();

  constructor(options: PlacerOptions) {
    this.#options = options;
    this.#scorer = new CandidateScorer(options);
    this.#prefixes = new PrefixIndex(options.mostPrefixes);
  }

  get views(): readonly EndpointView[] {
    return this.#views;
  }

  setEndpoints(views: readonly EndpointView[]): void {
    this.#views = views;
    this.#byId = new Map(views.map((one) => [one.config.endpoint, one]));
  }

  get(endpoint: EndpointId): EndpointView | undefined {
    return this.#byId.get(endpoint);
  }

  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void {
    this.#prefixes.remove(endpoint, event.dropped);
    this.#prefixes.record(endpoint, event.added);
  }

  /** Takes a new division of the classes among the roles. */
  usePlan(plan: RoutingPlan): void {
    plan.inheritPlacements(this.#plan);
    this.#plan = plan;
  }

  /** Share of the class's arrivals that the pool has room for. */
  servedShare(className: string): number {
    return this.#plan?.servedShare(className) ?? 1;
  }

  /** True where a request of the class finds a free place. */
  hasRoom(
    className: string,
    options: { rank: number; now: number },
  ): boolean {
    const { rank, now } = options;
    return this.#views.some((view) =>
      isAvailable(view, now) && view.freeSlots(rank, now) >= 1 &&
      (rank === 0 || this.#isSuited(view, className))
    );
  }

  /**
   * True where the plan gives the class to the endpoint's role. The most
   * urgent class takes another role as well: for it a free place in the wrong
   * one is better than a wait.
   */
  #isSuited(view: EndpointView, className: string): boolean {
    const plan = this.#plan;
    if (plan === undefined || !plan.serves(className)) return true;
    return plan.share(className, view.role) > 0 &&
      !plan.exceedsShare(className, view.role);
  }

  /** Places that the pool offers to this entry, free or taken by it. */
  capacity(now: number): number {
    let places = 0;
    for (const view of this.#views) {
      if (!isAvailable(view, now)) continue;
      places += Math.max(0, view.limit - view.foreignLoad(now));
    }
    return places;
  }

  /** Number of endpoints that get work, by role. */
  usableCounts(now: number): RoleCounts {
    const counts = { mixed: 0, prefill: 0, decode: 0 };
    for (const view of this.#views) {
      if (isAvailable(view, now)) counts[view.role] += 1;
    }
    return counts;
  }

  /** Any endpoint that could serve now or soon. */
  hasUsable(now: number): boolean {
    return this.#views.some((view) => isAvailable(view, now));
  }

  /** The best place, or nothing where no endpoint is usable at all. */
  choose(query: PlacementQuery): Candidate | undefined {
    const eligible = this.#collectEligible(query);
    const cached = this.#prefixes.find(query.profile.prefixHashes);
    const mayFail = query.profile.idempotent && query.rank > 0;
    if (eligible.probe !== undefined && mayFail) {
      return this.#scorer.score(eligible.probe, query, cached);
    }
    const candidates = [
      eligible.suited,
      eligible.withCapacity,
      eligible.healthy,
      eligible.available,
    ]
      .find((list) => list.length > 0);
    if (candidates === undefined) return undefined;
    const limitToSampledRole = this.#ofOneRole(candidates, query);
    const bestOfSample = this.#best(limitToSampledRole, query, cached);
    if (query.rank > 0) return bestOfSample;
    return this.#preferOnTime(bestOfSample, eligible.healthy, {
      query: query,
      cached,
    });
  }

  /** The shortest finish that any healthy endpoint offers now. */
  minimumTimes(query: PlacementQuery): MinimumTimes {
    const cached = this.#prefixes.find(query.profile.prefixHashes);
    let milliseconds = Infinity;
    let engineMilliseconds = Infinity;
    for (const view of this.#views) {
      if (!view.usable || view.health.ejected) continue;
      const promptTokens = uncachedPromptTokens(view, query, cached);
      milliseconds = Math.min(
        milliseconds,
        predictFinishMilliseconds(view, query, promptTokens),
      );
      engineMilliseconds = Math.min(
        engineMilliseconds,
        view.engineMilliseconds(promptTokens, query.outputTokens),
      );
    }
    return { milliseconds, engineMilliseconds };
  }

  recordPlacement(endpoint: EndpointId, profile: RequestProfile): void {
    this.#prefixes.record(endpoint, profile.prefixHashes);
    const role = this.#byId.get(endpoint)?.role;
    if (role !== undefined) this.#plan?.addPlacement(profile.className, role);
  }

  /** Ejects what is bad, as far as the ceiling allows. */
  review(now: number): void {
    const judged = this.#views.filter((view) => view.usable);
    const maxEjected = Math.floor(
      judged.length * this.#options.mostEjectedShare,
    );
    let ejected = judged.filter((one) => one.health.ejected).length;
    const median = medianOf(judged.map((one) => one.health.ratioToRated));
    for (const view of judged) {
      if (ejected >= maxEjected) return;
      if (!view.health.isBad(median)) continue;
      view.health.eject(now);
      ejected += 1;
    }
  }

  /** One pass over the subset, from the best endpoints to the last resort. */
  #collectEligible(query: PlacementQuery): EligibleEndpoints {
    const { profile, rank, now } = query;
    const eligible: EligibleEndpoints = {
      available: [],
      healthy: [],
      withCapacity: [],
      suited: [],
    };
    for (const view of this.#views) {
      if (!isAvailable(view, now)) continue;
      eligible.available.push(view);
      if (profile.excluded.has(view.config.endpoint)) continue;
      if (view.health.ejected) {
        eligible.probe ??= view;
        continue;
      }
      eligible.healthy.push(view);
      if (view.freeSlots(rank, now) < 1) continue;
      eligible.withCapacity.push(view);
      if (this.#isSuited(view, profile.className)) eligible.suited.push(view);
    }
    return eligible;
  }

  #best(
    views: readonly EndpointView[],
    query: PlacementQuery,
    cached: CachedPrefix | undefined,
  ): Candidate {
    let best = this.#scorer.score(this.#sampleOne(views), query, cached);
    const draws = Math.min(this.#options.choices, views.length * 2);
    for (let drawn = 1; drawn < draws; drawn++) {
      const other = this.#scorer.score(this.#sampleOne(views), query, cached);
      if (other.score < best.score) best = other;
    }
    return this.#withAffinity(best, views, { query: query, cached });
  }

  /**
   * For urgent work: an endpoint that has no free place but makes room at its
   * side goes before a free one that can't be in time.
   */
  #preferOnTime(
    found: Candidate,
    healthy: readonly EndpointView[],
    context: QueryContext,
  ): Candidate {
    const { query: query, cached } = context;
    if (found.finishMilliseconds <= query.profile.deadline - query.now) {
      return found;
    }
    let best = found;
    for (const view of healthy) {
      const other = this.#scorer.score(view, query, cached);
      if (other.finishMilliseconds < best.finishMilliseconds) best = other;
    }
    return best;
  }

  /** Endpoints of one role, drawn by the shares of the plan. */
  #ofOneRole(
    views: readonly EndpointView[],
    { profile }: PlacementQuery,
  ): readonly EndpointView[] {
    const plan = this.#plan;
    if (plan === undefined) return views;
    const isMixed = views.some((one) => one.role !== views[0].role);
    if (!isMixed) return views;
    const roles = [...new Set(views.map((one) => one.role))];
    const shares = roles.map((role) => plan.share(profile.className, role));
    const total = shares.reduce((sum, share) => sum + share, 0);
    let drawn = this.#options.random() * total;
    const role = roles.find((_, index) => (drawn -= shares[index]) < 0);
    if (role === undefined) return views;
    return views.filter((one) => one.role === role);
  }

  #sampleOne(views: readonly EndpointView[]): EndpointView {
    return views[Math.floor(this.#options.random() * views.length)];
  }

  /** The endpoint with the prefix, if its load is near the mean. */
  #withAffinity(
    best: Candidate,
    views: readonly EndpointView[],
    { query: query, cached }: QueryContext,
  ): Candidate {
    if (cached === undefined) return best;
    const holder = this.#byId.get(cached.endpoint);
    if (holder === undefined || !views.includes(holder)) return best;
    const bound = this.#options.mostAffinityLoad *
      meanOccupancy(views, query.now);
    const maxOccupancy = Math.max(bound, MIN_AFFINITY_OCCUPANCY);
    if (holder.occupancy(query.now) > maxOccupancy) return best;
    const candidate = this.#scorer.score(holder, query, cached);
    return candidate.score <= best.score ? candidate : best;
  }
}

function isAvailable(view: EndpointView, now: number): boolean {
  if (!view.usable) return false;
  return !view.health.ejected || view.health.mayProbe(now);
}

function meanOccupancy(
  views: readonly EndpointView[],
  now: number,
): number {
  let sum = 0;
  for (const view of views) sum += view.occupancy(now);
  return sum / Math.max(1, views.length);
}

function medianOf(values: number[]): number {
  if (values.length === 0) return 1;
  values.sort((one, other) => one - other);
  return values[values.length >> 1];
}
