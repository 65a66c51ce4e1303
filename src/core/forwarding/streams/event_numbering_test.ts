import { expect } from "chai";
import {
  identifier,
  type ServiceName,
  type SoftwareVersion,
} from "../../identity/mod.ts";
import { EventNumbering } from "./event_numbering.ts";

const VERSION = {
  pool: identifier<ServiceName>("engines"),
  softwareVersion: identifier<SoftwareVersion>("v1"),
};

function recordAll(
  numbering: EventNumbering,
  { numbered = 0, other = 0 },
): void {
  for (let stream = 0; stream < numbered; stream++) {
    numbering.record(VERSION, { isNumbered: true });
  }
  for (let stream = 0; stream < other; stream++) {
    numbering.record(VERSION, { isNumbered: false });
  }
}

describe("EventNumbering", () => {
  it("knows a version after 32 numbered streams, and no other one", () => {
    const numbering = new EventNumbering();
    recordAll(numbering, { numbered: 31 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
    recordAll(numbering, { numbered: 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(true);
    const softwareVersion = identifier<SoftwareVersion>("v2");
    expect(numbering.isNumbered({ ...VERSION, softwareVersion }))
      .to.equal(false);
  });

  // A faulty endpoint must not end the check for all others.
  it("allows one other stream in 32", () => {
    const numbering = new EventNumbering();
    recordAll(numbering, { numbered: 62, other: 2 });
    expect(numbering.isNumbered(VERSION)).to.equal(true);
    recordAll(numbering, { other: 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });

  // Sound streams would be broken off for as long as the process lives.
  it("is soon corrected where a version begins to count otherwise", () => {
    const numbering = new EventNumbering();
    recordAll(numbering, { numbered: 100_000 });
    recordAll(numbering, { other: 40 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });
});
