/**
 * How fast an engine reads prompts, from the operators' asset register. The
 * pairs are those of prompt tokens that attend to each other.
 */
const PREFILL_TOKENS_PER_MILLISECOND = 310;
const MILLISECONDS_PER_MILLION_PAIRS = 0.0921;
const PAIRS_IN_MILLION = 1e6;
/** An engine that decodes reads prompts at half the speed, between tokens. */
const DECODE_ENGINE_SLOWDOWN = 2;

/** Time in which an idle prefill engine reads a prompt, milliseconds. */
export function prefillMilliseconds(
  promptTokens: number,
  keptTokens: number,
): number {
  const fresh = Math.max(0, promptTokens - keptTokens);
  const pairs = fresh * (promptTokens - fresh / 2);
  return fresh / PREFILL_TOKENS_PER_MILLISECOND +
    MILLISECONDS_PER_MILLION_PAIRS * pairs / PAIRS_IN_MILLION;
}

/** The same where an engine reads the prompt beside its decoding. */
export function inlinePrefillMilliseconds(
  promptTokens: number,
  keptTokens: number,
): number {
  return DECODE_ENGINE_SLOWDOWN *
    prefillMilliseconds(promptTokens, keptTokens);
}
