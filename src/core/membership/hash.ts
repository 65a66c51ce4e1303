const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/**
 * Hashes a text to a number in (0, 1): FNV-1a with the finalizer of
 * MurmurHash3, because FNV-1a alone leaves the high bits of similar names
 * alike. xxhash is as good but comes as WebAssembly that has to be initialized
 * asynchronously, which an embedder's constructor can't await; the values rank
 * a few thousand names, for which 32 bits are enough.
 */
export function hashToUnit(text: string): number {
  return toUnit(continueHash(FNV_OFFSET_BASIS, text));
}

/**
 * Returns a function that hashes the prefix followed by a text: the value of
 * `hashToUnit` for both, without hashing the prefix each time.
 */
export function hashWithPrefix(prefix: string): (text: string) => number {
  const hash = continueHash(FNV_OFFSET_BASIS, prefix);
  return (text) => toUnit(continueHash(hash, text));
}

function continueHash(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

function toUnit(hash: number): number {
  return ((finalize(hash) >>> 0) + 0.5) / UINT32_RANGE;
}

function finalize(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return hash ^ (hash >>> 16);
}
