import type { Pool, RegisteredEndpoint } from "../configuration.ts";
import type { PrefillSpeed } from "../estimates/mod.ts";
import { type PrefixSource, transferMilliseconds } from "./prefix_sources.ts";
import type { Prompt } from "../requests.ts";

/**
 * Smallest number of tokens that is fetched from another engine. Fetching pays
 * where hundreds of shared parts exceed one engine's memory: computing a part
 * again takes 20 ms, and a link transfers it in 2 to 4 ms. A fetch of 1,000
 * tokens saves only 3 ms and waits for both links.
 */
const MIN_FETCHED_TOKENS = 1_000;

/** How an engine prefills a prompt. */
export interface PrefillPlan {
  /**
   * Prefill work at the engine, without the time of the call, since calls to
   * one engine overlap. When the call counted for each queued prompt, the
   * median prediction was 84 ms for a measured 65 ms.
   */
  readonly workMilliseconds: number;
  /** Tokens at the prompt's start that the engine need not compute. */
  readonly keptTokens: number;
  /** Engine from which a longer cached prefix is fetched first. */
  readonly fetchFrom?: RegisteredEndpoint;
}

/** Engine, speed and cached prefixes for a prefill plan. */
export interface PrefillPlanOptions {
  readonly endpoint: RegisteredEndpoint;
  readonly pool: Pool;
  readonly speed: PrefillSpeed;
  /** Tokens at the prompt's start that the engine itself has cached. */
  readonly keptTokens: number;
  /** Other engines that have a prefix of the prompt cached. */
  readonly sources: readonly PrefixSource[];
}

/**
 * The plan with the least work, with the engine's own cache or with a fetch.
 */
export function fastestPrefillPlan(
  prompt: Prompt,
  options: PrefillPlanOptions,
): PrefillPlan {
  const { keptTokens, speed, sources } = options;
  const withoutFetch: PrefillPlan = {
    workMilliseconds: speed.predictWorkMilliseconds(
      prompt.inputTokens,
      keptTokens,
    ),
    keptTokens,
  };
  return sources
    .flatMap((source) => plansFetchingFrom(source, prompt, options))
    .reduce(
      (one, other) =>
        other.workMilliseconds < one.workMilliseconds ? other : one,
      withoutFetch,
    );
}

/** A plan that fetches from the source; empty where too little is gained. */
function plansFetchingFrom(
  source: PrefixSource,
  prompt: Prompt,
  options: PrefillPlanOptions,
): PrefillPlan[] {
  const { endpoint, keptTokens, pool: { engine }, speed } = options;
  const fetchedTokens = source.keptTokens - keptTokens;
  if (engine === undefined || fetchedTokens < MIN_FETCHED_TOKENS) return [];
  const isCrossZone =
    source.endpoint.availabilityZone !== endpoint.availabilityZone;
  return [{
    workMilliseconds: transferMilliseconds(fetchedTokens, {
      engine,
      isCrossZone,
    }) +
      speed.predictWorkMilliseconds(prompt.inputTokens, source.keptTokens),
    keptTokens: source.keptTokens,
    fetchFrom: source.endpoint,
  }];
}
