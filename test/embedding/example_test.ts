import { expect } from "chai";
import { runExample } from "../../examples/embedding/run.ts";

/** A run as text; equal texts mean equal runs, event for event. */
async function runAsText(seed: number): Promise<string> {
  return JSON.stringify(await runExample(seed));
}

describe("embedding example", () => {
  it("answers every request in full while an engine drains", async () => {
    const { outcomes, answers, configurationVersions } = await runExample(7);
    const expected = Array.from({ length: 40 }, (_, index) => `w${index} `);
    for (const [index, outcome] of outcomes.entries()) {
      expect(outcome.kind, `request ${index}`).to.equal("answered");
      expect(answers[index]).to.equal(expected.join(""));
    }
    expect(new Set(configurationVersions).size).to.equal(1);
    expect(configurationVersions[0]).to.be.greaterThan(0);
  });

  describe("repeatability", () => {
    it("repeats byte for byte for a seed", async () => {
      expect(await runAsText(11)).to.equal(await runAsText(11));
    });

    it("differs between seeds", async () => {
      expect(await runAsText(11)).not.to.equal(await runAsText(12));
    });

    // Two embedders live in one process, or one test leaves something behind
    // for the next. With anything global between them, a run would depend on
    // who runs beside it, and nobody could repeat a failure from its seed.
    it("is the same run beside another one in the same process", async () => {
      const alone = await runAsText(11);
      const [concurrent] = await Promise.all([runAsText(11), runAsText(12)]);
      expect(concurrent).to.equal(alone);
    });
  });
});
