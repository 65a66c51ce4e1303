import { expect } from "chai";
import { type EndpointId, identifier } from "../../../core/identity/mod.ts";
import {
  decodePrompt,
  encodePrompt,
  isEncodedPrompt,
} from "./prompt_encoding.ts";

describe("encoding of a prompt for peers", () => {
  const prompt = {
    engine: identifier<EndpointId>("engine-1"),
    memoryTokens: 200_000,
    parts: [{ id: "catalogue", tokens: 2_500 }, { id: "own", tokens: 900 }],
  };

  it("round-trips", () => {
    const received = JSON.parse(JSON.stringify(encodePrompt(prompt)));
    expect(isEncodedPrompt(received)).to.equal(true);
    expect(decodePrompt(received)).to.deep.equal(prompt);
  });

  it("round-trips a prompt without parts", () => {
    const bare = { ...prompt, parts: [] };
    expect(decodePrompt(encodePrompt(bare))).to.deep.equal(bare);
  });

  for (
    const value of [
      undefined,
      {},
      [],
      ["engine-1"],
      ["engine-1", "many"],
      ["engine-1", 9, "part"],
      ["engine-1", 9, 7, "part"],
      ["engine-1", -9, 7, "part", 3],
      ["engine-1", 9, 7, "part", -3],
    ]
  ) {
    it(`rejects ${JSON.stringify(value)}`, () => {
      expect(isEncodedPrompt(value)).to.equal(false);
    });
  }
});
