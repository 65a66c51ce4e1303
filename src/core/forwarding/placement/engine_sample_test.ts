import { expect } from "chai";
import {
  makeEngine,
  makePrompt,
} from "../../../../test/support/forwarding_values.ts";
import { type AvailabilityZoneId, identifier } from "../../identity/mod.ts";
import { seededRandom } from "../../random/mod.ts";
import { sampleDecoders, sampleReaders } from "./engine_sample.ts";

const ZONE = identifier<AvailabilityZoneId>("zone-1");

function engines(count: number, role: "prefill" | "decode") {
  return Array.from(
    { length: count },
    (_, index) =>
      makeEngine(`engine-${index}`, role, {
        availabilityZone: identifier<AvailabilityZoneId>(`zone-${index % 5}`),
      }),
  );
}

describe("sampleReaders", () => {
  const readers = engines(24, "prefill");

  function sample(subject: string, random = seededRandom(1)) {
    return sampleReaders(makePrompt(subject), {
      readers,
      availabilityZone: ZONE,
      random,
    }).map(({ id }) => id);
  }

  // Every entry looks at its own engines for a part that none of them knows to
  // be kept. Without a home the part is read at as many engines as entries ask.
  it("looks at the same two for a shared part, whoever asks", () => {
    const [one, other] = [
      sample("bylaw", seededRandom(1)),
      sample("bylaw", seededRandom(2)),
    ];
    expect(one.slice(0, 2)).to.deep.equal(other.slice(0, 2));
    expect(sample("verdict").slice(0, 2)).to.not.deep.equal(one.slice(0, 2));
  });

  it("looks at each once, and at few of many", () => {
    const seen = sample("bylaw");
    expect(new Set(seen).size).to.equal(seen.length);
    expect(seen.length).to.equal(5);
  });

  it("looks at any of them in the end", () => {
    const seen = new Set<string>();
    const random = seededRandom(1);
    for (let round = 0; round < 200; round++) {
      for (const id of sample("bylaw", random)) seen.add(id);
    }
    expect(seen.size).to.equal(readers.length);
  });

  it("takes what there is", () => {
    const two = readers.slice(0, 2);
    const seen = sampleReaders(makePrompt("bylaw"), {
      readers: two,
      availabilityZone: ZONE,
      random: seededRandom(1),
    });
    expect(seen).to.have.members(two);
  });
});

describe("sampleDecoders", () => {
  it("looks first where the cache is", () => {
    const seen = sampleDecoders(engines(10, "decode"), {
      availabilityZone: ZONE,
      random: seededRandom(1),
    });
    const near = seen.filter(({ availabilityZone }) =>
      availabilityZone === ZONE
    );
    expect(near).to.have.length(2);
    expect(new Set(seen).size).to.equal(6);
  });
});
