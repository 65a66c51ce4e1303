import { expect } from "chai";
import { CrashingReplicas } from "../../../../test/support/crashing_replicas.ts";
import { EntryFleet } from "../../../../test/support/entry_fleet.ts";
import type { RecordingSink } from "../../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../../test/support/forwarding_fixtures.ts";
import type { Prompt } from "../../../core/forwarding/mod.ts";
import { identifier, type RequestId } from "../../../core/identity/mod.ts";

const MAX_CRASHES = 8;
const MAX_CRASHES_ONE_BY_ONE = 6;
const MINUTE_MILLISECONDS = 60_000;
const BLOCK_MILLISECONDS = 10 * MINUTE_MILLISECONDS;
/** From the start of an entry until it is ready. */
const START_MILLISECONDS = 100;
const HEADS = 4;
const DOCUMENTS = 40;
const SOUND_INTERVAL_MILLISECONDS = 10;
const BAD = "bad";

interface PartScenarioOptions {
  readonly entries?: number;
  readonly lossRate?: number;
  readonly engines?: number;
}

/** Prompts at engines that crash when they write an answer on one part. */
class PartScenario {
  readonly fleet: EntryFleet;
  readonly replicas: CrashingReplicas;
  readonly sound: RecordingSink[] = [];
  readonly crashingCallers: RecordingSink[] = [];
  readonly #entries: number;
  #count = 0;

  constructor(options: PartScenarioOptions = {}) {
    const { engines = 10, entries = 5, lossRate } = options;
    this.#entries = entries;
    this.fleet = new EntryFleet({
      entries,
      zones: 3,
      lossRate,
      configuration: makeConfiguration({
        routes: [makeRoute({
          shares: [{ pool: ENGINES, weight: 1 }],
          repeat: "stream",
          mostAttempts: 1,
        })],
      }),
      endpoints: [
        ...Array.from(
          { length: 4 },
          (_, index) => makeEngine(`r${index}`, "prefill"),
        ),
        ...Array.from(
          { length: engines },
          (_, index) => makeEngine(`d${index}`, "decode"),
        ),
      ],
    });
    this.replicas = new CrashingReplicas(this.fleet, {
      crashes: ({ prompt }) =>
        prompt?.parts.some(({ id }) => id === BAD) === true,
    });
  }

  /**
   * Sends sound requests and, at each interval, requests with the crashing part,
   * no two of them alike.
   */
  async run(
    { burst = 1, intervalMilliseconds, milliseconds }: {
      readonly milliseconds: number;
      /** Absent: no crashing requests. */
      readonly intervalMilliseconds?: number;
      readonly burst?: number;
    },
  ): Promise<void> {
    for (let at = 0; at < milliseconds; at += SOUND_INTERVAL_MILLISECONDS) {
      const isDue = intervalMilliseconds !== undefined &&
        at % intervalMilliseconds === 0;
      if (isDue) {
        for (let each = 0; each < burst; each++) {
          const parts = [`head-${this.#count % HEADS}`, BAD];
          this.crashingCallers.push(this.ask(parts));
        }
      }
      const document = `document-${(this.#count * 7) % DOCUMENTS}`;
      this.sound.push(this.ask([`head-${this.#count % HEADS}`, document]));
      await this.fleet.timer.advance(SOUND_INTERVAL_MILLISECONDS);
    }
  }

