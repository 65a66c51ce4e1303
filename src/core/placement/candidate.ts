import type { EndpointId } from "../identity/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import type { EndpointView } from "./endpoint_view.ts";

/** What placement needs to know beside the profile. */
export interface PlacementQuery {
  readonly profile: RequestProfile;
  readonly rank: number;
  readonly outputTokens: number;
  readonly now: number;
}

/** Where the prompt's longest known prefix is, and the share that it covers. */
export interface CachedPrefix {
  readonly endpoint: EndpointId;
  readonly share: number;
}

/** An endpoint with the finish that is expected there. */
export interface Candidate {
  readonly view: EndpointView;
  readonly finishMilliseconds: number;
  /** Time of the whole engine that the request takes. */
  readonly engineMilliseconds: number;
  /** Tokens of the prompt that the endpoint has to process. */
  readonly promptTokens: number;
  /** What candidates are compared by; smaller is better. */
  readonly score: number;
}

export interface ScoringOptions {
  readonly availabilityZone: string;
  /** Time that a placement in another availability zone is held to cost. */
  readonly otherZoneMilliseconds: number;
  /** Weight of the engine's time against the finish. */
  readonly engineCostWeight: number;
}

/** Tokens of the prompt that an endpoint would have to process. */
export function uncachedPromptTokens(
  view: EndpointView,
  query: PlacementQuery,
  cached: CachedPrefix | undefined,
): number {
  const { profile } = query;
  const tokens = profile.promptTokens + profile.deliveredTokens;
  if (cached?.endpoint !== view.config.endpoint) return tokens;
  return tokens * (1 - cached.share);
}

/** Finish on an endpoint, from the placement on, milliseconds. */
export function predictFinishMilliseconds(
  view: EndpointView,
  query: PlacementQuery,
  promptTokens: number,
): number {
  const { rank, now, outputTokens } = query;
  return view.firstTokenMilliseconds(promptTokens, { rank, now }) +
    view.decodeMilliseconds(outputTokens);
}

/** Looks at endpoints as the place for a request. */
export class CandidateScorer {
  readonly #options: ScoringOptions;

  constructor(options: ScoringOptions) {
    this.#options = options;
  }

  score(
    view: EndpointView,
    query: PlacementQuery,
    cached: CachedPrefix | undefined,
  ): Candidate {
    const options = this.#options;
    const promptTokens = uncachedPromptTokens(view, query, cached);
    const isSameZone =
      view.config.availabilityZone === options.availabilityZone;
    const finishMilliseconds =
      predictFinishMilliseconds(view, query, promptTokens) +
      (isSameZone ? 0 : options.otherZoneMilliseconds);
    const engineMilliseconds = view.engineMilliseconds(
      promptTokens,
      query.outputTokens,
    );
    const score = finishMilliseconds +
      options.engineCostWeight * engineMilliseconds;
    return {
      view: view,
      finishMilliseconds: finishMilliseconds,
      engineMilliseconds,
      promptTokens,
      score,
    };
  }
}
