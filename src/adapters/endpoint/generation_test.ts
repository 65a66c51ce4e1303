import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { expect } from "chai";
import * as fc from "fast-check";
import { type GenerationEnd, GenerationReader } from "./generation.ts";

const TOKENS = ["Köt ", "🚛 ", "by the ", "river", "\n\n", '"']
  .map((text) => ({ choices: [{ delta: { content: text } }] }));
const FINAL_CHUNK = { choices: [{ delta: {}, finish_reason: "stop" }] };
const STREAM = Buffer.from(
  [...TOKENS, FINAL_CHUNK].map((chunk) => `data: ${JSON.stringify(chunk)}\n\n`)
    .join("") + "data: [DONE]\n\n",
);
const TEXTS = TOKENS.map(({ choices }) => choices[0].delta.content);

describe("GenerationReader", () => {
  /** Feeds the chunks to a reader as if from a socket, then ends the stream. */
  async function read(
    chunks: readonly Uint8Array[],
  ): Promise<{ tokens: string[]; end: GenerationEnd }> {
    const incoming = new PassThrough();
    const tokens: string[] = [];
    const reader = new GenerationReader(
      incoming as unknown as IncomingMessage,
      {
        url: "http://engine",
        maxBytes: 10_000,
        onToken: (text) => tokens.push(text),
      },
    );
    for (const chunk of chunks) incoming.write(chunk);
    incoming.end();
    return { tokens, end: await reader.finished };
  }

  // A packet boundary may fall within a multi-byte character. Packets that are
  // decoded separately would produce replacement characters.
  it("returns the same tokens for any packet boundaries", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.nat(STREAM.length), { maxLength: 12 }),
        async (offsets) => {
          const sorted = [...offsets, STREAM.length].sort((a, b) => a - b);
          const chunks = sorted.map((cut, index) =>
            STREAM.subarray(sorted[index - 1] ?? 0, cut)
          );
          const { tokens, end } = await read(chunks);
          expect(end._unsafeUnwrap()).to.equal("stop");
          expect(tokens).to.deep.equal(TEXTS);
        },
      ),
    );
  });

  // Converted to a text, a deeply nested message throws outside the request.
  it("ends a stream behind an error whose message is no text", async () => {
    const nested = "[".repeat(4_900) + "]".repeat(4_900);
    for (const message of [nested, "null", "5", '{"a":1}']) {
      const event = `data: {"error":{"message":${message}}}\n\n`;
      const { end } = await read([Buffer.from(event)]);
      expect(end._unsafeUnwrapErr().name).to.equal("endpoint_error");
    }
  });

  // An engine may be killed at any byte of its response. The response must not
  // count as complete, and the tokens before that byte are valid.
  it("treats no prefix of a stream as complete", async () => {
    const endMarkOffset = STREAM.indexOf("[DONE]") + "[DONE]\n".length;
    for (let length = 0; length < endMarkOffset; length++) {
      const { tokens, end } = await read([STREAM.subarray(0, length)]);
      expect(end._unsafeUnwrapErr().name).to.equal("endpoint_closed");
      expect(TEXTS.slice(0, tokens.length)).to.deep.equal(tokens);
    }
  });

  it("returns a typed failure for arbitrary bytes", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.oneof(
          fc.uint8Array(),
          fc.json().map((text) => Buffer.from(`data: ${text}\n\n`)),
          fc.string().map((text) => Buffer.from(`data: ${text}\n\n`)),
        ),
        async (bytes) => {
          const { end } = await read([bytes]);
          expect(end.isErr()).to.equal(true);
        },
      ),
    );
  });
});
