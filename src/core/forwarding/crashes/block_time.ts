import type { Suspect } from "./suspect.ts";

/** Longest time that a culprit is blocked after its last crash. */
export const MAX_BLOCK_MILLISECONDS = 10 * 60_000;
/**
 * Time that the first part of prompts is blocked after its last crash, by the
 * number of crashes. It is in so many requests that a false block has to end
 * soon; one trial then shows whether it is false.
 */
const FIRST_PART_BLOCKS: readonly (readonly [
  crashes: number,
  milliseconds: number,
])[] = [[3, 2_000], [4, 5_000]];

/** Time that a culprit is blocked after its last crash, in milliseconds. */
export function blockMilliseconds(suspect: Suspect): number {
  const { crashes, isFirstPart, lostRuns, standsOut } = suspect;
  if (!isFirstPart) return MAX_BLOCK_MILLISECONDS;
  // Crashes at the same time are one where they may have another cause. Counted
  // so for a part that stands out, a trial would be its sixth crash or later.
  const counted = standsOut ? lostRuns : crashes;
  const early = FIRST_PART_BLOCKS.find(([most]) => counted <= most);
  return early?.[1] ?? MAX_BLOCK_MILLISECONDS;
}
