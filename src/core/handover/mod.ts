/** Decides when a moved answer transfers its key-value cache. */
import type { EngineCharacteristics } from "../../generated/inventory.ts";

/**
 * Fixed time of a transfer, milliseconds: two calls of the engines and the
 * network between two availability zones.
 */
const FIXED_TRANSFER_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Minimum number of tokens for which a transfer of the cache is faster than a
 * new prefill; undefined if it never is, or if the inventory lacks the figures.
 *
 * It applies when an engine with long prompts is drained for a role change.
 * Without a transfer, the next engine computes the cache of the whole prompt
 * again while the caller receives nothing; over a slow network, a transfer
 * takes longer than that. The threshold is where the prefill time saved equals
 * the time for transfer and calls.
 */
export function minTransferTokens(
  engine: EngineCharacteristics | undefined,
): number | undefined {
  if (engine === undefined || !engine.exportsKeyValueCache) return undefined;
  const { keyValueCacheBytesPerToken, keyValueCacheBytesPerSecond } = engine;
  if (keyValueCacheBytesPerToken === undefined) return undefined;
  if (keyValueCacheBytesPerSecond === undefined) return undefined;
  const prefillPerToken = MILLISECONDS_PER_SECOND /
    engine.prefillTokensPerSecond;
  const transferPerToken = MILLISECONDS_PER_SECOND *
    keyValueCacheBytesPerToken /
    keyValueCacheBytesPerSecond;
  if (transferPerToken >= prefillPerToken) return undefined;
  return Math.ceil(
    FIXED_TRANSFER_MILLISECONDS /
      (prefillPerToken - transferPerToken),
  );
}
