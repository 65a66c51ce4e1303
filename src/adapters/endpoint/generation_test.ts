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
  /** Reads pieces as they come from a socket, then an end or a cut. */
  async function read(
    pieces: readonly Uint8Array[],
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
    for (const piece of pieces) incoming.write(piece);
    incoming.end();
    return { tokens, end: await reader.finished };
  }

  // A token's bytes come in two packets, also in the middle of a letter. Read
  // one by one they would come out as question marks.
  it("gives the same tokens wherever the packets are cut", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.nat(STREAM.length), { maxLength: 12 }),
        async (offsets) => {
          const sorted = [...offsets, STREAM.length].sort((a, b) => a - b);
          const pieces = sorted.map((cut, index) =>
            STREAM.subarray(sorted[index - 1] ?? 0, cut)
          );
          const { tokens, end } = await read(pieces);
          expect(end._unsafeUnwrap()).to.equal("stop");
          expect(tokens).to.deep.equal(TEXTS);
        },
      ),
    );
  });

  // An engine is killed at any byte of its answer. Whatever it was, it is no
  // whole answer, and the tokens before it count.
  it("takes no part of a stream for a whole answer", async () => {
    const endMarkOffset = STREAM.indexOf("[DONE]") + "[DONE]\n".length;
    for (let length = 0; length < endMarkOffset; length++) {
      const { tokens, end } = await read([STREAM.subarray(0, length)]);
      expect(end._unsafeUnwrapErr().name).to.equal("endpoint_closed");
      expect(TEXTS.slice(0, tokens.length)).to.deep.equal(tokens);
    }
  });

  it("gives a typed failure for any other bytes", async () => {
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
