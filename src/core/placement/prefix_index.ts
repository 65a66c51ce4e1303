import type { EndpointId } from "../identity/mod.ts";

/**
 * Endpoint that last got each prompt prefix, from own placements and from the
 * engines' cache events. Events are late and incomplete, so an entry is a hint:
 * a wrong one costs a prefill, never an answer.
 */
export class PrefixIndex {
  readonly #endpoints = new Map<string, EndpointId>();
  readonly #maxPrefixes: number;

  /** `maxPrefixes` bounds the memory; the oldest prefixes are evicted first. */
  constructor(maxPrefixes: number) {
    this.#maxPrefixes = maxPrefixes;
  }

  get size(): number {
    return this.#endpoints.size;
  }

  record(endpoint: EndpointId, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      this.#endpoints.delete(prefix);
      this.#endpoints.set(prefix, endpoint);
    }
    while (this.#endpoints.size > this.#maxPrefixes) {
      const oldest = this.#endpoints.keys().next();
      if (oldest.done) return;
      this.#endpoints.delete(oldest.value);
    }
  }

  remove(endpoint: EndpointId, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      if (this.#endpoints.get(prefix) === endpoint) {
        this.#endpoints.delete(prefix);
      }
    }
  }

  /** Endpoint of the longest known prefix, and the share that it covers. */
  find(
    prefixes: readonly string[],
  ): { endpoint: EndpointId; share: number } | undefined {
    for (let index = prefixes.length - 1; index >= 0; index--) {
      const endpoint = this.#endpoints.get(prefixes[index]);
      if (endpoint !== undefined) {
        return { endpoint, share: (index + 1) / prefixes.length };
      }
    }
    return undefined;
  }
}
