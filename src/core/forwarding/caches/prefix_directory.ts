import type { EndpointId, ReplicaStartTime } from "../../identity/mod.ts";

/**
 * One part of a prompt; prompts that share the part have the same id for it.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Share of an engine's memory that is assumed to cache parts. Running requests
 * and caches that wait for their handover need the rest.
 */
const CACHE_SHARE = 0.8;

/** A prompt whose parts an engine has cached, as reported to peers. */
export interface CachedPrompt {
  readonly engine: EndpointId;
  /** Start of the engine's run; absent where the engine does not report it. */
  readonly engineStartedAt?: ReplicaStartTime;
  readonly parts: readonly PromptPart[];
  readonly memoryTokens: number;
}

/**
 * Limit on prompts queued for the next report to peers; without peers the queue
 * would grow without bound. A dropped report costs one repeated prefill of a
 * part.
 */
const MAX_UNREPORTED = 200;

/** Parts that one engine is assumed to cache, least recently used first. */
class CachedParts {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  has(id: string): boolean {
    return this.#parts.has(id);
  }

  /**
   * Marks the part as most recently used and evicts the oldest beyond the
   * limit.
   */
  touch(part: PromptPart, maxTokens: number): void {
    const previousTokens = this.#parts.get(part.id);
    if (previousTokens !== undefined) {
      this.#parts.delete(part.id);
      this.#tokens -= previousTokens;
    }
    this.#parts.set(part.id, part.tokens);
    this.#tokens += part.tokens;
    // Nothing fits a limit below 0, which a configuration may name.
    while (this.#tokens > maxTokens && this.#parts.size > 0) {
      this.#evictOldest();
    }
  }

  #evictOldest(): void {
    for (const [id, tokens] of this.#parts) {
      this.#parts.delete(id);
      this.#tokens -= tokens;
      return;
    }
  }
}

/**
 * Shared parts of prompts that each engine has likely cached, derived from the
 * prefills of this entry and its peers. It is an estimate: a wrong record costs
 * one repeated prefill of the part.
 */
export class PrefixDirectory {
  readonly #engines = new Map<EndpointId, CachedParts>();
  #unreported: CachedPrompt[] = [];

  /** Tokens of the cached prefix of the prompt at the engine. */
  keptTokens(engine: EndpointId, parts: readonly PromptPart[]): number {
    const cached = this.#engines.get(engine);
    if (cached === undefined) return 0;
    let tokens = 0;
    for (const part of parts) {
      if (!cached.has(part.id)) return tokens;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Records a cached prompt of this entry and queues it for the peers. */
  recordCached(prompt: CachedPrompt): void {
    this.recordPeerCached(prompt);
    if (this.#unreported.length < MAX_UNREPORTED) this.#unreported.push(prompt);
  }

  /**
   * Records a cached prompt of a peer. The prompt's own part counts as well: it
   * takes the space of shared parts although it is seldom requested again.
   */
  recordPeerCached({ engine, parts, memoryTokens }: CachedPrompt): void {
    let cached = this.#engines.get(engine);
    if (cached === undefined) {
      cached = new CachedParts();
      this.#engines.set(engine, cached);
    }
    for (const part of parts) {
      cached.touch(part, CACHE_SHARE * memoryTokens);
    }
  }

  /** Returns and clears this entry's prompts since the last call. */
  takeUnreported(): readonly CachedPrompt[] {
    const unreported = this.#unreported;
    this.#unreported = [];
    return unreported;
  }

  /** Forgets an engine that has ended or lost its memory. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#engines.delete(id);
  }
}
