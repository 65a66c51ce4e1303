/** Weight of one answer in the running means: the last fifty count most. */
const ANSWER_WEIGHT = 0.02;
/** Expected output of a class without a rule or a history, tokens. */
const UNKNOWN_OUTPUT_TOKENS = 200;

/**
 * Expected output per class, learned from complete answers. Callers state a
 * maximum far above what they get; admission that reckoned with it would
 * refuse most of what can be on time.
 */
export class OutputLengths {
  readonly #means = new Map<string, number>();

  /** Starting point of a class; what has been learned is kept. */
  expectInitially(className: string, tokens?: number): void {
    if (this.#means.has(className)) return;
    this.#means.set(className, tokens ?? UNKNOWN_OUTPUT_TOKENS);
  }

  learn(className: string, tokens: number): void {
    const mean = this.#means.get(className) ?? tokens;
    this.#means.set(className, mean + ANSWER_WEIGHT * (tokens - mean));
  }

  /** Tokens still to come, bounded by the caller's maximum. */
  expected(
    className: string,
    bounds: { most: number; delivered: number },
  ): number {
    const mean = this.#means.get(className) ?? UNKNOWN_OUTPUT_TOKENS;
    return Math.max(1, Math.min(mean, bounds.most) - bounds.delivered);
  }
}
