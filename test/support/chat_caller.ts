import { createParser } from "eventsource-parser";
import {
  type ExpectedAnswer,
  expectedAnswer,
} from "../stand_ins/engine_answers.ts";

/** The streamed response that a caller received. */
export interface StreamedAnswer {
  readonly status: number;
  readonly tokens: readonly string[];
  /** Whether the stream had its explicit end marker. */
  readonly ended: boolean;
  /** Problem received in place of the answer or of its end. */
  readonly problem?: { readonly outcome: string; readonly title: string };
}

const MODEL = "triage-llm";
const MAX_TOKENS = 4_000;

/** Builds a prompt whose answer has the given number of tokens. */
export function promptFor(name: string, tokens: number): string {
  return `${name} answer-tokens=${tokens}`;
}

/** The complete expected answer to a prompt. */
export function completeAnswer(prompt: string): ExpectedAnswer {
  return expectedAnswer(
    MODEL,
    [{ role: "user", content: prompt }],
    MAX_TOKENS,
  );
}

export interface StreamOptions {
  readonly prompt: string;
  /** Called after each token with the number of tokens so far. */
  readonly onToken?: (count: number) => void;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Requests a stream from an entry and reads it to its end. */
export async function streamChat(
  entryUrl: string,
  options: StreamOptions,
): Promise<StreamedAnswer> {
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: "POST",
    headers: options.headers,
    body: chatBody(options.prompt),
    signal: AbortSignal.timeout(15_000),
  });
  if (response.status !== 200) {
    const problem = await response.json() as StreamedAnswer["problem"];
    return { status: response.status, tokens: [], ended: false, problem };
  }
  return await readEvents(response, options);
}

export function chatBody(prompt: string): string {
  return JSON.stringify({
    model: MODEL,
    messages: [{ role: "user", content: prompt }],
    max_tokens: MAX_TOKENS,
    stream: true,
  });
}

async function readEvents(
  response: Response,
  options: StreamOptions,
): Promise<StreamedAnswer> {
  const tokens: string[] = [];
  let ended = false;
  let problem: StreamedAnswer["problem"];
  const parser = createParser({
    onEvent({ event, data }) {
      if (event === "error") problem = JSON.parse(data);
      else if (data === "[DONE]") ended = true;
      else {
        const text = JSON.parse(data).choices[0].delta.content;
        if (typeof text !== "string") return;
        tokens.push(text);
        options.onToken?.(tokens.length);
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return { status: response.status, tokens, ended, problem };
}
