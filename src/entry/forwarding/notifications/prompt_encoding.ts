import type { CachedPrompt, PromptPart } from "../../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
} from "../../../core/identity/mod.ts";
import { isNumber, isText } from "../../../core/validation/mod.ts";

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

/** Checks that the value is an encoded prompt. */
export function isEncodedPrompt(value: unknown): value is EncodedPrompt {
  if (!Array.isArray(value) || value.length < HEADER_VALUES) return false;
  const [engine, memoryTokens, startedAt] = value;
  const isHeader = isText(engine) && isCount(memoryTokens) &&
    isNumber(startedAt);
  if (!isHeader || (value.length - HEADER_VALUES) % VALUES_PER_PART !== 0) {
    return false;
  }
  for (let at = HEADER_VALUES; at < value.length; at += VALUES_PER_PART) {
    if (!isText(value[at]) || !isCount(value[at + 1])) return false;
  }
  return true;
}

export function decodePrompt(prompt: EncodedPrompt): CachedPrompt {
  const [engine, memoryTokens, startedAt, ...rest] = prompt;
  const parts: PromptPart[] = [];
  for (let index = 0; index < rest.length; index += VALUES_PER_PART) {
    const [id, tokens] = rest.slice(index, index + VALUES_PER_PART);
    parts.push({ id: String(id), tokens: Number(tokens) });
  }
  return {
    engine: identifier<EndpointId>(String(engine)),
    ...(startedAt !== UNKNOWN_START && {
      engineStartedAt: numbered<ReplicaStartTime>(Number(startedAt)),
    }),
    memoryTokens: Number(memoryTokens),
    parts,
  };
}

function isCount(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}
