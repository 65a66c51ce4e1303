import { expect } from "chai";
import { ENTRIES, REGION, Region } from "./region.ts";
import { identifier } from "../../src/core/identity/mod.ts";

/** Versions that the entry has put in force since it was started again. */
async function restartEntry(garbage: readonly unknown[]): Promise<number[]> {
  const region = new Region({ seed: 3, inspect: () => ({}) });
  region.start();
  region.timer.after(200, () => void region.publish("operator", {}));
  region.timer.after(
    3_000,
    () => void region.publish("operator", { weights: "v2" }),
  );
  await region.timer.advance(6_000);
  for (const name of ENTRIES) region.kill(name);
  if (garbage.length > 0) {
    region.log.put(identifier(`configuration.${REGION}`), garbage);
  }
  const from = region.history.length;
  region.startAgain(ENTRIES[0]);
  await region.timer.advance(1_000);
  region.end();
  return region.history.slice(from)
    .filter((event) => event.kind === "configuration_in_force")
    .filter((event) => event.process === ENTRIES[0])
    .map((event) => Number(event.facts.version));
}

describe("an entry that is started again", () => {
  it("puts only the newest configuration in force", async () => {
    // The entry reads the whole stream anew. Putting each version in force
    // as it is read, it sends work to endpoints that were drained long ago.
    const versions = await restartEntry([]);
    expect(versions).to.have.length(1);
    expect(versions[0]).to.be.greaterThan(4);
  });

  it("does so too where the stream ends with garbage", async () => {
    // Another tool has written something to the stream. An entry that waits
    // for the next good record would refuse every caller until it comes.
    const versions = await restartEntry(["garbage"]);
    expect(versions).to.have.length(1);
  });
});

/** Verdicts within seven seconds of a publication behind the pause. */
async function verdictsAfterPause(seed: number): Promise<number> {
  const region = new Region({ seed, inspect: () => ({}) });
  region.start();
  region.timer.after(200, () => void region.publish("operator", {}));
  await region.timer.advance(6_000);
  const judge = verdicts(region)[0].facts.writer as string;
  region.pause(ENTRIES.find((name) => name !== judge) as string);
  await region.timer.advance(3_000);
  region.kill(judge);
  await region.timer.advance(9_500);
  const before = verdicts(region).length;
  void region.publish("operator", { weights: "v2" });
  await region.timer.advance(7_000);
  region.end();
  return verdicts(region).length - before;
}

function verdicts(region: Region) {
  return region.history.filter(({ kind, facts }) =>
    kind === "log_appended" && facts.kind === "verdict"
  );
}

describe("an entry that wakes from a pause", () => {
  // Whether the entry takes its own pause for the holder's rests on what it
  // does first when it wakes; with these seeds it looks before it reads.
  for (const seed of [19, 22, 30]) {
    it(`takes a dead entry's claim within seconds, seed ${seed}`, async () => {
      // One entry is paused, the other is killed and not replaced. When the
      // first one wakes, an operator's publication must not wait for as long
      // as that pause and more until somebody judges it.
      expect(await verdictsAfterPause(seed)).to.equal(1);
    });
  }
});
