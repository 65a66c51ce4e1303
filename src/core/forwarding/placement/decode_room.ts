import type { Pool, RegisteredEndpoint } from "../configuration.ts";
import type { LoadPicture } from "../endpoints/load_picture.ts";

/**
 * Share of an engine's memory that open requests may take before it gets one that
 * has waited. Answers grow while they run, and an engine that comes back after a
 * crash would otherwise be sent more than it can hold. Requests that have not
 * waited are not held back: engines keep a short queue of their own.
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
