/** Answers of the stand-in engine, a pure function of model and prompt. */

/** A complete answer of the engine. */
export interface ExpectedAnswer {
  readonly tokens: readonly string[];
  readonly reason: "stop" | "length";
}

const WORDS = [
  "resin",
  "lorry",
  "river",
  "cure",
  "permit",
  "liner",
  "pile",
  "zone",
  "crew",
  "officer",
  "pipe",
  "bylaw",
  "photo",
  "night",
  "report",
  "drain",
];

/** FNV-1a over UTF-16 code units; not a cryptographic hash. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value ^= text.charCodeAt(index);
    value = Math.imul(value, 0x01000193);
  }
  return value >>> 0;
}

/**
 * Concatenates the messages of a prompt. `answer-tokens=N` in the text sets the
 * length of the answer, so that a test controls how long a stream runs.
 */
export function promptText(
  messages: readonly Readonly<Record<string, unknown>>[],
): string {
  return messages.map((message) => String(message.content ?? "")).join("\n");
}

/** Estimates the number of tokens of a prompt at four characters per token. */
export function promptTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / 4));
}

/** One answer whose tokens are computed on demand. */
export class Answer {
  readonly length: number;
  readonly reason: "stop" | "length";
  readonly #seed: number;

  constructor(model: string, text: string, maxTokens: number) {
    this.#seed = hash(`${model}\n${text}`);
    const requestedLength = /answer-tokens=(\d+)/.exec(text)?.[1];
    const uncappedLength = requestedLength === undefined
      ? 8 + this.#seed % 40
      : Number(requestedLength);
    this.length = Math.min(uncappedLength, maxTokens);
    this.reason = uncappedLength > maxTokens ? "length" : "stop";
  }

  token(index: number): string {
    const mixed = Math.imul(this.#seed ^ (index + 1), 0x9e3779b1) >>> 0;
    return `${WORDS[mixed % WORDS.length]}-${index} `;
  }
}

/**
 * The answer that a caller must receive for a prompt, whichever engines served
 * it.
 */
export function expectedAnswer(
  model: string,
  messages: readonly Readonly<Record<string, unknown>>[],
  maxTokens = 4096,
): ExpectedAnswer {
  const answer = new Answer(model, promptText(messages), maxTokens);
  const tokens = Array.from(
    { length: answer.length },
    (_, index) => answer.token(index),
  );
  return { tokens, reason: answer.reason };
}
