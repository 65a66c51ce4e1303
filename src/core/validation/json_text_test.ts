import { expect } from "chai";
import { ODD_TEXTS } from "../../../test/support/odd_values.ts";
import { isNestedDeeper, jsonTextOf } from "./mod.ts";

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

describe("isNestedDeeper", () => {
  it("counts the levels of lists and objects", () => {
    expect(isNestedDeeper("text", 0)).to.equal(false);
    expect(isNestedDeeper([], 0)).to.equal(true);
    expect(isNestedDeeper([1, { a: 2 }], 2)).to.equal(false);
    expect(isNestedDeeper([1, { a: [2] }], 2)).to.equal(true);
  });
});
