/** Smoothing factor of the running means; the last 50 answers weigh most. */
const SMOOTHING_FACTOR = 0.02;
/** Expected output of a class without a rule or a history, tokens. */
const DEFAULT_OUTPUT_TOKENS = 200;

/**
 * Expected output tokens per class, learned from complete answers. Callers
 * request a maximum far above what they receive; admission by that maximum
 * would refuse most requests that can be answered on time.
 */
export class OutputLengthEstimator {
  readonly #meanTokensByClass = new Map<string, number>();

  /** Sets the initial value of a class; a learned value is kept. */
  setInitial(className: string, tokens?: number): void {
    if (this.#meanTokensByClass.has(className)) return;
    this.#meanTokensByClass.set(className, tokens ?? DEFAULT_OUTPUT_TOKENS);
  }

  record(className: string, tokens: number): void {
    const mean = this.#meanTokensByClass.get(className) ?? tokens;
    this.#meanTokensByClass.set(
      className,
      mean + SMOOTHING_FACTOR * (tokens - mean),
    );
  }

  /** Tokens that are still expected, bounded by the caller's maximum. */
  expectedRemaining(
    className: string,
    bounds: { maxTokens: number; delivered: number },
  ): number {
    const mean = this.#meanTokensByClass.get(className) ??
      DEFAULT_OUTPUT_TOKENS;
    return Math.max(1, Math.min(mean, bounds.maxTokens) - bounds.delivered);
  }
}
