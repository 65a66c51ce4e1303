import { expect } from "chai";
import { runExample } from "../../examples/embedding/run.ts";

/** The result of a run as text; equal runs have equal texts. */
async function runAsText(seed: number): Promise<string> {
  return JSON.stringify(await runExample(seed));
}

describe("embedding example", () => {
  it("answers every request completely while an engine drains", async () => {
    const { outcomes, answers, configurationVersions } = await runExample(7);
    const expected = Array.from({ length: 40 }, (_, index) => `w${index} `);
    for (const [index, outcome] of outcomes.entries()) {
      expect(outcome.kind, `request ${index}`).to.equal("answered");
      expect(answers[index]).to.equal(expected.join(""));
    }
    expect(new Set(configurationVersions).size).to.equal(1);
    expect(configurationVersions[0]).to.be.greaterThan(0);
  });

  describe("determinism", () => {
    it("produces identical runs for equal seeds", async () => {
      expect(await runAsText(11)).to.equal(await runAsText(11));
    });

    it("differs between seeds", async () => {
      expect(await runAsText(11)).not.to.equal(await runAsText(12));
    });

    // Two embedders run in one process, or a test leaves state behind. With any
    // global state, a run would depend on concurrent or earlier runs, and a
    // failure could not be reproduced from its seed.
    it("is not affected by a concurrent run in the same process", async () => {
      const alone = await runAsText(11);
      const [concurrent] = await Promise.all([runAsText(11), runAsText(12)]);
      expect(concurrent).to.equal(alone);
    });
  });
});
