import { expect } from "chai";
import fastCheck from "fast-check";
import { EventIdReader, EventSplitter } from "./mod.ts";

describe("EventIdReader", () => {
  // A repeated event would go unnoticed, or a sound stream would be cut.
  it("reads the ids that the splitter reads, however bytes are split", () => {
    const lines = fastCheck.constantFrom(
      "id: 1",
      "id:2",
      "id:  3",
      "id",
      "id:",
      "id: ",
      "ids: 4",
      "i",
      "data: id: 5",
      ": id: 6",
      "",
      "",
    );
    fastCheck.assert(fastCheck.property(
      fastCheck.constantFrom("\n", "\r\n", "\r"),
      fastCheck.array(lines, { maxLength: 30 }),
      fastCheck.array(fastCheck.nat(400), { maxLength: 12 }),
      (lineEnd, texts, cuts) => {
        const bytes = Buffer.from(
          [...texts, "data", "", ""].join(lineEnd),
        );
        const expected = new EventSplitter().push(bytes)?.eventIds ?? [];
        const offsets = [...new Set(cuts.map((cut) => cut % bytes.length))]
          .sort((left, right) => left - right);
        const reader = new EventIdReader();
        const found: string[] = [];
        let from = 0;
        for (const to of [...offsets, bytes.length]) {
          found.push(...reader.push(bytes.subarray(from, to)));
          from = to;
        }
        expect(found).to.deep.equal(expected);
      },
    ));
  });

  it("reads no id of more than 256 bytes", () => {
    const reader = new EventIdReader();
    const longest = "7".repeat(255);
    const text = `id: ${longest}\n\nid: ${longest}8\n\nid: 9\n\n`;
    expect(reader.push(Buffer.from(text))).to.deep.equal([longest, "9"]);
  });
});
