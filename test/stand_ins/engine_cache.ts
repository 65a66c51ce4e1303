/** Prefix cache of the stand-in engine. */

/** Characters per block, about sixteen tokens. */
const BLOCK_CHARACTERS = 64;

/** A change of the cache, as reported late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly at: number;
  readonly added: readonly string[];
  readonly dropped: readonly string[];
}

/** Hashes of all prefixes of a prompt at block boundaries, shortest first. */
export function prefixBlocks(text: string): string[] {
  const blocks: string[] = [];
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
    if ((index + 1) % BLOCK_CHARACTERS === 0) {
      blocks.push((value >>> 0).toString(16));
    }
  }
  return blocks;
}

/** LRU cache of prefix blocks; every third event is lost. */
export class PrefixCache {
  readonly #capacityBlocks: number;
  readonly #blocks = new Set<string>();
  readonly #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(options: { capacityTokens: number }) {
    this.#capacityBlocks = Math.max(1, Math.floor(options.capacityTokens / 16));
  }

  /**
   * Returns the cached share of the prompt, 0 to 1, and stores all its blocks.
   */
  lookUpAndStore(text: string): number {
    const blocks = prefixBlocks(text);
    let cachedBlocks = 0;
    while (
      cachedBlocks < blocks.length && this.#blocks.has(blocks[cachedBlocks])
    ) cachedBlocks++;
    this.store(blocks);
    return text.length === 0
      ? 0
      : cachedBlocks * BLOCK_CHARACTERS / text.length;
  }

  store(blocks: readonly string[]): void {
    const added = blocks.filter((block) => !this.#blocks.has(block));
    for (const block of blocks) {
      this.#blocks.delete(block);
      this.#blocks.add(block);
    }
    const dropped: string[] = [];
    for (const block of this.#blocks) {
      if (this.#blocks.size <= this.#capacityBlocks) break;
      this.#blocks.delete(block);
      dropped.push(block);
    }
    if (added.length + dropped.length > 0) this.#recordEvent(added, dropped);
  }

  /**
   * Events from a sequence number on that are older than the lag, without lost
   * ones.
   */
  events(options: { from: number; lagMilliseconds: number }): CacheEvent[] {
    const newest = performance.now() - options.lagMilliseconds;
    return this.#events.filter((event) =>
      event.sequence >= options.from && event.at <= newest
    );
  }

  #recordEvent(added: readonly string[], dropped: readonly string[]): void {
    const sequence = this.#sequence++;
    if (sequence % 3 === 2) return;
    this.#events.push({ sequence, at: performance.now(), added, dropped });
    if (this.#events.length > 1000) this.#events.shift();
  }
}
