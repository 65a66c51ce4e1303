import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns a random number in [0, 1). Components receive it as an argument. */
export type Random = () => number;

const TWO_TO_THE_32 = 2 ** 32;

/**
 * Creates a deterministic random number generator from a seed (a 32-bit
 * integer).
 */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / TWO_TO_THE_32;
}

/**
 * Adds a random amount of up to `share` of the value, so that concurrent timers
 * do not expire together.
 */
export function withJitter(
  value: number,
  options: { random: Random; share: number },
): number {
  return value * (1 + options.share * options.random());
}
