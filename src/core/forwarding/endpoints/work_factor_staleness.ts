/** Number of octaves of age, from 1 ms to 33 s. */
const OCTAVES = 16;
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
/**
 * Decrease of the weight with each octave of age that no sample has. A replica
 * that is avoided has no new reports; if its last one kept its weight, it would
 * be avoided long after it has recovered.
 */
const UNKNOWN_AGE_DECAY = 0.5;
/** Weight below which a report is no longer useful. */
const MIN_USEFUL_WEIGHT = 0.1;

interface Octave {
  /** Decayed sum of the products of successive logarithms. */
  products: number;
  /** Decayed sum of the means of their squares. */
  squares: number;
  samples: number;
}

/** Successive octaves with the same weight. */
interface Block {
  readonly products: number;
  readonly squares: number;
  readonly first: number;
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

  /**
   * Fits weights that never increase with age: adjacent octaves that contradict
   * this are averaged, as each has few samples.
   */
  #updateWeights(): void {
    const blocks: Block[] = [];
    this.#octaves.forEach(({ products, samples, squares }, index) => {
      // Without samples, or while all factors are 1, age makes no difference.
      if (squares === 0) return;
      const prior = PRIOR_SAMPLES * squares / samples;
      let block: Block = {
        products: products + prior,
        squares: squares + prior,
        first: index,
      };
      for (
        let last = blocks.at(-1);
        last !== undefined && weightOf(last) < weightOf(block);
        last = blocks.at(-1)
      ) {
        blocks.pop();
        block = {
          products: last.products + block.products,
          squares: last.squares + block.squares,
          first: last.first,
        };
      }
      blocks.push(block);
    });
    this.#weights.fill(1);
    for (const block of blocks) {
      this.#weights.fill(weightOf(block), block.first);
    }
    const last = this.#octaves.findLastIndex(({ squares }) => squares > 0);
    for (let index = last + 1; last >= 0 && index < OCTAVES; index++) {
      this.#weights[index] = UNKNOWN_AGE_DECAY * this.#weights[index - 1];
    }
  }
}

function weightOf({ products, squares }: Block): number {
  return Math.max(0, products / squares);
}

function octaveOf(milliseconds: number): number {
  const octave = Math.floor(Math.log2(Math.max(1, milliseconds)));
  return Math.min(OCTAVES - 1, octave);
}

function boundedLogarithm(factor: number): number {
  const logarithm = Math.log(factor);
  return Math.max(-MAX_LOGARITHM, Math.min(MAX_LOGARITHM, logarithm));
}