  /** Sends a request with these shared parts to the next entry. */
  ask(shared: readonly string[]): RecordingSink {
    this.#count += 1;
    return this.fleet.submit(
      (this.#count * 7) % this.#entries,
      makeRequest({
        id: identifier<RequestId>(`request-${this.#count}`),
        body: Buffer.from(`body ${this.#count}`),
        prompt: promptOf([...shared, `own-${this.#count}`]),
      }),
    );
  }

  get crashes(): number {
    return this.replicas.crashTimes.length;
  }

  /** Share of the sound requests that were answered in whole. */
  get soundShare(): number {
    const whole = this.sound.filter(({ ended }) => ended === "whole");
    return whole.length / this.sound.length;
  }
}

function promptOf(ids: readonly string[]): Prompt {
  const parts = ids.map((id) => ({ id, tokens: 3_000 }));
  return { ...makePrompt("any"), inputTokens: 3_000 * ids.length, parts };
}

describe("a part of prompts that crashes engines", function () {
  this.timeout(120_000);

  const fleets: Readonly<Record<string, PartScenarioOptions>> = {
    "in a fleet of 5 entries": {},
    "in a fleet of 68 entries that lose a tenth of their datagrams": {
      entries: 68,
      lossRate: 0.1,
    },
    "in a fleet of 300 entries": { entries: 300, engines: 24 },
  };
  for (const [name, options] of Object.entries(fleets)) {
    describe(name, () => {
      it("is known after a few crashes where its requests come one by one", async () => {
        const scenario = new PartScenario(options);
        await scenario.fleet.timer.advance(2_500);
        await scenario.run({ milliseconds: 3_000, intervalMilliseconds: 300 });
        expect(scenario.crashes).to.be.within(3, MAX_CRASHES_ONE_BY_ONE);
        expect(scenario.soundShare).to.be.at.least(0.9);
      });

      it("is known after a few crashes where six come at once", async () => {
        const scenario = new PartScenario(options);
        await scenario.fleet.timer.advance(2_500);
        await scenario.run({
          milliseconds: 3_000,
          intervalMilliseconds: 500,
          burst: 6,
        });
        expect(scenario.crashes).to.be.within(3, MAX_CRASHES);
        expect(scenario.soundShare).to.be.at.least(0.9);
      });
    });
  }

  describe("once it is known", () => {
    let scenario: PartScenario;

    beforeEach(async () => {
      scenario = new PartScenario();
      await scenario.fleet.timer.advance(2_500);
      await scenario.run({ milliseconds: 2_000, intervalMilliseconds: 200 });
    });

    it("is refused as not run before its prompt is read", async () => {
      const { length } = scenario.replicas.arrivals;
      const caller = scenario.ask(["head-1", BAD]);
      await scenario.fleet.timer.advance(200);
      expect(caller.refusal).to.deep.include({
        status: 503,
        reason: "crashes_endpoints",
      });
      expect(caller.refusal?.retryAfterMilliseconds).to.be.above(500_000);
      expect(scenario.replicas.arrivals).to.have.length(length);
    });

    it("is known to entries that start later", async () => {
      const { crashes } = scenario;
      for (const index of scenario.fleet.entries.keys()) {
        scenario.fleet.restart(index);
        // An entry is ready only after it has read the store.
        await scenario.fleet.timer.advance(START_MILLISECONDS);
        await scenario.run({ milliseconds: 1_000, intervalMilliseconds: 200 });
      }
      expect(scenario.crashes).to.equal(crashes);
    });

    // If each entry tried it once more, as many engines would end as there are
    // entries.
    it("is tried once by the whole fleet after its block", async () => {
      await scenario.fleet.timer.advance(BLOCK_MILLISECONDS);
      const { crashes } = scenario;
      for (let request = 0; request < 10; request++) {
        scenario.ask(["head-1", BAD]);
      }
      await scenario.fleet.timer.advance(2_000);
      expect(scenario.crashes).to.equal(crashes + 1);
    });

    // Restarts of entries must not prolong a block: each would count from the
    // time at which it was told.
    it("is free again ten minutes after its last crash although entries restart", async () => {
      for (let minute = 0; minute < 10; minute++) {
        await scenario.fleet.timer.advance(MINUTE_MILLISECONDS);
        scenario.fleet.restart(minute % scenario.fleet.entries.length);
      }
      await scenario.fleet.timer.advance(1_000);
      const { crashes } = scenario;
      scenario.ask(["head-1", BAD]);
      await scenario.fleet.timer.advance(500);
      expect(scenario.crashes).to.equal(crashes + 1);
    });
  });

  // Both parts were in flight in the same crashes, so either may be blocked.
  it("does not get a sound part blocked for good that came with it", async () => {
    const scenario = new PartScenario();
    await scenario.fleet.timer.advance(2_500);
    for (let time = 0; time < 6; time++) {
      scenario.ask([`head-${time % HEADS}`, "companion", BAD]);
      await scenario.run({ milliseconds: 500 });
    }
    expect(scenario.crashes).to.equal(3);
    const callers: RecordingSink[] = [];
    for (let time = 0; time < 12; time++) {
      scenario.ask([`head-${time % HEADS}`, `document-${time}`, BAD]);
      callers.push(scenario.ask([`head-${time % HEADS}`, "companion"]));
      await scenario.run({ milliseconds: 500 });
    }
    expect(scenario.crashes).to.be.at.most(MAX_CRASHES_ONE_BY_ONE);
    expect(callers.at(-1)?.ended).to.equal("whole");
  });

  // The caller of a sound document repeats a request that crashes engines with
  // its own part; the document has been in the same crashes.
  it("is not looked for in a part whose requests crash only as a whole", async () => {
    const scenario = new PartScenario();
    await scenario.fleet.timer.advance(2_500);
    const repeated = {
      body: Buffer.from("the same"),
      prompt: promptOf(["head-1", "document", BAD]),
    };
    for (let time = 0; time < 6; time++) {
      const id = identifier<RequestId>(`repeated-${time}`);
      scenario.fleet.submit(time % 5, makeRequest({ ...repeated, id }));
      await scenario.run({ milliseconds: 700 });
    }
    const caller = scenario.ask(["head-1", "document"]);
    await scenario.fleet.timer.advance(1_000);
    expect(scenario.crashes).to.equal(3);
    expect(caller.ended).to.equal("whole");
  });
});

describe("engines that end for another reason", function () {
  this.timeout(60_000);

  it("do not get sound parts blocked or held back", async () => {
    const scenario = new PartScenario();
    await scenario.fleet.timer.advance(2_500);
    for (let time = 0; time < 6; time++) {
      for (const engine of [0, 1, 2, 3]) {
        const { registry } = scenario.fleet.entries[0];
        const decoders = [...registry.all].filter(({ role }) =>
          role === "decode"
        );
        scenario.replicas.crash(decoders[engine].id);
      }
      await scenario.run({ milliseconds: 2_500 });
    }
    const reasons = scenario.sound.map(({ refusal }) => refusal?.reason);
    expect(reasons).not.to.include("crashes_endpoints");
    expect(reasons).not.to.include("crash_suspected");
    expect(scenario.soundShare).to.be.at.least(0.9);
  });
});
