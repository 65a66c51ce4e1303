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
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return ((mix(hash) >>> 0) + 0.5) / TWO_TO_THE_32;
}

function mix(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return hash ^ (hash >>> 16);
}
