/** When an answer that moves takes its key-value cache along. */
import type { EngineCharacteristics } from "../../generated/inventory.ts";

/**
 * Time that a hand-over takes whatever its size, milliseconds: two calls of the
 * engines and the way between two availability zones.
 */
const FIXED_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Tokens from which on a hand-over is worth its transfer; undefined where it
 * never is, or where the register does not say.
 *
 * Load: an engine that is drained for a role change while it works on long
 * logs. Harm prevented: the next engine makes the whole prompt's cache anew and
 * the caller hears nothing meanwhile; the other way round, a transfer over a
 * thin network that takes longer than making the cache anew. Limit: where the
 * time saved in prefill is the time for transfer and calls.
 */
export function fewestTokensToHandOver(
  engine: EngineCharacteristics | undefined,
): number | undefined {
  if (engine === undefined || !engine.exportsKeyValueCache) return undefined;
  const { keyValueCacheBytesPerToken, keyValueCacheBytesPerSecond } = engine;
  if (keyValueCacheBytesPerToken === undefined) return undefined;
  if (keyValueCacheBytesPerSecond === undefined) return undefined;
  const made = MILLISECONDS_PER_SECOND / engine.prefillTokensPerSecond;
  const sent = MILLISECONDS_PER_SECOND * keyValueCacheBytesPerToken /
    keyValueCacheBytesPerSecond;
  if (sent >= made) return undefined;
  return Math.ceil(FIXED_MILLISECONDS / (made - sent));
}
