import type { EndpointId } from "../identity/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import type { EndpointView } from "./endpoint_view.ts";

/** Input of a placement decision beyond the request's profile. */
export interface PlacementQuery {
  readonly profile: RequestProfile;
  readonly rank: number;
  readonly outputTokens: number;
  readonly now: number;
}

/**
 * Endpoint with the longest known prefix of the prompt, and the share of the
 * prompt that it covers.
 */
export interface CachedPrefix {
  readonly endpoint: EndpointId;
  readonly share: number;
}

/** An endpoint with the predicted times of the request there. */
export interface Candidate {
  readonly view: EndpointView;
  readonly finishMilliseconds: number;
  /** Engine time that the request uses, as if it had the whole engine. */
  readonly engineMilliseconds: number;
  /** Prompt tokens that the endpoint has to process. */
  readonly promptTokens: number;
  /** Value by which candidates are compared; smaller is better. */
  readonly score: number;
}

export interface ScoringOptions {
  readonly availabilityZone: string;
  /**
   * Cost in milliseconds that is added to a placement in another availability
   * zone.
   */
  readonly crossZoneMilliseconds: number;
  /** Weight of the engine time against the predicted finish. */
  readonly engineCostWeight: number;
}

/** Prompt tokens that an endpoint would have to process. */
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

/** Predicted time from placement to the complete answer, milliseconds. */
export function predictFinishMilliseconds(
  view: EndpointView,
  query: PlacementQuery,
  promptTokens: number,
): number {
  const { rank, now, outputTokens } = query;
  return view.firstTokenMilliseconds(promptTokens, { rank, now }) +
    view.decodeMilliseconds(outputTokens);
}

/** Scores endpoints as candidates for a request. */
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
      (isSameZone ? 0 : options.crossZoneMilliseconds);
    const engineMilliseconds = view.engineMilliseconds(
      promptTokens,
      query.outputTokens,
    );
    const score = finishMilliseconds +
      options.engineCostWeight * engineMilliseconds;
    return {
      view,
      finishMilliseconds,
      engineMilliseconds,
      promptTokens,
      score,
    };
  }
}
