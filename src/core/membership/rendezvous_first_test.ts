import { expect } from "chai";
import { hashToUnit, hashWithPrefix } from "./hash.ts";
import { rendezvousFirst, rendezvousOrder } from "./mod.ts";

describe("rendezvousFirst", () => {
  const members = Array.from({ length: 200 }, (_, index) => ({
    id: `engine-${index}`,
    weight: 1 + index % 3,
  }));

  it("returns the first members of the full order", () => {
    for (const picker of ["a", "part-17", ""]) {
      for (const count of [1, 2, 5]) {
        expect(rendezvousFirst(members, { picker, count }))
          .to.deep.equal(rendezvousOrder(members, picker).slice(0, count));
      }
    }
  });

  it("returns all members when there are fewer", () => {
    const few = members.slice(0, 2);
    expect(rendezvousFirst(few, { picker: "a", count: 5 }))
      .to.have.deep.members(few);
  });
});

describe("hashWithPrefix", () => {
  it("hashes the prefix and the text as one string", () => {
    for (const text of ["", "engine-1", "part\u00e9"]) {
      expect(hashWithPrefix("picker\u0000")(text))
        .to.equal(hashToUnit(`picker\u0000${text}`));
    }
  });
});
