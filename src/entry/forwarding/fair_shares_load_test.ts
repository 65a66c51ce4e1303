import { expect } from "chai";
import {
  type LoadStream,
  powerLaw,
  ShareLoad,
  type ShareLoadOptions,
} from "../../../test/support/share_load.ts";

const SMALL_WORKSPACES = 83;

function smallStreams(values: Partial<LoadStream> = {}): LoadStream[] {
  return Array.from({ length: SMALL_WORKSPACES }, (_, index) => ({
    workspace: 1 + index,
    load: 0.01,
    ...values,
  }));
}

async function serve(
  streams: readonly LoadStream[],
  options: Partial<ShareLoadOptions> & { readonly seconds?: number } = {},
): Promise<ShareLoad> {
  const load = new ShareLoad({ entries: 5, workspaces: 84, ...options });
  await load.run(streams, options.seconds ?? 2);
  return load;
}

describe("Fair shares under load", function () {
  this.timeout(300_000);

  // One workspace asks for three times the capacity. In order of arrival, two
  // thirds of everyone's prompts are refused.
  for (const isSkewed of [false, true]) {
    const skew = isSkewed ? " through one entry" : "";
    it(`serves 83 small workspaces beside a flood${skew}`, async () => {
      const flood = await serve([
        { workspace: 0, load: 3, ...(isSkewed && { entry: () => 0 }) },
        ...smallStreams(isSkewed ? { entry: (random) => 1 + 4 * random } : {}),
      ], { impatient: 0.1 });
      const small = flood.outcomes((workspace) => workspace > 0);
      expect(small.onTimeShare).to.be.at.least(0.9);
      expect(small.servedShare).to.be.at.least(0.99);
      expect(flood.capacityUsed).to.be.at.least(0.9);
    });
  }

  it("leaves a workspace alone all of the capacity", async () => {
    const alone = await serve([{ workspace: 0, load: 2 }]);
    expect(alone.capacityUsed).to.be.at.least(0.95);
  });

  // A power law of demand has workspaces on both sides of the share.
  for (const [entries, workspaces] of [[1, 84], [30, 84], [30, 3_400]]) {
    it(`serves the smaller first at ${entries} entries and ${workspaces} workspaces`, async () => {
      const load = await serve(powerLaw(workspaces, 2), {
        entries,
        workspaces,
      });
      const large = load.outcomes((workspace) => workspace < 2);
      const small = load.outcomes((workspace) => workspace >= 15);
      expect(load.capacityUsed).to.be.at.least(0.9);
      expect(small.onTimeShare).to.be.at.least(0.8);
      expect(small.servedShare).to.be.at.least(0.9);
      expect(large.servedShare).to.be.at.least(0.1);
    });
  }

  // Requests below capacity must not be refused, whatever their workspaces use.
  it("refuses nobody at half of the capacity", async () => {
    const load = await serve(powerLaw(84, 0.5));
    const all = load.outcomes();
    expect(all.refusals).to.equal(0);
    expect(all.onTimeShare).to.be.at.least(0.99);
  });
});
