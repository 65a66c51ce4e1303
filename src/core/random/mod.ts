import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws a number in [0, 1). Parts take it as an argument. */
export type Random = () => number;

const TWO_TO_THE_32 = 2 ** 32;

/** A repeatable source of random numbers for a seed (a 32-bit integer). */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / TWO_TO_THE_32;
}

/** Adds up to `share` of the value, at random, so that many waits end apart. */
export function withJitter(
  value: number,
  options: { random: Random; share: number },
): number {
  return value * (1 + options.share * options.random());
}
