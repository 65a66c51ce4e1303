import type { Pool, RegisteredEndpoint } from "../configuration.ts";
import type { FleetLoad } from "../endpoints/fleet_load.ts";

/**
 * Share of an engine's memory that open requests may use before the engine gets
 * one that has waited. Responses grow while they run, and an engine that
 * recovers from a crash would otherwise get more waiting requests than its
 * memory holds. Requests that have not waited are not limited: engines have a
 * short queue.
 */
const MAX_MEMORY_SHARE = 0.9;

/**
 * True while the engine has a free slot and enough memory for one more request.
 * A request always fits an engine with no other: the engine itself rejects one
 * that is larger than its memory.
 */
export function hasCapacity(
  { id, slots }: RegisteredEndpoint,
  options: {
    readonly load: FleetLoad;
    readonly pool: Pool;
    readonly tokens: number;
  },
): boolean {
  const { load, pool, tokens } = options;
  const open = load.total(id);
  // Engines of an unknown memory size are limited by their slots alone.
  const memoryTokens = pool.engine?.memoryTokens || Infinity;
  const fitsMemory = open.tokens + tokens <= MAX_MEMORY_SHARE * memoryTokens;
  return open.requests < slots && (fitsMemory || open.requests === 0);
}
