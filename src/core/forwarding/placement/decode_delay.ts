import type { Prompt } from "../requests.ts";

/**
 * Context tokens for each output token from which a response is short: it adds
 * to the pauses of all streams of its engine and needs few of them itself.
 */
const MIN_CONTEXT_PER_OUTPUT_TOKEN = 100;
/**
 * Share of the time left until the response is late that a delay may use. The
 * rest covers the error of the predicted handover.
 */
const MAX_DELAY_SLACK_SHARE = 0.5;
/**
 * Longest delay as a share of the allowed pause. Longer delays did not shorten
 * the pauses further.
 */
const MAX_DELAY_PAUSE_SHARE = 0.25;

/** A response that has to be decoded, under a bound on stream pauses. */
export interface DelayedResponse {
  readonly prompt: Pick<Prompt, "inputTokens" | "mostOutputTokens">;
  /** Priority of the request; 0 is the most urgent. */
  readonly rank: number;
  /** The least urgent rank of the routes whose streams are bounded. */
  readonly leastUrgentRank: number;
  readonly maxPauseMilliseconds: number;
  /** Time until the response is late, less the predicted handover. */
  readonly slackMilliseconds: number;
}

/**
 * Longest time for which a response waits while every decode engine would
 * exceed the bound of its streams; 0 if it is not delayed. Handles bursts of
 * responses with few tokens and a long context.
 */
export function maxDecodeDelayMilliseconds(response: DelayedResponse): number {
  const { leastUrgentRank, prompt, rank } = response;
  const isShort = prompt.inputTokens >=
    MIN_CONTEXT_PER_OUTPUT_TOKEN * prompt.mostOutputTokens;
  if (!isShort || rank < leastUrgentRank) return 0;
  return Math.max(
    0,
    Math.min(
      MAX_DELAY_SLACK_SHARE * response.slackMilliseconds,
      MAX_DELAY_PAUSE_SHARE * response.maxPauseMilliseconds,
    ),
  );
}
