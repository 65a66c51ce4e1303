import { expect } from "chai";
import { ENTRIES, FakeRegion, REGION } from "./fake_region.ts";
import { identifier } from "../../src/core/identity/mod.ts";

/** Returns the versions that an entry puts in force after its restart. */
async function versionsAfterRestart(
  garbage: readonly unknown[],
): Promise<number[]> {
  const region = new FakeRegion({ seed: 3, intercept: () => ({}) });
  region.start();
  region.timer.after(200, () => void region.publish("operator", {}));
  region.timer.after(
    3_000,
    () => void region.publish("operator", { weights: "v2" }),
  );
  await region.timer.advance(6_000);
  for (const name of ENTRIES) region.kill(name);
  if (garbage.length > 0) {
    region.log.appendDirectly(identifier(`configuration.${REGION}`), garbage);
  }
  const from = region.history.length;
  region.startReplacement(ENTRIES[0]);
  await region.timer.advance(1_000);
  region.dispose();
  return region.history.slice(from)
    .filter((event) => event.kind === "configuration_in_force")
    .filter((event) => event.process === ENTRIES[0])
    .map((event) => Number(event.facts.version));
}

describe("a restarted entry", () => {
  it("puts only the newest configuration in force", async () => {
    // A restarted entry reads the whole stream. If it put each version in
    // force as it is read, it would send work to endpoints drained long ago.
    const versions = await versionsAfterRestart([]);
    expect(versions).to.have.length(1);
    expect(versions[0]).to.be.greaterThan(4);
  });

  it("puts it in force if the stream ends with an invalid record", async () => {
    // Another tool may write to the stream. An entry that waits for the next
    // valid record would refuse every caller until one is appended.
    const versions = await versionsAfterRestart(["garbage"]);
    expect(versions).to.have.length(1);
  });
});

/** Counts the verdicts within seven seconds of a publication after a pause. */
async function verdictsAfterPause(seed: number): Promise<number> {
  const region = new FakeRegion({ seed, intercept: () => ({}) });
  region.start();
  region.timer.after(200, () => void region.publish("operator", {}));
  await region.timer.advance(6_000);
  const claimHolder = verdictEvents(region)[0].facts.writer as string;
  region.pause(ENTRIES.find((name) => name !== claimHolder) as string);
  await region.timer.advance(3_000);
  region.kill(claimHolder);
  await region.timer.advance(9_500);
  const before = verdictEvents(region).length;
  void region.publish("operator", { weights: "v2" });
  await region.timer.advance(7_000);
  region.dispose();
  return verdictEvents(region).length - before;
}

function verdictEvents(region: FakeRegion) {
  return region.history.filter(({ kind, facts }) =>
    kind === "log_appended" && facts.kind === "verdict"
  );
}

describe("an entry that resumes after a pause", () => {
  // Whether the entry mistakes its own pause for silence of the claim's holder
  // depends on what it does first when it resumes. With these seeds it checks
  // the claim before it reads the log.
  for (const seed of [19, 22, 30]) {
    it(`takes over a dead entry's claim in time, seed ${seed}`, async () => {
      // One entry is paused, the other is killed and not replaced. After the
      // first one resumes, a publication must not wait for its verdict as long
      // as the pause lasted.
      expect(await verdictsAfterPause(seed)).to.equal(1);
    });
  }
});
