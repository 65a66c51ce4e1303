import { expect } from "chai";
import { runExample } from "../../examples/embedding/run.ts";

/** A run as text; equal texts mean equal runs, event for event. */
async function textOf(seed: number): Promise<string> {
  return JSON.stringify(await runExample(seed));
}

describe("embedding example", () => {
  it("answers every request in full while an engine drains", async () => {
    const { outcomes, answers, configurationVersions } = await runExample(7);
    const whole = Array.from({ length: 40 }, (_, index) => `w${index} `);
    for (const [index, outcome] of outcomes.entries()) {
      expect(outcome.kind, `request ${index}`).to.equal("answered");
      expect(answers[index]).to.equal(whole.join(""));
    }
    expect(new Set(configurationVersions).size).to.equal(1);
    expect(configurationVersions[0]).to.be.greaterThan(0);
  });

  describe("repeatability", () => {
    it("repeats byte for byte for a seed", async () => {
      expect(await textOf(11)).to.equal(await textOf(11));
    });

    it("differs between seeds", async () => {
      expect(await textOf(11)).not.to.equal(await textOf(12));
    });

    // Two embedders live in one process, or one test leaves something behind
    // for the next. With anything global between them, a run would depend on
    // who runs beside it, and nobody could repeat a failure from its seed.
    it("is the same run beside another one in the same process", async () => {
      const alone = await textOf(11);
      const [beside] = await Promise.all([textOf(11), textOf(12)]);
      expect(beside).to.equal(alone);
    });
  });
});
