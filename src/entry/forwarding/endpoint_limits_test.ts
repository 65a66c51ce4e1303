import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import type { RecordingSink } from "../../../test/support/forwarding_harness.ts";
import { LimitedEndpoints } from "../../../test/support/limited_endpoints.ts";
import type { RegisteredEndpoint, Route } from "../../core/forwarding/mod.ts";
import {
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestId,
} from "../../core/identity/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";

const REPLICAS = ["a", "b", "c", "d"];
const URGENT_PATH = "/urgent/";
/** Share of a limit that must be used while callers wait for more. */
const MIN_USED_SHARE = 0.75;
/** Target of the routes, milliseconds. */
const TARGET_MILLISECONDS = 150;
/** Time in which a refusal counts as immediate. */
const IMMEDIATE_MILLISECONDS = 150;

interface Load {
  readonly milliseconds: number;
  readonly requestsPerSecond: number;
  /** Share of the requests that are urgent, 0 to 1. */
  readonly urgentShare?: number;
}

const LOAD: Load = { milliseconds: 1_000, requestsPerSecond: 120 };

/** A caller with the time until its response or refusal. */
interface Caller {
  readonly sink: RecordingSink;
  readonly isUrgent: boolean;
  readonly askedAt: number;
  milliseconds: number | undefined;
}

interface LimitScenarioOptions {
  readonly entries?: number;
  readonly endpoints?: readonly RegisteredEndpoint[];
  readonly route?: Partial<Route>;
  readonly hasPrompt?: boolean;
  readonly workMilliseconds?: number;
}

/** Entries with uneven traffic before endpoints that name limits. */
class LimitScenario {
  readonly fleet: EntryFleet;
  readonly endpoints: LimitedEndpoints;
  readonly #hasPrompt: boolean;
  readonly #random = seededRandom(45);
  #lastId = 0;

  constructor(options: LimitScenarioOptions = {}) {
    const { entries = 5, hasPrompt = false, route } = options;
    this.#hasPrompt = hasPrompt;
    this.fleet = new EntryFleet({
      entries,
      zones: 1,
      configuration: makeConfiguration({
        routes: [
          makeRoute({ rank: 1, ...route }),
          makeRoute({ name: "urgent", pathPrefix: URGENT_PATH, ...route }),
        ],
      }),
      endpoints: options.endpoints ?? REPLICAS.map((id) => makeEndpoint(id)),
    });
    this.endpoints = new LimitedEndpoints(this.fleet, options);
  }

  /** Sends requests for this long; returns their callers. */
  async run(
    { milliseconds, requestsPerSecond, urgentShare = 0 }: Load,
  ): Promise<readonly Caller[]> {
    const callers: Caller[] = [];
    for (let passed = 0; passed < milliseconds; passed += 1) {
      if (this.#random() < requestsPerSecond / 1_000) {
        callers.push(this.#ask(this.#random() < urgentShare));
      }
      await this.fleet.timer.advance(1);
      this.#recordTimes(callers);
    }
    return callers;
  }

  /**
   * Names the limit at these endpoints; returns once all entries know it and
   * have been started long enough to share it.
   */
  async limit(ids: readonly string[], requestsPerSecond: number) {
    await this.run(LOAD);
    for (const id of ids) this.endpoints.setLimit(id, requestsPerSecond);
    await this.run({ ...LOAD, milliseconds: 4_500 });
  }

  /** Arrivals per second at an endpoint under this load. */
  async arrivalsPerSecond(id: string, load: Load): Promise<number> {
    const before = this.endpoints.arrivalCounts.get(id) ?? 0;
    await this.run(load);
    const arrivals = (this.endpoints.arrivalCounts.get(id) ?? 0) - before;
    return arrivals / (load.milliseconds / 1_000);
  }

  expectWithinLimit(id: string): void {
    const { allowed, arrivals, until } = this.endpoints.worstWindow(id);
    expect(arrivals, `${id} until ${until}`).to.be.at.most(allowed);
  }

  #ask(isUrgent: boolean): Caller {
    this.#lastId += 1;
    const id = `request-${this.#lastId}`;
    // The square makes the first entries get most of the requests.
    const entry = Math.floor(this.#random() ** 2 * this.fleet.entries.length);
    const request = makeRequest({
      id: identifier<RequestId>(id),
      target: isUrgent ? `${URGENT_PATH}x` : "/x",
      prompt: this.#hasPrompt ? makePrompt(id) : undefined,
    });
    return {
      sink: this.fleet.submit(entry, request),
      isUrgent,
      askedAt: this.fleet.timer.now(),
      milliseconds: undefined,
    };
  }

  #recordTimes(callers: readonly Caller[]): void {
    for (const caller of callers) {
      if (caller.sink.status === undefined) continue;
      caller.milliseconds ??= this.fleet.timer.now() - caller.askedAt;
    }
  }
}

function withStatus(callers: readonly Caller[], status: number) {
  return callers.filter(({ sink }) => sink.status === status);
}

