/** Number of octaves of age, from 1 ms to 8 s. */
const OCTAVES = 14;
/**
 * Samples after which older ones have lost a third of their weight in an
 * octave, so that the weights follow a change of the pool's behavior.
 */
const MEMORY_SAMPLES = 200;
/**
 * Samples that are assumed in each octave at the start, of factors that do not
 * change. With fewer, two reports that happen to differ would make all later
 * ones useless.
 */
const PRIOR_SAMPLES = 2;
/** Logarithm of a factor of 20; a single extreme report must not dominate. */
const MAX_LOGARITHM = 3;
/** Weight below which a report is no longer useful. */
const MIN_USEFUL_WEIGHT = 0.1;

interface Octave {
  /** Decayed sum of the products of successive logarithms. */
  products: number;
  /** Decayed sum of the means of their squares. */
  squares: number;
  samples: number;
}

/**
 * Learns how fast work factors of a pool become stale: the correlation of
 * successive logarithms of a replica's factor, by the time between them.
 */
export class WorkFactorStaleness {
  readonly #octaves: readonly Octave[] = Array.from(
    { length: OCTAVES },
    () => ({ products: 0, squares: 0, samples: 0 }),
  );
  /** Weight by octave, which never increases. */
  readonly #weights: number[] = Array.from({ length: OCTAVES }, () => 1);

  /** Records two successive factors of one replica. */
  record(
    factors: { readonly before: number; readonly after: number },
    milliseconds: number,
  ): void {
    const before = boundedLogarithm(factors.before);
    const after = boundedLogarithm(factors.after);
    const octave = this.#octaves[octaveOf(milliseconds)];
    const kept = 1 - 1 / MEMORY_SAMPLES;
    octave.products = kept * octave.products + before * after;
    octave.squares = kept * octave.squares + (before ** 2 + after ** 2) / 2;
    octave.samples = kept * octave.samples + 1;
    this.#updateWeights();
  }

  /**
   * Weight of a factor of this age, 0 to 1, by which its logarithm is
   * multiplied to predict the present one.
   */
  weight(ageMilliseconds: number): number {
    return this.#weights[octaveOf(ageMilliseconds)];
  }

  /** Age above which reports are not useful, in milliseconds. */
  get usefulMilliseconds(): number {
    const first = this.#weights.findIndex((each) => each < MIN_USEFUL_WEIGHT);
    return 2 ** (first < 0 ? OCTAVES - 1 : first);
  }

  #updateWeights(): void {
    let lowest = 1;
    this.#octaves.forEach(({ products, samples, squares }, index) => {
      const prior = samples === 0 ? 0 : PRIOR_SAMPLES * squares / samples;
      // Without samples, or while all factors are 1, age makes no difference.
      if (squares > 0) {
        lowest = Math.min(lowest, (products + prior) / (squares + prior));
      }
      this.#weights[index] = Math.max(0, lowest);
    });
  }
}

function octaveOf(milliseconds: number): number {
  const octave = Math.floor(Math.log2(Math.max(1, milliseconds)));
  return Math.min(OCTAVES - 1, octave);
}

function boundedLogarithm(factor: number): number {
  const logarithm = Math.log(factor);
  return Math.max(-MAX_LOGARITHM, Math.min(MAX_LOGARITHM, logarithm));
}
