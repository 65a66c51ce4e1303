import { expect } from "chai";
import { ok } from "neverthrow";
import type { Result } from "neverthrow";
import { identifier } from "../core/identity/mod.ts";
import type {
  EndpointLink,
  EntryLink,
  LinkFailure,
} from "../core/links/mod.ts";
import { seededRandom } from "../core/random/mod.ts";
import { ManualTimerService } from "../core/time/mod.ts";
import type { EngineTarget } from "../generated/log_records.ts";
import type { WatchAnswer, WatchQuestion } from "../generated/messages.ts";
import { SideCore } from "./mod.ts";

/**
 * Entries that answer a long poll when they have an update, as real ones do.
 */
class FakeEntries {
  #answer: WatchAnswer = { configurationVersion: 0, ordersRead: -1 };
  #pendingPolls: (() => void)[] = [];

  readonly link = {
    watch: (_entry: unknown, question: WatchQuestion) => this.#watch(question),
  } as unknown as EntryLink;

  announce(answer: WatchAnswer): void {
    this.#answer = answer;
    const pending = this.#pendingPolls;
    this.#pendingPolls = [];
    for (const resolvePoll of pending) resolvePoll();
  }

  #watch(
    { report }: WatchQuestion,
  ): Promise<Result<WatchAnswer, LinkFailure>> {
    const { configurationVersion, order } = this.#answer;
    const hasUpdate = configurationVersion > report.configurationVersion ||
      (order?.offset ?? -1) > report.orderTaken;
    if (hasUpdate) return Promise.resolve(ok(this.#answer));
    return new Promise((resolve) => {
      this.#pendingPolls.push(() => resolve(ok(this.#answer)));
    });
  }
}

class FakeEngine {
  readonly orders: EngineTarget[] = [];
  /**
   * Result of an order; a promise that never resolves keeps the order running.
   */
  orderOutcome: Promise<Result<undefined, never>> = Promise.resolve(
    ok(undefined),
  );
  role: "mixed" | "prefill" | "decode" = "mixed";
  weights = "v1";

  readonly link = {
    observe: () =>
      Promise.resolve(ok({
        role: this.role,
        models: [],
        weights: this.weights,
        changing: false,
        running: 0,
        waiting: 0,
        ageMilliseconds: 0,
      })),
    order: (target: EngineTarget) => {
      this.orders.push(target);
      this.role = target.role;
      this.weights = target.weights ?? this.weights;
      return this.orderOutcome;
    },
  } as unknown as EndpointLink;
}

const SERVING = { state: "serving", checksFencing: true } as const;
const DRAINING = { state: "draining", checksFencing: true } as const;
const WITHDRAWN = { state: "withdrawn", checksFencing: true } as const;

describe("SideCore", () => {
  let timer: ManualTimerService;
  let entries: FakeEntries;
  let engine: FakeEngine;
  let side: SideCore;

  beforeEach(() => {
    timer = new ManualTimerService();
    entries = new FakeEntries();
    engine = new FakeEngine();
    side = new SideCore({
      name: identifier("side-0"),
      incarnation: identifier("run-0"),
      endpointId: "engine-7",
      availabilityZone: identifier("petaling"),
      kind: "engine",
      timer,
      random: seededRandom(1),
      endpoint: engine.link,
      entries: entries.link,
      entryAddresses: [identifier("entry-0:1"), identifier("entry-1:1")],
      limits: {
        mostRunning: 4,
        mostWaiting: 4,
        mostKeptAnswers: 10,
        mostKeptAnswerBytes: 1_000,
        shutdownSeconds: 1,
      },
      times: {
        reportMilliseconds: 1_000,
        longestOrderMilliseconds: 1_000,
        watchMilliseconds: 15_000,
        drainMilliseconds: 1_000,
        firstTokenSilenceMilliseconds: 5_000,
        tokenSilenceMilliseconds: 1_000,
      },
    });
    side.start();
  });

  afterEach(() => side.halt());

  function announce(version: number, answer: Partial<WatchAnswer>): void {
    entries.announce({
      configurationVersion: version,
      ordersRead: 9,
      ...answer,
    });
  }

  // An operator withdraws an engine that has an order, and later the engine
  // returns to service. The order is not repeated, so a side that dropped it
  // would leave the engine in its old role for good.
  it("executes the latest order once a withdrawn engine is in service again", async () => {
    announce(1, { endpoint: WITHDRAWN });
    await timer.advance(5_000);
    const order = { offset: 5, claim: 1, target: { role: "decode" as const } };
    announce(1, { endpoint: WITHDRAWN, order });
    await timer.advance(30_000);
    expect(engine.orders).to.deep.equal([]);
    announce(2, { endpoint: SERVING, order });
    await timer.advance(30_000);
    expect(engine.orders).to.deep.equal([{ role: "decode" }]);
  });

  // An operator drains an endpoint while its engine loads weights, which takes
  // minutes. If the side reported `changing`, the operator would wait for a
  // drain that is already in force, and callers would get the answer that the
  // endpoint will soon be back.
  it("reports draining also while it executes an order", async () => {
    engine.orderOutcome = new Promise(() => {});
    announce(1, { endpoint: SERVING });
    const order = { offset: 5, claim: 1, target: { role: "decode" as const } };
    announce(1, { endpoint: SERVING, order });
    await timer.advance(500);
    expect(engine.orders).to.have.length(1);
    expect(side.report().state).to.equal("changing");
    announce(2, { endpoint: DRAINING, order });
    await timer.advance(500);
    expect(side.report().state).to.equal("draining");
  });

  // An availability zone comes back with empty engines whose orders are already
  // on the log. Without a spread, all of them would load from the weight store
  // at once.
  it("spreads the loads that were ordered before it started", async () => {
    const order = {
      offset: 5,
      claim: 1,
      target: { role: "mixed" as const, weights: "v2" },
    };
    announce(1, { endpoint: { ...SERVING, poolEngines: 40 }, order });
    await timer.advance(20_000);
    expect(engine.orders).to.deep.equal([]);
    await timer.advance(20 * 30_000);
    expect(engine.orders).to.have.length(1);
  });

  it("does not delay a load that its planner paced", async () => {
    announce(1, { endpoint: { ...SERVING, poolEngines: 40 } });
    await timer.advance(5_000);
    announce(1, {
      endpoint: { ...SERVING, poolEngines: 40 },
      order: {
        offset: 5,
        claim: 1,
        target: { role: "mixed", weights: "v2" },
      },
    });
    await timer.advance(5_000);
    expect(engine.orders).to.have.length(1);
  });
});
