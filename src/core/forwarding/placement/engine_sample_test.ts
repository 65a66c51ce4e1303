import { expect } from "chai";
import {
  makeEngine,
  makePrompt,
} from "../../../../test/support/forwarding_fixtures.ts";
import { type AvailabilityZoneId, identifier } from "../../identity/mod.ts";
import { seededRandom } from "../../random/mod.ts";
import { sampleDecodeEngines, samplePrefillEngines } from "./engine_sample.ts";

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

describe("samplePrefillEngines", () => {
  const prefillEngines = engines(24, "prefill");

  function sample(subject: string, random = seededRandom(1)) {
    return samplePrefillEngines(makePrompt(subject), {
      engines: prefillEngines,
      availabilityZone: ZONE,
      random,
    }).map(({ id }) => id);
  }

  // Entries sample different engines for a part that none of them has cached
  // yet. Without affinity the part would be computed on an engine for each
  // entry.
  it("includes the same two engines for a shared part on every entry", () => {
    const [one, other] = [
      sample("bylaw", seededRandom(1)),
      sample("bylaw", seededRandom(2)),
    ];
    expect(one.slice(0, 2)).to.deep.equal(other.slice(0, 2));
    expect(sample("verdict").slice(0, 2)).to.not.deep.equal(one.slice(0, 2));
  });

  it("samples few of many engines, each once", () => {
    const seen = sample("bylaw");
    expect(new Set(seen).size).to.equal(seen.length);
    expect(seen.length).to.equal(5);
  });

  it("samples any of the engines eventually", () => {
    const seen = new Set<string>();
    const random = seededRandom(1);
    for (let round = 0; round < 200; round++) {
      for (const id of sample("bylaw", random)) seen.add(id);
    }
    expect(seen.size).to.equal(prefillEngines.length);
  });

  it("samples all engines where there are few", () => {
    const two = prefillEngines.slice(0, 2);
    const seen = samplePrefillEngines(makePrompt("bylaw"), {
      engines: two,
      availabilityZone: ZONE,
      random: seededRandom(1),
    });
    expect(seen).to.have.members(two);
  });
});

describe("sampleDecodeEngines", () => {
  it("prefers the zone of the cache", () => {
    const seen = sampleDecodeEngines(engines(10, "decode"), {
      availabilityZone: ZONE,
      random: seededRandom(1),
    });
    const sameZone = seen.filter(({ availabilityZone }) =>
      availabilityZone === ZONE
    );
    expect(sameZone).to.have.length(2);
    expect(new Set(seen).size).to.equal(6);
  });
});
