import { expect } from "chai";
import { EventIds } from "./event_ids.ts";

describe("EventIds", () => {
  function read(...chunks: readonly string[]) {
    const ids = new EventIds();
    for (const chunk of chunks) ids.push(Buffer.from(chunk));
    return { first: ids.first, last: ids.last };
  }

  it("has none in a stream without ids", () => {
    expect(read("data: id: 7\n\n", ": id\n\n"))
      .to.deep.equal({ first: undefined, last: undefined });
  });

  it("has those of the first and the last event", () => {
    for (const lineEnd of ["\n", "\r\n", "\r"]) {
      const events = [3, 4, 9].map((id) =>
        [`id: ${id}`, "data: x", "", ""].join(lineEnd)
      );
      const expected = { first: "3", last: "9" };
      expect(read(...events)).to.deep.equal(expected);
      expect(read(events.join(""))).to.deep.equal(expected);
    }
  });

  it("has an id that came in two parts", () => {
    expect(read("id: 1\n\n", "id: 2", "7\ndata: x\n\n"))
      .to.deep.equal({ first: "1", last: "27" });
  });

  it("shortens ids", () => {
    const { first, last } = read(`id: ${"7".repeat(100)}\n\n`);
    expect([first, last].map((id) => id?.length)).to.deep.equal([64, 64]);
  });
});
