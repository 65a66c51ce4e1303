/** The stand-in engine's answers: the same prompt gives the same answer. */

/** A whole answer as the engine would give it. */
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

/** FNV-1a over UTF-16 units; spreads prompts, nothing more is asked of it. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value ^= text.charCodeAt(index);
    value = Math.imul(value, 0x01000193);
  }
  return value >>> 0;
}

/**
 * The text of a prompt. `answer-tokens=N` in it sets the answer's length, so
 * that a test decides how long a stream runs.
 */
export function promptText(
  messages: readonly Readonly<Record<string, unknown>>[],
): string {
  return messages.map((message) => String(message.content ?? "")).join("\n");
}

/** Four characters to a token, as a rule of thumb. */
export function promptTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / 4));
}

/** One answer, token by token, without keeping it. */
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

/** What a caller has to get for a prompt, however it was served. */
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