/** Share of the callers that were served, 0 to 1. */
function servedShare(callers: readonly Caller[]): number {
  return withStatus(callers, 200).length / callers.length;
}

describe("an endpoint's request limit", () => {
  // Guards against entries that pass a limit on without keeping to it.
  it("holds for the requests of all entries together", async () => {
    const scenario = new LimitScenario({ entries: 5 });
    await scenario.run(LOAD);
    scenario.endpoints.setLimit("a", 10);
    await scenario.run({ ...LOAD, milliseconds: 12_000 });
    scenario.expectWithinLimit("a");
  });

  describe("across the fleet", function () {
    this.timeout(180_000);

    for (const entries of [1, 2, 30, 300]) {
      // Guards against a limit that is divided into parts: quiet entries would
      // not use theirs, and each of many would round its own up.
      it(`holds and is used by ${entries} entries`, async () => {
        const scenario = new LimitScenario({ entries });
        await scenario.limit(["a", "b"], 10);
        const load = { ...LOAD, milliseconds: 4_000 };
        const arrivals = await scenario.arrivalsPerSecond("a", load);
        scenario.expectWithinLimit("a");
        scenario.expectWithinLimit("b");
        expect(arrivals).to.be.at.least(10 * MIN_USED_SHARE);
      });
    }

    // Guards against entries that forget what their former process has used.
    it("holds while entries restart", async () => {
      const scenario = new LimitScenario({ entries: 5 });
      await scenario.limit(REPLICAS, 10);
      for (let restart = 0; restart < 12; restart++) {
        scenario.fleet.restart(restart % 5);
        await scenario.run({ ...LOAD, milliseconds: 700 });
      }
      for (const id of REPLICAS) scenario.expectWithinLimit(id);
    });

    // Guards against an entry without peers that takes the limit for its own.
    it("holds while entries are cut off from their peers", async () => {
      const scenario = new LimitScenario({ entries: 5 });
      const { partitioned } = scenario.fleet;
      await scenario.limit(REPLICAS, 10);
      for (const cut of [[0], [0, 1], [1, 2, 3], [], [0, 1, 2, 3, 4], []]) {
        partitioned.clear();
        for (const entry of cut) partitioned.add(entry);
        await scenario.run({ ...LOAD, milliseconds: 3_000 });
      }
      for (const id of REPLICAS) scenario.expectWithinLimit(id);
    });

    // Guards against a peer's older report that brings an ended limit back.
    it("ends at all entries once responses no longer name it", async () => {
      const scenario = new LimitScenario({ entries: 5 });
      await scenario.limit(REPLICAS, 5);
      for (const id of REPLICAS) scenario.endpoints.setLimit(id, undefined);
      await scenario.run({ ...LOAD, milliseconds: 2_000 });
      const callers = await scenario.run({ ...LOAD, milliseconds: 2_000 });
      expect(withStatus(callers, 503)).to.have.length(0);
    });

    it("is known to an entry that has started since", async () => {
      const scenario = new LimitScenario({ entries: 5 });
      await scenario.limit(REPLICAS, 10);
      scenario.fleet.restart(4);
      await scenario.fleet.timer.advance(1_500);
      expect(scenario.fleet.entries[4].limitedEndpoints).to.equal(4);
    });
  });

  describe("that changes", () => {
    it("holds when it falls", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(["a"], 40);
      scenario.endpoints.setLimit("a", 4);
      await scenario.run({ ...LOAD, milliseconds: 6_000 });
      scenario.expectWithinLimit("a");
    });

    it("is used when it rises", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(REPLICAS, 2);
      scenario.endpoints.setLimit("a", 25);
      await scenario.run({ ...LOAD, milliseconds: 2_000 });
      const load = { ...LOAD, milliseconds: 3_000 };
      const arrivals = await scenario.arrivalsPerSecond("a", load);
      expect(arrivals).to.be.at.least(25 * MIN_USED_SHARE);
    });

    // Guards against a limit of 0 that nobody learns the end of.
    it("ends after having been 0", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(["a"], 0);
      await scenario.run({ ...LOAD, milliseconds: 8_000 });
      scenario.expectWithinLimit("a");
      scenario.endpoints.setLimit("a", undefined);
      await scenario.run({ ...LOAD, milliseconds: 8_000 });
      const load = { ...LOAD, milliseconds: 1_000 };
      expect(await scenario.arrivalsPerSecond("a", load)).to.be.above(10);
    });

    // Guards against the limit of a run that is applied to the next one.
    it("ends when the replica restarts under its id", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(["a"], 2);
      scenario.endpoints.setLimit("a", undefined);
      const startedAt = numbered<ReplicaStartTime>(7);
      for (const entry of scenario.fleet.entries) {
        entry.registry.upsert(makeEndpoint("a", { startedAt }));
      }
      for (const { limitedEndpoints } of scenario.fleet.entries) {
        expect(limitedEndpoints).to.equal(0);
      }
    });

    it("does not bind streams that last long", async () => {
      const scenario = new LimitScenario({
        route: { repeat: "stream", timeoutMilliseconds: 20_000 },
        endpoints: REPLICAS.map((id) => makeEndpoint(id, { slots: 64 })),
        workMilliseconds: 900,
      });
      await scenario.limit(["a"], 30);
      const load = { ...LOAD, milliseconds: 4_000 };
      const arrivals = await scenario.arrivalsPerSecond("a", load);
      expect(arrivals).to.be.at.least(30 * MIN_USED_SHARE);
    });
  });

  describe("and its callers", () => {
    const load = { ...LOAD, milliseconds: 5_000, urgentShare: 0.1 };

    it("are served by the replicas without one", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(["a", "b"], 5);
      const callers = await scenario.run(load);
      expect(withStatus(callers, 503)).to.have.length(0);
    });

    // Guards against callers that wait for a permit they can't get in time.
    it("are refused at once if there is no hope for a permit", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(REPLICAS, 10);
      const refused = withStatus(await scenario.run(load), 503);
      const late = refused.filter(({ milliseconds = Infinity }) =>
        milliseconds > IMMEDIATE_MILLISECONDS
      );
      expect(refused.length).to.be.above(200);
      expect(late.length).to.be.at.most(refused.length / 10);
      for (const { sink: { refusal } } of refused) {
        expect(refusal?.reason).to.equal("request_limit");
        expect(refusal?.retryAfterMilliseconds).to.be.within(250, 3_250);
      }
    });

    // Guards against bulk requests that use up what urgent ones need.
    it("are served in order of rank", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(REPLICAS, 10);
      const callers = await scenario.run(load);
      const urgent = callers.filter(({ isUrgent }) => isUrgent);
      const others = callers.filter(({ isUrgent }) => !isUrgent);
      expect(servedShare(urgent)).to.be.at.least(0.9);
      expect(servedShare(others)).to.be.within(0.1, 0.5);
    });

    // Guards against a queue for permits that makes every served caller late.
    it("are answered on time if they are served", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(REPLICAS, 20);
      const served = withStatus(await scenario.run(load), 200);
      const onTime = served.filter(({ milliseconds = Infinity }) =>
        milliseconds <= TARGET_MILLISECONDS
      );
      expect(onTime.length).to.be.at.least(served.length / 2);
    });

    it("wait for a permit that they can get in time", async () => {
      const scenario = new LimitScenario();
      await scenario.limit(REPLICAS, 35);
      const callers = await scenario.run(load);
      expect(servedShare(callers)).to.be.at.least(0.9);
    });
  });

  describe("of an engine", () => {
    const engines = {
      hasPrompt: true,
      route: {
        repeat: "stream",
        shares: [{ pool: ENGINES, weight: 1 }],
      } as const,
      endpoints: [
        ...["p1", "p2"].map((id) => makeEngine(id, "prefill")),
        ...["d1", "d2"].map((id) => makeEngine(id, "decode")),
      ],
    };
    const load = { milliseconds: 5_000, requestsPerSecond: 40 };

    it("holds for prefills", async () => {
      const scenario = new LimitScenario(engines);
      await scenario.limit(["p1"], 5);
      await scenario.run(load);
      scenario.expectWithinLimit("p1");
    });

    it("holds for decodes", async () => {
      const scenario = new LimitScenario(engines);
      await scenario.limit(["d1"], 5);
      const callers = await scenario.run(load);
      scenario.expectWithinLimit("d1");
      expect(servedShare(callers)).to.be.at.least(0.9);
    });

    // Guards against long prompts at decode engines, which slow their streams.
    it("is not evaded by prefills at decode engines", async () => {
      const scenario = new LimitScenario(engines);
      await scenario.limit(["p1", "p2"], 5);
      const before = scenario.endpoints.prefillsAtDecodeEngines;
      const callers = await scenario.run(load);
      for (const id of ["p1", "p2"]) scenario.expectWithinLimit(id);
      expect(scenario.endpoints.prefillsAtDecodeEngines).to.equal(before);
      expect(withStatus(callers, 200).length).to.be.at.least(
        5 * 2 * 5 * MIN_USED_SHARE,
      );
    });

    // Guards against prompts that are prefilled though no engine may decode.
    it("prevents prefills that no engine could decode", async () => {
      const scenario = new LimitScenario(engines);
      await scenario.limit(["d1", "d2"], 2);
      const prefillsOf = () =>
        ["p1", "p2"].reduce(
          (sum, id) => sum + (scenario.endpoints.arrivalCounts.get(id) ?? 0),
          0,
        );
      const before = prefillsOf();
      const callers = await scenario.run(load);
      const served = withStatus(callers, 200).length;
      expect(served).to.be.at.least(5 * 2 * 2 * MIN_USED_SHARE);
      expect(prefillsOf() - before).to.be.at.most(2 * served);
    });
  });
});
