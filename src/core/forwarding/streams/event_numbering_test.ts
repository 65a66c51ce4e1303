import { expect } from "chai";
import {
  type EndpointId,
  identifier,
  type ServiceName,
  type SoftwareVersion,
} from "../../identity/mod.ts";
import { seededRandom } from "../../random/mod.ts";
import { EventNumbering, PROOF_STREAMS } from "./event_numbering.ts";

/** Entries, and streams of the version at each. */
const ENTRIES = 4;
const STREAMS = 250_000;

const VERSION = {
  pool: identifier<ServiceName>("engines"),
  softwareVersion: identifier<SoftwareVersion>("v1"),
};

function recordAll(
  numbering: EventNumbering,
  { numbered = 0, other = 0, name = "a" },
): void {
  const endpoint = { ...VERSION, address: `${name}:1` };
  for (let stream = 0; stream < numbered; stream++) {
    numbering.record(endpoint, { isNumbered: true });
  }
  for (let stream = 0; stream < other; stream++) {
    numbering.record(endpoint, { isNumbered: false });
  }
}

/** Knows that the version numbers its events. */
function provenNumbering(): EventNumbering {
  const numbering = new EventNumbering();
  recordAll(numbering, { numbered: PROOF_STREAMS, name: "proof" });
  return numbering;
}

describe("A version of which the streams show how it counts", () => {
  // The pages promise increasing ids only: a sound stream would be broken off.
  it("is not known to number its events at first", () => {
    const numbering = new EventNumbering();
    expect(numbering.isNumbered(VERSION)).to.equal(false);
    recordAll(numbering, { numbered: PROOF_STREAMS - 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
    recordAll(numbering, { numbered: 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(true);
    const softwareVersion = identifier<SoftwareVersion>("v2");
    expect(numbering.isNumbered({ ...VERSION, softwareVersion }))
      .to.equal(false);
  });

  it("is known by successive streams without a gap only", () => {
    const numbering = new EventNumbering();
    recordAll(numbering, { numbered: PROOF_STREAMS - 1 });
    recordAll(numbering, { other: 1 });
    recordAll(numbering, { numbered: PROOF_STREAMS - 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });

  // Events of several tokens may be rare, and each such stream was broken off.
  for (const endpoints of [1, 6]) {
    for (const per of [60, 4_000, 8_000, 16_000]) {
      it(`has at most one sound stream in 10,000 broken off if one in ${per} has a gap: ${endpoints} endpoints`, () => {
        const random = seededRandom(per);
        const draw = (below: number) => Math.floor(random() * below);
        let brokenOff = 0;
        for (let entry = 0; entry < ENTRIES; entry++) {
          const numbering = new EventNumbering();
          for (let stream = 0; stream < STREAMS; stream++) {
            const isNumbered = draw(per) > 0;
            if (!isNumbered && numbering.isNumbered(VERSION)) brokenOff += 1;
            const address = `${draw(endpoints)}:1`;
            numbering.record({ ...VERSION, address }, { isNumbered });
          }
        }
        expect(brokenOff).to.be.at.most(ENTRIES * STREAMS / 10_000);
      });
    }
  }
});

describe("EventNumbering", () => {
  // A faulty endpoint may have written most of fewer streams.
  it("takes a version for a numbering one until 32 streams are known", () => {
    const numbering = provenNumbering();
    expect(numbering.isNumbered(VERSION)).to.equal(true);
    recordAll(numbering, { other: 31 });
    expect(numbering.isNumbered(VERSION)).to.equal(true);
    recordAll(numbering, { other: 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });

  // Faulty endpoints must not end the check for all others and themselves.
  for (const [faulty, endpoints] of [[1, 2], [1, 3], [1, 6], [3, 6]]) {
    for (const streams of [1, 7, 100]) {
      it(`takes a version for a numbering one of which ${faulty} in ${endpoints} endpoints are faulty: ${streams} streams of each of these`, () => {
        const numbering = provenNumbering();
        for (let sound = faulty; sound < endpoints; sound++) {
          recordAll(numbering, { numbered: 100, name: `sound-${sound}` });
        }
        for (let index = 0; index < faulty; index++) {
          recordAll(numbering, { other: streams, name: `faulty-${index}` });
        }
        expect(numbering.isNumbered(VERSION)).to.equal(true);
      });
    }
  }

  for (const endpoints of [2, 3, 6]) {
    it(`takes a version for a numbering one of which one endpoint in ${endpoints} leaves out ids in every second stream`, () => {
      const numbering = provenNumbering();
      for (let sound = 1; sound < endpoints; sound++) {
        recordAll(numbering, { numbered: 100, name: `sound-${sound}` });
      }
      recordAll(numbering, { numbered: 50, other: 50, name: "faulty" });
      expect(numbering.isNumbered(VERSION)).to.equal(true);
    });
  }

  // Each restart of a faulty endpoint would count as one more that is faulty.
  it("takes a version for a numbering one of which a faulty endpoint restarts under other ids", () => {
    const numbering = provenNumbering();
    recordAll(numbering, { numbered: 100, name: "sound" });
    for (let restart = 0; restart < 8; restart++) {
      const endpoint = {
        ...VERSION,
        id: identifier<EndpointId>(`faulty-${restart}`),
        address: "faulty:1",
      };
      for (let stream = 0; stream < 10; stream++) {
        numbering.record(endpoint, { isNumbered: false });
      }
    }
    expect(numbering.isNumbered(VERSION)).to.equal(true);
  });

  // Sound streams would be broken off at endpoints that were left out as faulty.
  for (const endpoints of [1, 2, 3, 6, 64]) {
    for (const streams of [4, 10, 100]) {
      const total = endpoints * streams;
      it(`knows a version that leaves out ids in one stream in five from 32 streams on: ${endpoints} endpoints, ${streams} streams each`, () => {
        const numbering = provenNumbering();
        for (let stream = 0; stream < total; stream++) {
          const isOther = stream % 5 === 4;
          recordAll(numbering, {
            [isOther ? "other" : "numbered"]: 1,
            name: `endpoint-${Math.floor(stream / streams)}`,
          });
        }
        expect(numbering.isNumbered(VERSION)).to.equal(total < 32);
      });
    }
  }

  it("allows one other stream in 32", () => {
    const numbering = provenNumbering();
    recordAll(numbering, { numbered: 62, other: 2 });
    expect(numbering.isNumbered(VERSION)).to.equal(true);
    recordAll(numbering, { other: 1 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });

  // Sound streams would be broken off for as long as the process lives.
  it("is soon corrected where a version begins to count otherwise", () => {
    const numbering = provenNumbering();
    recordAll(numbering, { numbered: 100_000 });
    recordAll(numbering, { other: 40 });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });

  it("is soon corrected where all endpoints of a version begin to", () => {
    const numbering = provenNumbering();
    const names = ["a", "b", "c", "d", "e", "f"];
    for (const name of names) recordAll(numbering, { numbered: 1_000, name });
    for (const name of names) recordAll(numbering, { other: 7, name });
    expect(numbering.isNumbered(VERSION)).to.equal(false);
  });
});
