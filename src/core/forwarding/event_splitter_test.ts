import { expect } from "chai";
import fastCheck from "fast-check";
import process from "node:process";
import { EventSplitter } from "./mod.ts";

function eventText(id: number, lineEnd: string): string {
  return `id: ${id}${lineEnd}data: piece ${id}${lineEnd}${lineEnd}`;
}

describe("EventSplitter", () => {
  // An engine crashes in the middle of an event and another one continues. If a
  // partial event had been passed on, the caller would read a garbled event.
  it("passes on complete events only, however the bytes are split", () => {
    fastCheck.assert(fastCheck.property(
      fastCheck.integer({ min: 1, max: 6 }),
      fastCheck.constantFrom("\n", "\r\n"),
      fastCheck.array(fastCheck.nat(200), { maxLength: 12 }),
      (count, lineEnd, cuts) => {
        const events = Array.from(
          { length: count },
          (_, index) => eventText(index + 1, lineEnd),
        );
        const bytes = Buffer.from(events.join("") + "id: 99\ndata: ha");
        const cutOffsets = [...new Set(cuts.map((cut) => cut % bytes.length))]
          .sort((left, right) => left - right);
        const splitter = new EventSplitter();
        let passed = "";
        let lastId: string | undefined;
        let from = 0;
        for (const to of [...cutOffsets, bytes.length]) {
          const complete = splitter.push(bytes.subarray(from, to));
          from = to;
          passed += complete?.bytes.toString() ?? "";
          lastId = complete?.eventIds.at(-1) ?? lastId;
          const isComplete = events.some((_, index) =>
            passed === events.slice(0, index + 1).join("")
          );
          expect(passed === "" || isComplete).to.equal(true);
        }
        expect(passed).to.equal(events.join(""));
        expect(lastId).to.equal(String(count));
        expect(splitter.pending.toString()).to.equal("id: 99\ndata: ha");
      },
    ));
  });

  it("bounds the memory used by an event that never ends", () => {
    const splitter = new EventSplitter();
    const passed = splitter.push(Buffer.alloc(2 * 1024 * 1024, "x"));
    expect(passed?.bytes.length).to.equal(2 * 1024 * 1024);
  });

  // A run that goes on behind a part of an event would garble it, and one that
  // goes on behind its predecessor would repeat it.
  it("stays inside a large event until it ends, and knows its id then", () => {
    for (const lineEnd of ["\n", "\r\n", "\r"]) {
      const data = `data: ${"x".repeat(700_000)}`;
      const event = ["id: 7", data, data, "id: 8", "", ""].join(lineEnd);
      const bytes = Buffer.from(event);
      const splitter = new EventSplitter();
      let passed = "";
      let eventIds: string[] = [];
      for (let from = 0; from < bytes.length; from += 100_000) {
        const part = splitter.push(bytes.subarray(from, from + 100_000));
        passed += part?.bytes.toString() ?? "";
        eventIds = [...eventIds, ...part?.eventIds ?? []];
        const isPartial = passed !== "" && passed.length < event.length;
        expect(splitter.isInsideEvent).to.equal(isPartial);
      }
      expect(passed === event).to.equal(true);
      expect(eventIds).to.deep.equal(["8"]);
    }
  });

  it("takes the last id of an event, behind other lines and a mark", () => {
    const text = "\uFEFFid: 1\n\n: id: 2\nx-version: 3\nid:4\nid: 5\r\n\r\n" +
      "data: id: 9\n\nid\n\n";
    expect(new EventSplitter().push(Buffer.from(text))?.eventIds)
      .to.deep.equal(["1", "5", ""]);
  });

  // Searched again with each chunk, a large event blocks the entry for seconds.
  it("searches the bytes of a large event once", () => {
    const chunk = Buffer.alloc(100, "x");
    const splitter = new EventSplitter();
    const before = process.cpuUsage();
    for (let count = 0; count < 10_000; count++) splitter.push(chunk);
    const { system, user } = process.cpuUsage(before);
    expect((system + user) / 1e6).to.be.below(5);
  }).timeout(40_000);
});
