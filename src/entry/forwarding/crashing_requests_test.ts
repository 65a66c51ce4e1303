import { expect } from "chai";
import {
  CrashingReplicas,
  type CrashingReplicasOptions,
} from "../../../test/support/crashing_replicas.ts";
import { HEALTH_PATH } from "../../../test/support/scripted_replica.ts";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import type { RecordingSink } from "../../../test/support/forwarding_harness.ts";
import {
  ENGINE_POOL,
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePool,
  makePrompt,
  makeRequest,
  makeRoute,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import type { ForwardedRequest, Route } from "../../core/forwarding/mod.ts";
import type { AnsweringProcess } from "./network_interfaces.ts";
import { identifier, type RequestId } from "../../core/identity/mod.ts";

/** Retries that may still reach endpoints after the third crash. */
const MAX_RETRIES = 3;
/** Time after the third crash from which retries are counted. */
const STABLE_MILLISECONDS = 3_000;
const RETRY_MILLISECONDS = 700;
const OTHER_REQUEST_MILLISECONDS = 20;
const CRASHING_BODY = Buffer.from("crashes what runs it");

interface CrashScenarioOptions
  extends Pick<CrashingReplicasOptions, "keepsId"> {
  readonly entries?: number;
  readonly lossRate?: number;
  readonly route?: Partial<Route>;
  /** True: long prompts, which one engine prefills and another decodes. */
  readonly isPrompt?: boolean;
}

/** Entries and replicas, with one caller's request that crashes any replica. */
class CrashScenario {
  readonly fleet: EntryFleet;
  readonly replicas: CrashingReplicas;
  /** Responses to the callers of all other requests. */
  readonly others: RecordingSink[] = [];
  readonly #isPrompt: boolean;
  #count = 0;

  constructor(options: CrashScenarioOptions = {}) {
    const { entries = 5, isPrompt = false, keepsId, lossRate } = options;
    this.#isPrompt = isPrompt;
    const pool = isPrompt ? ENGINES : PORTAL;
    this.fleet = new EntryFleet({
      entries,
      zones: 1,
      lossRate,
      configuration: makeConfiguration({
        routes: [makeRoute({
          shares: [{ pool, weight: 1 }],
          ...options.route,
        })],
        pools: new Map([
          [PORTAL, makePool({ healthPath: HEALTH_PATH })],
          [ENGINES, { ...ENGINE_POOL, healthPath: HEALTH_PATH }],
        ]),
      }),
      endpoints: isPrompt ? engines() : portals(),
    });
    this.replicas = new CrashingReplicas(this.fleet, {
      crashes: ({ body }) => body.equals(CRASHING_BODY),
      keepsId,
    });
  }

  /** Repeats the crashing request, each time at the next entry. */
  async retry(
    times: number,
    milliseconds = RETRY_MILLISECONDS,
  ): Promise<RecordingSink[]> {
    const callers: RecordingSink[] = [];
    for (let time = 0; time < times; time++) {
      callers.push(this.#ask({ body: CRASHING_BODY }, "crashing"));
      await this.#sendOthers(milliseconds);
    }
    return callers;
  }

  askAt(entry: number, values: Partial<ForwardedRequest>): RecordingSink {
    this.#count += 1;
    const id = identifier<RequestId>(`request-${this.#count}`);
    return this.fleet.submit(entry, makeRequest({ id, ...values }));
  }

  /** Sends `count` identical requests at once, to the entries in turn. */
  askAtOnce(values: Partial<ForwardedRequest>, count: number): RecordingSink[] {
    return Array.from({ length: count }, () => this.#ask(values, "popular"));
  }

  /** Sends other requests for this long. */
  async #sendOthers(milliseconds: number): Promise<void> {
    for (let at = 0; at < milliseconds; at += OTHER_REQUEST_MILLISECONDS) {
      const body = Buffer.from(`other ${this.#count}`);
      this.others.push(this.#ask({ body }, `own-${this.#count}`));
      await this.fleet.timer.advance(OTHER_REQUEST_MILLISECONDS);
    }
  }

  #ask(values: Partial<ForwardedRequest>, subject: string): RecordingSink {
    this.#count += 1;
    const entry = this.#count % this.fleet.entries.length;
    return this.fleet.submit(
      entry,
      makeRequest({
        id: identifier<RequestId>(`request-${this.#count}`),
        prompt: this.#isPrompt ? makePrompt(subject) : undefined,
        ...values,
      }),
    );
  }
}

function portals() {
  return ["a", "b", "c", "d"].map((id) => makeEndpoint(id));
}

function engines() {
  return [
    ...["r1", "r2", "r3"].map((id) => makeEngine(id, "prefill")),
    ...["d1", "d2", "d3"].map((id) => makeEngine(id, "decode")),
  ];
}

function expectFewRetries({ replicas }: CrashScenario): void {
  expect(replicas.crashTimes.length).to.be.greaterThan(2);
  expect(replicas.arrivalsAfter(3, STABLE_MILLISECONDS))
    .to.be.at.most(MAX_RETRIES);
}

describe("a request that crashes the endpoints that run it", function () {
  this.timeout(60_000);

  const kinds: Readonly<Record<string, CrashScenarioOptions>> = {
    "that may be repeated": {},
    "that may run once": { route: { repeat: "once" } },
    "that is a resumable stream": {
      isPrompt: true,
      route: { repeat: "stream", resumable: true },
    },
    "whose endpoints restart under the same ids": { keepsId: true },
  };
  for (const [kind, options] of Object.entries(kinds)) {
    describe(kind, () => {
      it("is not forwarded after three crashes", async () => {
        const scenario = new CrashScenario(options);
        await scenario.retry(30);
        expectFewRetries(scenario);
      });
    });
  }

  describe("and other callers", () => {
    it("does not affect them while its endpoints crash", async () => {
      const scenario = new CrashScenario();
      await scenario.retry(30);
      const reasons = scenario.others.map(({ refusal }) => refusal?.reason);
      expect(reasons).not.to.include("crashes_endpoints");
      const answered = scenario.others.filter(({ ended }) => ended === "whole");
      expect(answered.length).to.be.greaterThan(0.95 * scenario.others.length);
    });

    it("is refused as not run, with the remaining block time", async () => {
      const scenario = new CrashScenario();
      const callers = await scenario.retry(12);
      const { refusal } = callers[11];
      expect(refusal).to.deep.include({
        status: 503,
        reason: "crashes_endpoints",
      });
      expect(refusal?.retryAfterMilliseconds).to.be.greaterThan(500_000);
    });
  });

  describe("that many callers send", () => {
    it("is not blocked if endpoints fail together", async () => {
      const scenario = new CrashScenario({ entries: 5 });
      const popular = { method: "GET", body: Buffer.alloc(0) };
      const callers = scenario.askAtOnce(popular, 20);
      await scenario.fleet.timer.advance(10);
      for (const { id } of portals()) scenario.replicas.crash(id);
      await scenario.fleet.timer.advance(3_000);
      const next = scenario.askAtOnce(popular, 5);
      await scenario.fleet.timer.advance(500);
      expect(callers.map(({ status }) => status)).not.to.include(undefined);
      expect(next.map(({ ended }) => ended)).to.deep.equal(
        Array(5).fill("whole"),
      );
    });
  });

  describe("while many callers send another request", () => {
    it("does not cause that one to be blocked at any entry", async () => {
      const scenario = new CrashScenario({ entries: 5 });
      const popular = { method: "GET", body: Buffer.alloc(0) };
      // Each caller uses one entry only; the last entry knows the request from
      // its peers alone.
      const asking = scenario.fleet.timer.every(10, () => {
        for (const entry of [0, 1, 2, 3]) scenario.askAt(entry, popular);
      });
      await scenario.retry(20);
      asking.cancel();
      await scenario.fleet.timer.advance(3_000);
      const caller = scenario.askAt(4, popular);
      await scenario.fleet.timer.advance(200);
      expectFewRetries(scenario);
      expect(caller.ended).to.equal("whole");
    });
  });

  describe("compared with one that faulty endpoints break off", () => {
    const MILLISECONDS_BETWEEN = 1_300;

    /** Responses to one request whose endpoints break off all responses. */
    async function responsesOf(
      { acceptsConnections, process = "expected" }: {
        readonly acceptsConnections: boolean;
        readonly process?: AnsweringProcess;
      },
    ): Promise<RecordingSink[]> {
      const { fleet } = new CrashScenario({
        route: { repeat: "stream", resumable: true, mostAttempts: 3 },
      });
      fleet.acceptsConnections = () => acceptsConnections;
      fleet.answeringProcess = process;
      fleet.onSend = (attempt) => {
        void attempt.head().then(() => attempt.chunk("id: 1\ndata: x\n\n"));
        fleet.timer.after(10, () => void attempt.end("cut"));
      };
      const callers: RecordingSink[] = [];
      for (let count = 0; count < 20; count++) {
        const id = identifier<RequestId>(`sound-${count}`);
        callers.push(fleet.submit(count % 5, makeRequest({ id })));
        await fleet.timer.advance(MILLISECONDS_BETWEEN);
      }
      return callers;
    }

    const reasonsOf = async (options: Parameters<typeof responsesOf>[0]) =>
      (await responsesOf(options)).map(({ refusal }) => refusal?.reason);

    it("is blocked, and that one is not while they accept connections", async () => {
      expect(await reasonsOf({ acceptsConnections: false }))
        .to.include("crashes_endpoints");
      expect(await reasonsOf({ acceptsConnections: true }))
        .not.to.include("crashes_endpoints");
    });

    // The next process at the address was taken for the one that has crashed.
    it("is blocked where other processes accept connections at their addresses", async () => {
      const options = { acceptsConnections: true, process: "other" } as const;
      expect(await reasonsOf(options)).to.include("crashes_endpoints");
    });
  });

  describe("in a large fleet", () => {
    it("is known to all entries even if datagrams are lost", async () => {
      const scenario = new CrashScenario({ entries: 68, lossRate: 0.1 });
      await scenario.retry(30);
      expectFewRetries(scenario);
    });

    it("is known to all entries even if retries arrive quickly", async () => {
      const scenario = new CrashScenario({ entries: 68, lossRate: 0.1 });
      await scenario.retry(60, 100);
      expectFewRetries(scenario);
    });
  });

  describe("after its block", () => {
    it("is known to entries that have started since then", async () => {
      const scenario = new CrashScenario();
      await scenario.retry(10);
      for (const index of scenario.fleet.entries.keys()) {
        scenario.fleet.restart(index);
        await scenario.retry(5);
      }
      expectFewRetries(scenario);
    });
  });
});
