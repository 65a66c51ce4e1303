import { expect } from "chai";
import { type EndpointId, identifier } from "../../core/identity/mod.ts";
import { decodePrompt, encodePrompt } from "./prompt_encoding.ts";

describe("a prompt that is told to peers", () => {
  const prompt = {
    engine: identifier<EndpointId>("engine-1"),
    memoryTokens: 200_000,
    parts: [{ id: "catalogue", tokens: 2_500 }, { id: "own", tokens: 900 }],
  };

  it("comes back as it was", () => {
    expect(decodePrompt(JSON.parse(JSON.stringify(encodePrompt(prompt)))))
      .to.deep.equal(prompt);
  });

  it("has no part where the prompt has none", () => {
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
    ]
  ) {
    it(`is passed over where it is ${JSON.stringify(value)}`, () => {
      expect(decodePrompt(value)).to.equal(undefined);
    });
  }
});
