import { expect } from "chai";
import {
  identifier,
  type ProcessId,
  type StreamDigest,
} from "../../identity/mod.ts";
import { StreamKeepers } from "./stream_keepers.ts";

const STREAMS = 2_000;

function names(count: number): ProcessId[] {
  return Array.from(
    { length: count },
    (_, index) => identifier<ProcessId>(`entry-${index}`),
  );
}

function keepersOf(peers: readonly ProcessId[]): ProcessId[][] {
  const keepers = new StreamKeepers();
  keepers.setPeers(peers);
  return Array.from(
    { length: STREAMS },
    (_, index) =>
      keepers.keepersOf(identifier<StreamDigest>(`s${index}`), { count: 4 }),
  );
}

describe("StreamKeepers", () => {
  it("chooses all entries of a small fleet", () => {
    const peers = names(3);
    for (const chosen of keepersOf(peers)) {
      expect(chosen).to.have.members(peers);
    }
    expect(keepersOf([])[0]).to.deep.equal([]);
  });

  it("chooses different entries, and each about as often", () => {
    const counts = new Map<ProcessId, number>();
    for (const chosen of keepersOf(names(300))) {
      expect(new Set(chosen).size).to.equal(4);
      for (const each of chosen) counts.set(each, (counts.get(each) ?? 0) + 1);
    }
    const mean = 4 * STREAMS / 300;
    expect(Math.max(...counts.values())).to.be.below(4 * mean);
  });

  it("skips entries that can't be used", () => {
    const keepers = new StreamKeepers();
    keepers.setPeers(names(5));
    const chosen = keepers.keepersOf(identifier<StreamDigest>("s"), {
      count: 4,
      isUsable: (entry) => entry !== "entry-2",
    });
    expect(chosen).to.have.length(4).and.not.include("entry-2");
  });

  // Entries whose lists of the fleet differ must still ask most of the keepers.
  it("changes few keepers when an entry joins", () => {
    const before = keepersOf(names(40));
    const after = keepersOf(names(41));
    const kept = before.flatMap((chosen, index) =>
      chosen.filter((each) => after[index].includes(each))
    );
    expect(kept.length / (4 * STREAMS)).to.be.above(0.9);
  });
});
