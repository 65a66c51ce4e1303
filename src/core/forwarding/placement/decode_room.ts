import type { Pool, RegisteredEndpoint } from "../configuration.ts";
import type { LoadPicture } from "../endpoints/load_picture.ts";

/**
 * Share of an engine's memory that open requests may take before it gets one
 * that has waited for an engine. Load: engines that decode come back after a crash while a hundred read
 * prompts wait for them. Harm prevented: all are sent at once, the engine turns
 * away what finds no memory, and callers are refused whose turn would have come
 * within their time (200 of a day's 3,900). Limit: answers grow while they run.
 * What has not waited is sent on at once: engines keep a short queue of their
 * own, and held back for room urgent answers were late by their wait (238 of
 * 423 on time, all of them without).
 */
const MOST_TAKEN_MEMORY = 0.9;

/**
 * True while the engine has a slot for one more request, and memory for what it
 * would have open with it. One request alone always fits: an engine refuses what
 * is larger than its memory by itself.
 */
export function hasRoom(
  { id, slots }: RegisteredEndpoint,
  options: {
    readonly load: LoadPicture;
    readonly pool: Pool;
    readonly tokens: number;
  },
): boolean {
  const { load, pool, tokens } = options;
  const open = load.total(id);
  // Where nobody has told the engines' memory, their slots alone decide.
  const memoryTokens = pool.engine?.memoryTokens || Infinity;
  const fits = open.tokens + tokens <= MOST_TAKEN_MEMORY * memoryTokens;
  return open.requests < slots && (fits || open.requests === 0);
}
