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

/** Entries that answer a question when they have news, as the real ones do. */
class ScriptedEntries {
  #answer: WatchAnswer = { configurationVersion: 0, ordersRead: -1 };
  #waiting: (() => void)[] = [];

  readonly link = {
    watch: (_entry: unknown, question: WatchQuestion) => this.#watch(question),
  } as unknown as EntryLink;

  tell(answer: WatchAnswer): void {
    this.#answer = answer;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }

  #watch(
    { report }: WatchQuestion,
  ): Promise<Result<WatchAnswer, LinkFailure>> {
    const { configurationVersion, order } = this.#answer;
    const isNews = configurationVersion > report.configurationVersion ||
      (order?.offset ?? -1) > report.orderTaken;
    if (isNews) return Promise.resolve(ok(this.#answer));
    return new Promise((resolve) => {
      this.#waiting.push(() => resolve(ok(this.#answer)));
    });
  }
}

class OneEngine {
  readonly orders: EngineTarget[] = [];
  /** What an order answers; one that never settles is under way for good. */
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
  let entries: ScriptedEntries;
  let engine: OneEngine;
  let side: SideCore;

  beforeEach(() => {
    timer = new ManualTimerService();
    entries = new ScriptedEntries();
    engine = new OneEngine();
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

  function tell(version: number, answer: Partial<WatchAnswer>): void {
    entries.tell({ configurationVersion: version, ordersRead: 9, ...answer });
  }

  // An order stands when an operator withdraws the engine, and later the engine
  // comes back. Nobody repeats the order, so a side that dropped it would leave
  // the engine in its old role for good.
  it("carries out the standing order once a withdrawn engine is back", async () => {
    tell(1, { endpoint: WITHDRAWN });
    await timer.advance(5_000);
    const order = { offset: 5, claim: 1, target: { role: "decode" as const } };
    tell(1, { endpoint: WITHDRAWN, order });
    await timer.advance(30_000);
    expect(engine.orders).to.deep.equal([]);
    tell(2, { endpoint: SERVING, order });
    await timer.advance(30_000);
    expect(engine.orders).to.deep.equal([{ role: "decode" }]);
  });

  // An operator drains an endpoint while its engine loads weights, which takes
  // minutes. Told that the endpoint only changes, the operator waits for a drain
  // that has long been in force, and callers hear that it will soon be back.
  it("tells that it drains, also while it carries out an order", async () => {
    engine.orderOutcome = new Promise(() => {});
    tell(1, { endpoint: SERVING });
    const order = { offset: 5, claim: 1, target: { role: "decode" as const } };
    tell(1, { endpoint: SERVING, order });
    await timer.advance(500);
    expect(engine.orders).to.have.length(1);
    expect(side.report().state).to.equal("changing");
    tell(2, { endpoint: DRAINING, order });
    await timer.advance(500);
    expect(side.report().state).to.equal("draining");
  });

  // A zone comes back with empty engines, and the order of each stands on the
  // log. Without a spread all of them ask the weight store at once.
  it("spreads the loads that stood when it started", async () => {
    const order = {
      offset: 5,
      claim: 1,
      target: { role: "mixed" as const, weights: "v2" },
    };
    tell(1, { endpoint: { ...SERVING, poolEngines: 40 }, order });
    await timer.advance(20_000);
    expect(engine.orders).to.deep.equal([]);
    await timer.advance(20 * 30_000);
    expect(engine.orders).to.have.length(1);
  });

  it("does not hold back a load that its planner paced", async () => {
    tell(1, { endpoint: { ...SERVING, poolEngines: 40 } });
    await timer.advance(5_000);
    tell(1, {
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
