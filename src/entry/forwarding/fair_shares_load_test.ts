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

  describe("of urgent, bulk and very long prompts", () => {
    function mix(load: number, urgentShare = 0.25): LoadStream[] {
      const bulkShare = 0.75 - urgentShare;
      return powerLaw(84, load).flatMap(({ workspace, load }): LoadStream[] => [
        { workspace, kind: "urgent", load: urgentShare * load },
        { workspace, kind: "bulk", load: bulkShare * load },
        { workspace, kind: "huge", load: 0.25 * load },
      ]);
    }

    // Urgent prompts are worth several bulk prompts each, and must not yield to
    // them because of their workspace.
    for (const load of [0.5, 1, 1.5, 3]) {
      it(`serves no kind less often than a less urgent one at load ${load}`, async () => {
        const served = await serve(mix(load));
        const [urgent, bulk, huge] = ["urgent", "bulk", "huge"].map((kind) =>
          served.outcomes((_, each) => each === kind)
        );
        expect(urgent.servedShare).to.be.at.least(bulk.servedShare - 0.05);
        expect(urgent.servedShare).to.be.at.least(huge.servedShare - 0.05);
        expect(urgent.onTimeShare).to.be.at.least(0.95);
        expect(huge.servedShare).to.be.at.least(0.1);
        expect(served.outcomes().yieldsTooLong).to.equal(0);
      });
    }

    it("serves bulk prompts where urgent load is light", async () => {
      const served = await serve(mix(1.3, 0.05));
      const bulk = served.outcomes((_, kind) => kind === "bulk");
      expect(bulk.servedShare).to.be.at.least(0.6);
      expect(served.capacityUsed).to.be.at.least(0.9);
    });

    // Counters and retry times from one half of a burst must not keep engines
    // idle in the other.
    it("uses all capacity while bursts alternate", async () => {
      const burst = (share: number, half: number) => (now: number) =>
        share * (Math.floor(now / 2_800) % 2 === half ? 1.9 : 0.4);
      const served = await serve(
        powerLaw(84, 1.3).flatMap(({ workspace, load }): LoadStream[] => [
          { workspace, kind: "urgent", load: burst(0.3 * load, 0) },
          { workspace, kind: "bulk", load: burst(0.7 * load, 1) },
        ]),
        { seconds: 5.6 },
      );
      const urgent = served.outcomes((_, kind) => kind === "urgent");
      expect(urgent.onTimeShare).to.be.at.least(0.95);
      expect(served.capacityUsed).to.be.at.least(0.9);
    });
  });

  describe("after failures", () => {
    const flood: LoadStream[] = [{ workspace: 0, load: 2 }, ...smallStreams()];

    function expectFair(load: ShareLoad): void {
      const small = load.outcomes((workspace) => workspace > 0);
      expect(small.onTimeShare).to.be.at.least(0.85);
      expect(load.capacityUsed).to.be.at.least(0.9);
    }

    // All counters are lost under load; they are learned again in the warm-up.
    it("are equal again within seconds of a restart", async () => {
      const load = await serve(flood, { seconds: 0.5 });
      load.restartEntries();
      await load.run(flood, 2);
      expectFair(load);
    });

    it("hold if one datagram in ten is lost", async () => {
      expectFair(await serve(flood, { lossRate: 0.1 }));
    });

    // Each group knows nothing of the other's counters and open work.
    it("hold in two groups of entries that are cut off", async () => {
      const load = new ShareLoad({ entries: 6, workspaces: 84 });
      load.fleet.isCut = (from, to) => from % 2 !== to % 2;
      await load.run(flood, 2);
      expect(load.capacityUsed).to.be.within(0.8, 1.05);
      const small = load.outcomes((workspace) => workspace > 0);
      const large = load.outcomes((workspace) => workspace === 0);
      expect(small.servedShare).to.be.greaterThan(2 * large.servedShare);
    });
  });
});
