import { expect } from "chai";
import {
  ForwardingHarness,
  type SentAttempt,
} from "../../../test/support/forwarding_harness.ts";
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
import type {
  ForwardedRequest,
  RegisteredEndpoint,
  ResponseHead,
  Route,
} from "../../core/forwarding/mod.ts";
import {
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestId,
} from "../../core/identity/mod.ts";

const REPLICAS = ["a", "b", "c"];
const STEP_MILLISECONDS = 20;

interface SignalScenarioOptions {
  readonly route?: Partial<Route>;
  readonly endpoints?: readonly RegisteredEndpoint[];
  /** Values of the request with this number. */
  readonly valuesOf?: (count: number) => Partial<ForwardedRequest>;
}

/**
 * One entry with replicas of a plain service or engines that set signals in
 * their response heads.
 */
class SignalScenario {
  readonly harness: ForwardingHarness;
  /** Additions to the response head of each replica. */
  readonly heads = new Map<string, Partial<ResponseHead>>();
  readonly #valuesOf: (count: number) => Partial<ForwardedRequest>;
  #count = 0;

  constructor(options: SignalScenarioOptions = {}) {
    const { endpoints = portals(), route, valuesOf = () => ({}) } = options;
    this.#valuesOf = valuesOf;
    this.harness = new ForwardingHarness(
      makeConfiguration({ routes: [makeRoute(route)] }),
    );
    for (const each of endpoints) {
      this.harness.dependencies.registry.upsert(each);
    }
    this.harness.onSend = (attempt) => void this.#answer(attempt);
  }

  /**
   * Sends requests in sequence for this long; returns the endpoints they were
   * sent to.
   */
  async run(milliseconds: number): Promise<string[]> {
    const before = this.harness.sent.length;
    for (let at = 0; at < milliseconds; at += STEP_MILLISECONDS) {
      await this.ask();
      await this.harness.timer.advance(STEP_MILLISECONDS);
    }
    return this.harness.sent.slice(before)
      .map(({ options }) => String(options.endpoint));
  }

