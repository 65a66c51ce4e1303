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
  /** Endpoints sampled at random for one decision. */
  readonly choices: number;
  /** Occupancy relative to the mean up to which a cached prefix is followed. */
  readonly maxAffinityOccupancy: number;
  readonly maxPrefixes: number;
  /** Share of the endpoints that may be ejected at the same time. */
  readonly maxEjectedShare: number;
}

/**
 * Occupancy up to which a prefix is followed whatever the mean, which is near
 * zero under light load and would then rule out every prefix.
 */
const MIN_AFFINITY_OCCUPANCY = 0.1;

/** Endpoints of the subset for one request, from all to the best ones. */
interface EligibleEndpoints {
  /** Usable endpoints, including ejected ones that may be probed. */
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

/** Minimum of each time over the endpoints. */
export interface MinimumTimes {
  readonly milliseconds: number;
  readonly engineMilliseconds: number;
}

/**
 * Selects the endpoint for a request: a few random samples of the subset,
 * compared by predicted finish, plus the endpoint that has the prompt's prefix.
 * Sampling keeps many entries with the same stale reports from all choosing the
 * same endpoint.
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
    this.#prefixes = new PrefixIndex(options.maxPrefixes);
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

  /** Replaces the routing plan; recent placements carry over. */
  setPlan(plan: RoutingPlan): void {
    plan.inheritPlacements(this.#plan);
    this.#plan = plan;
  }

  /** Share of the class's arrivals that the pool can serve. */
  servedShare(className: string): number {
    return this.#plan?.servedShare(className) ?? 1;
  }

  /** Whether a request of the class can be placed in a free slot now. */
  canPlace(className: string, options: { rank: number; now: number }): boolean {
    const { rank, now } = options;
    return this.#views.some((view) =>
      isAvailable(view, now) && view.freeSlots(rank, now) >= 1 &&
      (rank === 0 || this.#isSuited(view, className))
    );
  }

  /**
   * Whether the plan gives the class to the endpoint's role. The most urgent
   * class also uses other roles: for it a free slot in the wrong role is better
   * than a wait.
   */
  #isSuited(view: EndpointView, className: string): boolean {
    const plan = this.#plan;
    if (plan === undefined || !plan.serves(className)) return true;
    return plan.share(className, view.role) > 0 &&
      !plan.exceedsShare(className, view.role);
  }

  /** Slots of the pool that are free or held by this entry. */
  capacity(now: number): number {
    let slots = 0;
    for (const view of this.#views) {
      if (!isAvailable(view, now)) continue;
      slots += Math.max(0, view.limit - view.foreignLoad(now));
    }
    return slots;
  }

  /** Number of endpoints that get work, by role. */
  usableCounts(now: number): RoleCounts {
    const counts = { mixed: 0, prefill: 0, decode: 0 };
    for (const view of this.#views) {
      if (isAvailable(view, now)) counts[view.role] += 1;
    }
    return counts;
  }

  /** Whether any endpoint could serve a request, now or after a wait. */
  hasUsable(now: number): boolean {
    return this.#views.some((view) => isAvailable(view, now));
  }

  /** Selects the best endpoint; undefined if no endpoint is usable. */
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
    ].find((list) => list.length > 0);
    if (candidates === undefined) return undefined;
    const ofOneRole = this.#limitToSampledRole(candidates, query);
    const best = this.#bestOfSample(ofOneRole, query, cached);
    if (query.rank > 0) return best;
    return this.#preferOnTime(best, eligible.healthy, { query, cached });
  }

  /** Shortest times that any healthy endpoint offers now. */
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

  /** Ejects unhealthy endpoints up to the ejection ceiling. */
  review(now: number): void {
    const usable = this.#views.filter((view) => view.usable);
    const maxEjected = Math.floor(
      usable.length * this.#options.maxEjectedShare,
    );
    let ejected = usable.filter((one) => one.health.ejected).length;
    const median = medianOf(usable.map((one) => one.health.ratioToRated));
    for (const view of usable) {
      if (ejected >= maxEjected) return;
      if (!view.health.shouldEject(median)) continue;
      view.health.eject(now);
      ejected += 1;
    }
  }

  /**
   * Groups the subset in one pass, from the best endpoints to the last resort.
   */
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

  #bestOfSample(
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
    return this.#withAffinity(best, views, { query, cached });
  }

  /**
   * For urgent work: prefers an endpoint without a free slot, whose side
   * preempts other work, to a free one that can't finish on time.
   */
  #preferOnTime(
    found: Candidate,
    healthy: readonly EndpointView[],
    context: QueryContext,
  ): Candidate {
    const { query, cached } = context;
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

  /** Limits the endpoints to one role, sampled by the plan's shares. */
  #limitToSampledRole(
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

  /** Prefers the endpoint that has the prefix if its load is near the mean. */
  #withAffinity(
    best: Candidate,
    views: readonly EndpointView[],
    { query, cached }: QueryContext,
  ): Candidate {
    if (cached === undefined) return best;
    const holder = this.#byId.get(cached.endpoint);
    if (holder === undefined || !views.includes(holder)) return best;
    const bound = this.#options.maxAffinityOccupancy *
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
