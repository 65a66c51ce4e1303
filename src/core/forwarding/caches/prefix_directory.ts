import type { EndpointId, ReplicaStart } from "../../identity/mod.ts";

/** One part of a prompt; requests that share it name the same id. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Share of an engine's memory that is taken to hold parts. Running requests
 * and caches that wait for their hand-over need the rest.
 */
const CACHE_SHARE = 0.8;

/** A prompt that an engine has read, as peers tell of it. */
export interface ReadPrompt {
  readonly engine: EndpointId;
  /** Run of the engine that has read it; absent where it tells none. */
  readonly engineStartedAt?: ReplicaStart;
  readonly parts: readonly PromptPart[];
  readonly memoryTokens: number;
}

/**
 * Most prompts that wait for the next report to peers. An entry without peers would
 * collect them without end; a dropped one costs a part that is read twice.
 */
const MAX_UNREPORTED_PROMPTS = 200;

/** The parts that one engine is taken to keep, the oldest first. */
class CachedParts {
  readonly #parts = new Map<string, number>();
  #tokens = 0;

  has(id: string): boolean {
    return this.#parts.has(id);
  }

  touch(part: PromptPart, maxTokens: number): void {
    const previousTokens = this.#parts.get(part.id);
    if (previousTokens !== undefined) {
      this.#parts.delete(part.id);
      this.#tokens -= previousTokens;
    }
    this.#parts.set(part.id, part.tokens);
    this.#tokens += part.tokens;
    while (this.#tokens > maxTokens) this.#evictOldest();
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
 * Which shared parts of prompts each engine has read lately, from what this entry
 * and its peers have sent there. It is an estimate: a wrong entry costs one read of
 * the part.
 */
export class PrefixDirectory {
  readonly #engines = new Map<EndpointId, CachedParts>();
  #unreported: ReadPrompt[] = [];

  /** Tokens at the prompt's start that the engine need not read again. */
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

  /** An engine has read a prompt of this entry. */
  read(prompt: ReadPrompt): void {
    this.peerRead(prompt);
    if (this.#unreported.length < MAX_UNREPORTED_PROMPTS) {
      this.#unreported.push(prompt);
    }
  }

  /**
   * An engine has read a prompt of a peer. Its own part counts as well: it takes the place
   * of shared ones although it is seldom asked for again.
   */
  peerRead({ engine, parts, memoryTokens }: ReadPrompt): void {
    let cached = this.#engines.get(engine);
    if (cached === undefined) {
      cached = new CachedParts();
      this.#engines.set(engine, cached);
    }
    for (const part of parts) {
      cached.touch(part, CACHE_SHARE * memoryTokens);
    }
  }

  /** What was read for this entry since the last call, for its peers. */
  takeUntold(): readonly ReadPrompt[] {
    const unreported = this.#unreported;
    this.#unreported = [];
    return unreported;
  }

  /** The engine has ended or lost its memory. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#engines.delete(id);
  }
}