  async ask() {
    this.#count += 1;
    const id = identifier<RequestId>(`request-${this.#count}`);
    return await this.harness.submit(
      makeRequest({ id, ...this.#valuesOf(this.#count) }),
    );
  }

  async #answer(attempt: SentAttempt): Promise<void> {
    const head = this.heads.get(String(attempt.options.endpoint)) ?? {};
    await attempt.respond("done", head);
  }
}

function portals(): RegisteredEndpoint[] {
  return REPLICAS.map((id) => makeEndpoint(id));
}

/** The same with long prompts and engines. */
function promptScenario(): SignalScenario {
  return new SignalScenario({
    route: { repeat: "stream", shares: [{ pool: ENGINES, weight: 1 }] },
    endpoints: [
      ...["r1", "r2"].map((id) => makeEngine(id, "prefill")),
      ...["d1", "d2"].map((id) => makeEngine(id, "decode")),
    ],
    valuesOf: (count) => ({ prompt: makePrompt(`subject-${count}`) }),
  });
}

describe("signals in an endpoint's responses", () => {
  describe("load", () => {
    const load = { running: 1, waiting: 0, slots: 6 };

    async function placements(workFactor?: number) {
      const setup = new SignalScenario();
      for (const id of REPLICAS) {
        setup.heads.set(id, {
          load: { ...load, ...(workFactor !== undefined && { workFactor }) },
        });
      }
      await setup.run(400);
      const placed = setup.harness.decisions.filter(({ decision }) =>
        decision === "placed"
      );
      return { placed, last: placed.at(-1) ?? {} };
    }

    // Operators compare the predicted with the measured time.
    it("is logged with its age and the expected time of the request", async () => {
      const { last } = await placements(1);
      expect(last.reportAgeMilliseconds).to.be.a("number");
      expect(last.expectedMilliseconds).to.be.a("number");
    });

    it("changes nothing where the replicas report no work factor", async () => {
      const { last } = await placements();
      expect(last).not.to.include.any.keys(
        "reportAgeMilliseconds",
        "expectedMilliseconds",
      );
    });

    /** Share of requests that get to replica a, of which one in four fails. */
    async function shareOf(fail: (attempt: SentAttempt) => void) {
      const setup = new SignalScenario({
        route: { repeat: "once" },
        valuesOf: () => ({ deadlineMilliseconds: 60 }),
      });
      const report = { ...load, workFactor: 1 };
      let count = 0;
      setup.harness.onSend = (attempt) => {
        const isFailing = attempt.options.endpoint === "a" && ++count % 4 === 0;
        if (isFailing) return fail(attempt);
        setup.harness.timer.after(
          15,
          () => void attempt.respond("done", { load: report }),
        );
      };
      await setup.run(1_000);
      const endpoints = await setup.run(6_000);
      return endpoints.filter((each) => each === "a").length /
        endpoints.length;
    }

    // Its failures would count as fast completions and attract requests.
    it("makes no replica attractive that fails quickly", async () => {
      const share = await shareOf((attempt) =>
        void attempt.respond("", { status: 500, load })
      );
      expect(share).to.be.lessThan(0.45);
    });

    // Only its completions would count, and those are as fast as elsewhere.
    it("makes a replica unattractive that leaves requests unanswered", async () => {
      expect(await shareOf(() => {})).to.be.lessThan(0.1);
    });
  });

  describe("leaving", () => {
    it("stops requests to it before the store reports it", async () => {
      const setup = new SignalScenario();
      setup.heads.set("a", { leaving: true });
      expect(await setup.run(1_000)).to.include("a");
      expect(await setup.run(5_000)).not.to.include("a");
    });

    it("stops them even if older registrations are read later", async () => {
      const setup = new SignalScenario();
      setup.heads.set("a", { leaving: true });
      await setup.run(1_000);
      setup.harness.dependencies.registry.upsert(makeEndpoint("a"));
      setup.harness.dependencies.registry.replaceAll(
        portals(),
      );
      expect(await setup.run(1_000)).not.to.include("a");
    });

    it("stays in effect if its registration expires before the response and returns", async () => {
      const setup = new SignalScenario();
      const startedAt = numbered<ReplicaStartTime>(7);
      const endpoint = makeEndpoint("a", { startedAt });
      const { registry } = setup.harness.dependencies;
      setup.harness.onSend = undefined;
      registry.replaceAll([endpoint]);
      await setup.ask();
      registry.remove(endpoint.id);
      await setup.harness.sent[0].respond("done", { leaving: true });
      registry.upsert(endpoint);
      const caller = await setup.ask();
      expect(setup.harness.sent).to.have.length(1);
      expect(caller.status).to.equal(503);
    });

    it("is read from a rejection too", async () => {
      const setup = new SignalScenario();
      setup.heads.set("a", { leaving: true, status: 503, notExecuted: true });
      expect(await setup.run(1_000)).to.include("a");
      expect(await setup.run(3_000)).not.to.include("a");
    });

    it("is read from the response to a prefill too", async () => {
      const setup = promptScenario();
      setup.heads.set("r1", { leaving: true });
      expect(await setup.run(1_000)).to.include("r1");
      expect(await setup.run(1_000)).not.to.include("r1");
    });

    it("ends with the run that sent it", async () => {
      const setup = new SignalScenario();
      setup.heads.set("a", { leaving: true });
      await setup.run(1_000);
      setup.heads.clear();
      const startedAt = numbered<ReplicaStartTime>(7);
      setup.harness.dependencies.registry.upsert(
        makeEndpoint("a", { startedAt }),
      );
      expect(await setup.run(1_000)).to.include("a");
    });

    it("is passed on to the other entries", async () => {
      const fleet = new EntryFleet({
        entries: 5,
        zones: 1,
        configuration: makeConfiguration(),
        endpoints: portals(),
      });
      const sent = new Set<string>();
      let leaving = false;
      fleet.onSend = (attempt) => {
        const endpoint = String(attempt.options.endpoint);
        sent.add(endpoint);
        const isLeaving = leaving && endpoint === "a";
        void attempt.respond("done", { leaving: isLeaving });
      };
      const ask = async (entry: number) => {
        for (let index = 0; index < 20; index++) {
          fleet.submit(entry, makeRequest());
          await fleet.timer.advance(5);
        }
      };
      leaving = true;
      await ask(0);
      expect(sent).to.include("a");
      sent.clear();
      for (const entry of fleet.entries.keys()) await ask(entry);
      expect(sent).not.to.include("a");
    });
  });

  describe("overload", () => {
    it("stops requests to it until the retry time has passed", async () => {
      const setup = new SignalScenario();
      for (const id of REPLICAS) setup.heads.set(id, overloadedFor(3_000));
      await setup.run(200);
      setup.heads.clear();
      expect(await setup.run(2_500)).to.deep.equal([]);
      await setup.harness.timer.advance(500);
      expect(new Set(await setup.run(1_000))).to.have.keys(REPLICAS);
    });

    it("moves its requests to the others", async () => {
      const setup = new SignalScenario();
      setup.heads.set("a", overloadedFor(2_000));
      await setup.run(500);
      const callers = [
        await setup.ask(),
        await setup.ask(),
        await setup.ask(),
      ];
      expect(callers.map(({ status }) => status)).to.deep.equal([
        200,
        200,
        200,
      ]);
      expect(await setup.run(1_000)).not.to.include("a");
    });

    it("immediately refuses a caller that would give up before its end", async () => {
      const setup = new SignalScenario();
      for (const id of REPLICAS) setup.heads.set(id, overloadedFor(3_000));
      await setup.run(200);
      const sentBefore = setup.harness.sent.length;
      const { refusal } = await setup.ask();
      expect(refusal?.status).to.equal(503);
      expect(refusal?.retryAfterMilliseconds).to.be.within(2_700, 3_300);
      expect(setup.harness.sent).to.have.length(sentBefore);
    });

    it("is not assumed for replicas that refuse connections", async () => {
      const setup = new SignalScenario();
      setup.harness.onSend = (attempt) =>
        void attempt.fail("exchange_not_sent");
      await setup.run(200);
      const { refusal } = await setup.ask();
      expect(refusal?.reason).to.equal("no_endpoint_reachable");
    });

    it("lets a caller wait for its end that can still be answered", async () => {
      const setup = new SignalScenario();
      for (const id of REPLICAS) setup.heads.set(id, overloadedFor(400));
      await setup.run(100);
      setup.heads.clear();
      const caller = await setup.ask();
      expect(caller.status).to.equal(undefined);
      await setup.harness.timer.advance(500);
      expect(caller.status).to.equal(200);
    });

    it("stops prefills at an engine", async () => {
      const setup = promptScenario();
      setup.heads.set("r1", overloadedFor(2_000));
      expect(await setup.run(500)).to.include("r1");
      expect(await setup.run(1_000)).not.to.include("r1");
    });

    it("stops decoding at an engine", async () => {
      const setup = promptScenario();
      setup.heads.set("d1", overloadedFor(2_000));
      expect(await setup.run(500)).to.include("d1");
      expect(await setup.run(1_000)).not.to.include("d1");
    });

    it("prevents a prefill if no engine could decode in time", async () => {
      const setup = promptScenario();
      for (const id of ["d1", "d2"]) setup.heads.set(id, overloadedFor(9_000));
      await setup.run(500);
      const sentBefore = setup.harness.sent.length;
      const { refusal } = await setup.ask();
      expect(refusal?.status).to.equal(503);
      expect(setup.harness.sent).to.have.length(sentBefore);
    });

    it("delays the release of a cached prompt at the engine", async () => {
      const { harness } = promptScenario();
      const run = harness.submit(
        makeRequest({ prompt: makePrompt("subject") }),
      );
      harness.onSend = undefined;
      await run;
      const [prefill] = harness.sent;
      await prefill.respond("handle");
      harness.dependencies.availability.recordOverload(
        prefill.options.endpoint,
        3_000,
      );
      (await run).disconnect();
      await harness.timer.advance(2_900);
      expect(harness.released).to.deep.equal([]);
      await harness.timer.advance(200);
      expect(harness.released).to.deep.equal(["handle"]);
    });
  });
});

/** Response head of an overloaded endpoint that rejects a request. */
function overloadedFor(milliseconds: number): Partial<ResponseHead> {
  return {
    status: 503,
    notExecuted: true,
    retryAfterMilliseconds: milliseconds,
  };
}
