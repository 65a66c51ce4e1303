import { expect } from "chai";
import { ODD_TEXTS } from "../../../test/support/odd_values.ts";
import { jsonTextOf } from "./mod.ts";

describe("jsonTextOf", () => {
  it("encodes a value as JSON", () => {
    for (const value of [1, "a", null, [1, { a: [{}] }], { a: { b: [] } }]) {
      expect(jsonTextOf(value)).to.equal(JSON.stringify(value));
    }
    expect(jsonTextOf(undefined)).to.equal("undefined");
  });

  // Node's encoder throws where a value is nested some thousand deep.
  for (const [name, text] of Object.entries(ODD_TEXTS)) {
    it(`encodes ${name}`, () => {
      expect(jsonTextOf({ field: JSON.parse(text) })).to.match(/^\{"field":/);
    });
  }
});
