import type { RegisteredEndpoint } from "../configuration.ts";

/**
 * Ratio of predicted pauses up to which engines count as equal. Without it,
 * errors of the predictions decide between equal engines, not their distance;
 * with 1.25, the pauses at engines of different speeds were 10 % longer.
 */
const MAX_EQUAL_PAUSE_RATIO = 1.1;

/** A decode engine that a response may go to, and its cost. */
export interface DecodeCandidate {
  readonly endpoint: RegisteredEndpoint;
  /** Open requests, with distance as additional requests. */
  readonly slots: number;
  /** Predicted pause with the response; undefined while unknown. */
  readonly pauseMilliseconds: number | undefined;
}

/**
 * The candidate with the shortest predicted pause; the one with the fewest open
 * requests among those with similar pauses.
 */
export function bestCandidate(
  candidates: readonly DecodeCandidate[],
): DecodeCandidate | undefined {
  let shortest = Infinity;
  for (const { pauseMilliseconds = Infinity } of candidates) {
    shortest = Math.min(shortest, pauseMilliseconds);
  }
  let best: DecodeCandidate | undefined;
  for (const candidate of candidates) {
    const { pauseMilliseconds = Infinity, slots } = candidate;
    const isSimilar = pauseMilliseconds <= MAX_EQUAL_PAUSE_RATIO * shortest;
    if (isSimilar && slots < (best?.slots ?? Infinity)) best = candidate;
  }
  return best;
}
