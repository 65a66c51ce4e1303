import { expect } from "chai";
import { EventStreamPosition } from "./mod.ts";

/** Offsets at which the stream is between events, byte by byte. */
function offsetsBetweenEvents(text: string): number[] {
  const position = new EventStreamPosition();
  const offsets: number[] = [];
  const bytes = Buffer.from(text);
  for (let offset = 1; offset <= bytes.length; offset++) {
    position.push(bytes.subarray(offset - 1, offset));
    if (position.isBetweenEvents) offsets.push(offset);
  }
  return offsets;
}

function positionAfter(text: string): EventStreamPosition {
  const position = new EventStreamPosition();
  position.push(Buffer.from(text));
  return position;
}

describe("EventStreamPosition", () => {
  for (
    const [name, lineEnd] of [["LF", "\n"], ["CRLF", "\r\n"], ["CR", "\r"]]
  ) {
    it(`is between events after the last byte of a blank line, with ${name}`, () => {
      const event = (id: number) =>
        [`id: ${id}`, "data: x", "", ""].join(lineEnd);
      const first = event(1);
      const text = first + event(27);
      expect(offsetsBetweenEvents(text))
        .to.deep.equal([first.length, text.length]);
    });
  }

  it("is inside an event after comments and first lines that go on", () => {
    expect(offsetsBetweenEvents("x-version: 3\n: ping\ndata: x\n\n: ping\n\n"))
      .to.deep.equal([29, 37]);
  });

  it("does not depend on how the bytes are split", () => {
    const text = ": a\r\n\r\nid: 1\r\ndata: x\r\n\r\n";
    for (let offset = 0; offset <= text.length; offset++) {
      const position = positionAfter(text.slice(0, offset));
      position.push(Buffer.from(text.slice(offset)));
      expect(position.isBetweenEvents).to.equal(true);
      expect(position.hasFields).to.equal(true);
    }
  });

  it("finds fields behind comments, blank lines and a byte order mark", () => {
    expect(positionAfter("").hasFields).to.equal(false);
    expect(positionAfter("\uFEFF").hasFields).to.equal(false);
    expect(positionAfter("\uFEFF: ping\n\n\n: p").hasFields).to.equal(false);
    expect(positionAfter("\uFEFFdata: x\n\n").hasFields).to.equal(true);
    expect(positionAfter("\n: ping\n\ndata").hasFields).to.equal(true);
  });

  // A stream that ended behind its retry time counted as one with events.
  it("finds no event in fields that belong to the stream", () => {
    for (
      const field of [
        "retry: 1000",
        "event: x",
        "x-id: 1",
        "idle: 1",
        "database: 1",
        ":id: 1",
        "x:id: 1",
      ]
    ) {
      const text = `${field}\n\n`;
      expect(positionAfter(text).hasFields, text).to.equal(false);
      expect(positionAfter(`${text}id: 1\n`).hasFields, text).to.equal(true);
    }
  });

  it("counts a byte order mark alone as no event", () => {
    expect(positionAfter("\uFEFF").isBetweenEvents).to.equal(true);
    expect(positionAfter("\uFEFFd").isBetweenEvents).to.equal(false);
  });
});
