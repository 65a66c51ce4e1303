import type { CachedPrompt, PromptPart } from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
} from "../../core/identity/mod.ts";

/**
 * A prefilled prompt as sent to peers: the engine, its memory in tokens, the
 * start time of its run (0 if unknown), then id and tokens of each part. An
 * array without field names, as some dozens are sent each second.
 */
export type EncodedPrompt = readonly (string | number)[];

/** Number of values before those of the parts. */
const HEADER_VALUES = 3;
const UNKNOWN_START = 0;
const VALUES_PER_PART = 2;

export function encodePrompt(prompt: CachedPrompt): EncodedPrompt {
  return [
    prompt.engine,
    prompt.memoryTokens,
    prompt.engineStartedAt ?? UNKNOWN_START,
    ...prompt.parts.flatMap(({ id, tokens }) => [id, tokens]),
  ];
}

/** Undefined if the value is not an encoded prompt. */
export function decodePrompt(value: unknown): CachedPrompt | undefined {
  if (!Array.isArray(value)) return undefined;
  const [engine, memoryTokens, startedAt, ...rest] = value;
  const hasHeader = typeof engine === "string" &&
    typeof memoryTokens === "number" && typeof startedAt === "number" &&
    value.length >= HEADER_VALUES && rest.length % VALUES_PER_PART === 0;
  if (!hasHeader) return undefined;
  const parts: PromptPart[] = [];
  for (let index = 0; index < rest.length; index += VALUES_PER_PART) {
    const [id, tokens] = rest.slice(index, index + VALUES_PER_PART);
    if (typeof id !== "string" || typeof tokens !== "number") return undefined;
    parts.push({ id, tokens });
  }
  return {
    engine: identifier<EndpointId>(engine),
    ...(startedAt !== UNKNOWN_START && {
      engineStartedAt: numbered<ReplicaStartTime>(startedAt),
    }),
    memoryTokens,
    parts,
  };
}
