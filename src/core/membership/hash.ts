const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const TWO_TO_THE_32 = 2 ** 32;

/**
 * A number in (0, 1) for a text: FNV-1a with the finalizer of MurmurHash3,
 * because FNV-1a alone leaves the high bits of similar names alike. xxhash is
 * as good but comes as WebAssembly that has to be started asynchronously,
 * which an embedder's constructor can't wait for; the values feed rankings of
 * a few thousand names, where 32 bits are enough.
 */
export function hashToUnit(text: string): number {
  return unitOf(hashOn(FNV_OFFSET_BASIS, text));
}

/**
 * Gives the function that hashes the prefix with a text behind it: the value
 * of `hashToUnit` for both, without hashing the prefix each time.
 */
export function hashBehind(prefix: string): (text: string) => number {
  const hash = hashOn(FNV_OFFSET_BASIS, prefix);
  return (text) => unitOf(hashOn(hash, text));
}

function hashOn(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

function unitOf(hash: number): number {
  return ((mix(hash) >>> 0) + 0.5) / TWO_TO_THE_32;
}

function mix(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return hash ^ (hash >>> 16);
}
