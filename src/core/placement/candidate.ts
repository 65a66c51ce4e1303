import type { EndpointId } from "../identity/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import type { EndpointPicture } from "./endpoint_picture.ts";

/** What placement needs to know beside the profile. */
export interface PlacementQuestion {
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
  readonly picture: EndpointPicture;
  readonly milliseconds: number;
  /** Time of the whole engine that the request takes. */
  readonly engineMilliseconds: number;
  /** Tokens of the prompt that the endpoint has to process. */
  readonly promptTokens: number;
  /** What candidates are compared by; smaller is better. */
  readonly score: number;
}

export interface JudgeOptions {
  readonly availabilityZone: string;
  /** Time that a placement in another availability zone is held to cost. */
  readonly otherZoneMilliseconds: number;
  /** Weight of the engine's time against the finish. */
  readonly engineCostWeight: number;
}

/** Tokens of the prompt that an endpoint would have to process. */
export function promptTokensAt(
  picture: EndpointPicture,
  question: PlacementQuestion,
  cached: CachedPrefix | undefined,
): number {
  const { profile } = question;
  const tokens = profile.promptTokens + profile.deliveredTokens;
  if (cached?.endpoint !== picture.facts.endpoint) return tokens;
  return tokens * (1 - cached.share);
}

/** Finish on an endpoint, from the placement on, milliseconds. */
export function finishAt(
  picture: EndpointPicture,
  question: PlacementQuestion,
  promptTokens: number,
): number {
  const { rank, now, outputTokens } = question;
  return picture.firstTokenMilliseconds(promptTokens, { rank, now }) +
    picture.decodeMilliseconds(outputTokens);
}

/** Looks at endpoints as the place for a request. */
export class CandidateJudge {
  readonly #options: JudgeOptions;

  constructor(options: JudgeOptions) {
    this.#options = options;
  }

  judge(
    picture: EndpointPicture,
    question: PlacementQuestion,
    cached: CachedPrefix | undefined,
  ): Candidate {
    const options = this.#options;
    const promptTokens = promptTokensAt(picture, question, cached);
    const isNear = picture.facts.availabilityZone === options.availabilityZone;
    const milliseconds = finishAt(picture, question, promptTokens) +
      (isNear ? 0 : options.otherZoneMilliseconds);
    const engineMilliseconds = picture.engineMilliseconds(
      promptTokens,
      question.outputTokens,
    );
    const score = milliseconds + options.engineCostWeight * engineMilliseconds;
    return { picture, milliseconds, engineMilliseconds, promptTokens, score };
  }
}
