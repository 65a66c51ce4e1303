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
