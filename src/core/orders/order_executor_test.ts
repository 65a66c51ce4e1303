import { expect } from "chai";
import fc from "fast-check";
import { FakeEngine } from "../../../test/support/fake_engine.ts";
import type { EngineTarget } from "../../generated/log_records.ts";
import { identifier } from "../identity/mod.ts";
import { ManualTimerService, sleep } from "../time/mod.ts";
import {
  OrderExecutor,
  type OrderExecutorGuards,
  type OrderExecutorOptions,
} from "./mod.ts";

const MAX_ORDER_MILLISECONDS = 20_000;

describe("OrderExecutor", () => {
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = new ManualTimerService();
  });

  function makeEngine(
    checksFencing: boolean,
    changeMilliseconds = 3_000,
  ): FakeEngine {
    return new FakeEngine({ timer, checksFencing, changeMilliseconds });
  }

  function startExecutor(
    engine: FakeEngine,
    options: Partial<OrderExecutorOptions> = {},
  ) {
    const calls: string[] = [];
    const executor = new OrderExecutor({
      endpointId: "triage-1",
      endpoint: engine.link(),
      timer,
      checksFencing: true,
      incarnation: identifier("run"),
      longestOrderMilliseconds: MAX_ORDER_MILLISECONDS,
      drain: () => {
        calls.push("drain");
        return Promise.resolve();
      },
      resume: () => calls.push("resume"),
      observe: (event) => calls.push(event.kind),
      ...options,
    });
    return { executor, calls };
  }

  function order(offset: number, role: EngineTarget["role"]) {
    return { offset, claim: 0, target: { role } };
  }

  it("drains, changes, confirms and resumes service", async () => {
    const engine = makeEngine(true);
    const { executor, calls } = startExecutor(engine);
    executor.take(order(5, "decode"));
    await timer.advance(10_000);
    expect(calls).to.deep.equal([
      "drain",
      "order_sent",
      "order_done",
      "resume",
    ]);
    expect(executor.applied).to.equal(5);
    expect(engine.state.role).to.equal("decode");
  });

  // Long streams run at the engine when its role is to change. An order sent
  // before they end would cut off their answers.
  it("sends no order before the drain has completed", async () => {
    const engine = makeEngine(true);
    let drained = () => {};
    const { executor } = startExecutor(engine, {
      drain: () => new Promise((resolve) => drained = resolve),
    });
    executor.take(order(5, "decode"));
    await timer.advance(60_000);
    expect(engine.received).to.deep.equal([]);
    drained();
    await timer.advance(10_000);
    expect(executor.applied).to.equal(5);
  });

  // Two orders arrive during the drain. The older one is obsolete; sending it
  // anyway would take the engine out of service twice.
  it("sends only the newest order", async () => {
    const engine = makeEngine(true);
    let drained = () => {};
    const { executor } = startExecutor(engine, {
      drain: () => new Promise((resolve) => drained = resolve),
    });
    executor.take(order(5, "decode"));
    await timer.advance(1_000);
    executor.take(order(7, "prefill"));
    executor.take(order(6, "mixed"));
    drained();
    await timer.advance(10_000);
    expect(engine.received).to.deep.equal([7]);
    expect(executor.applied).to.equal(7);
  });

  // A newer order arrives while the engine is changing. Sent immediately, the
  // two would conflict inside the engine.
  it("waits for a change in progress before the next order", async () => {
    const engine = makeEngine(false);
    const { executor } = startExecutor(engine, { checksFencing: false });
    executor.take(order(5, "decode"));
    await timer.advance(MAX_ORDER_MILLISECONDS + 1_000);
    executor.take(order(6, "prefill"));
    await timer.advance(30_000);
    expect(engine.received).to.deep.equal([5, 6]);
    expect(engine.conflicts).to.deep.equal([]);
    expect(executor.applied).to.equal(6);
  });

  // The engine reports its state with a lag of seconds: right after an order it
  // still appears idle in its old state. A newer order for this state would
  // count as reached while the older one is being executed.
  it("discards observations from before its last order", async () => {
    const engine = makeEngine(true, 8_000);
    const { executor } = startExecutor(engine);
    await timer.advance(MAX_ORDER_MILLISECONDS);
    executor.take(order(5, "decode"));
    await timer.advance(300);
    engine.faults.ageMilliseconds = 5_000;
    executor.take(order(6, "mixed"));
    await timer.advance(4_000);
    expect(executor.applied).to.equal(-1);
    await timer.advance(30_000);
    expect(executor.applied).to.equal(6);
    expect(engine.state.role).to.equal("mixed");
    expect(engine.conflicts).to.deep.equal([]);
  });

  // The engine crashes during a change and restarts in its initial state.
  // Resuming service then would run work in the wrong role; a new order would
  // duplicate the one in force.
  it("sends the same order again after a crash during the change", async () => {
    const engine = makeEngine(true);
    const { executor, calls } = startExecutor(engine);
    executor.take(order(5, "decode"));
    await timer.advance(1_000);
    engine.crash(4_000);
    await timer.advance(30_000);
    expect(engine.received).to.deep.equal([5, 5]);
    expect(engine.state.role).to.equal("decode");
    expect(calls.filter((call) => call === "resume")).to.have.length(1);
  });

  // The engine crashes long after its change and restarts in another role. No
  // new order is on the log, as the target is the same.
  it("detects that an engine has lost its state", async () => {
    const engine = makeEngine(true);
    const { executor } = startExecutor(engine);
    executor.take(order(5, "decode"));
    await timer.advance(10_000);
    engine.crash(1_000);
    await timer.advance(20_000);
    expect(engine.state.role).to.equal("decode");
    expect(engine.received).to.deep.equal([5, 5]);
  });

  // The order is executed and its answer is lost. The side must find out by
  // observation and not take the engine out of service a second time.
  it("confirms an executed order whose answer was lost", async () => {
    const engine = makeEngine(true);
    const { executor } = startExecutor(engine);
    engine.faults.lostAnswers = 1;
    executor.take(order(5, "decode"));
    await timer.advance(30_000);
    expect(executor.applied).to.equal(5);
    expect(engine.received).to.deep.equal([5]);
  });

  // An order to an engine that ignores fencing is delayed, and a newer one
  // overtakes it. The old one would undo the new one when it arrives.
  it("sends no other order while an earlier one can still arrive", async () => {
    const engine = makeEngine(false);
    const { executor } = startExecutor(engine, { checksFencing: false });
    await timer.advance(MAX_ORDER_MILLISECONDS);
    engine.faults.lateOrders = 1;
    engine.faults.lateMilliseconds = 15_000;
    executor.take(order(5, "decode"));
    await timer.advance(1_000);
    executor.take(order(6, "prefill"));
    await timer.advance(60_000);
    expect(engine.conflicts).to.deep.equal([]);
    expect(engine.received).to.deep.equal([5, 6]);
    expect(executor.applied).to.equal(6);
  });

  // An order is delayed, and the newest one targets the state that the engine
  // is still in. If that counted as reached, the older order would arrive
  // afterwards and win.
  it("does not confirm a state that an order in flight can undo", async () => {
    const engine = makeEngine(true);
    const { executor } = startExecutor(engine);
    await timer.advance(MAX_ORDER_MILLISECONDS);
    engine.faults.lateOrders = 1;
    engine.faults.lateMilliseconds = 15_000;
    executor.take(order(5, "decode"));
    await timer.advance(1_000);
    executor.take(order(6, "mixed"));
    await timer.advance(60_000);
    expect(engine.received).to.deep.equal([6]);
    expect(executor.applied).to.equal(6);
  });

  // An order of a side's earlier run arrives while the next run drains for a
  // newer one, which takes long. Sent right after the drain, the newer order
  // would reach the engine during the older change.
  it("observes the engine again after a long drain", async () => {
    const engine = makeEngine(true, 10_000);
    engine.faults.lateOrders = 1;
    engine.faults.lateMilliseconds = 4_000;
    void engine.link().order({ role: "decode" }, 5);
    await timer.advance(100);
    const { executor } = startExecutor(engine, {
      drain: () => sleep(timer, 8_000),
    });
    executor.take(order(6, "prefill"));
    await timer.advance(90_000);
    expect(engine.received).to.deep.equal([5, 6]);
    expect(engine.conflicts).to.deep.equal([]);
    expect(executor.applied).to.equal(6);
  });

  // The side is killed right after it has sent an order, and its next run gets
  // a newer one. An engine that ignores fencing would get both.
  it("waits after its start for orders of its earlier run", async () => {
    const engine = makeEngine(false);
    engine.faults.lateOrders = 1;
    engine.faults.lateMilliseconds = 15_000;
    const first = startExecutor(engine, { checksFencing: false });
    void engine.link().order({ role: "decode" }, 5);
    first.executor.stop();
    await timer.advance(100);
    const second = startExecutor(engine, { checksFencing: false });
    second.executor.take(order(6, "prefill"));
    await timer.advance(60_000);
    expect(engine.conflicts).to.deep.equal([]);
    expect(engine.received).to.deep.equal([5, 6]);
    expect(second.executor.applied).to.equal(6);
  });

  // The side is killed right after it has sent an order. Its next run would
  // accept requests, and the order would arrive while they run.
  it("stays out of service while an order of its earlier run may arrive", async () => {
    const engine = makeEngine(false);
    engine.faults.lateOrders = 1;
    engine.faults.lateMilliseconds = 15_000;
    void engine.link().order({ role: "decode" }, 5);
    await timer.advance(100);
    const { calls, executor } = startExecutor(engine, { checksFencing: false });
    executor.take(order(5, "decode"));
    await timer.advance(14_000);
    expect(calls).to.deep.equal(["drain"]);
    await timer.advance(30_000);
    expect(calls.at(-1)).to.equal("resume");
    expect(engine.conflicts).to.deep.equal([]);
  });

  // The side restarts while its engine executes an order. Sending immediately
  // would give the engine two orders at the same time.
  it("waits for a change in progress after its own restart", async () => {
    const engine = makeEngine(true);
    const first = startExecutor(engine);
    first.executor.take(order(5, "decode"));
    await timer.advance(500);
    first.executor.stop();
    const second = startExecutor(engine);
    second.executor.take(order(6, "prefill"));
    await timer.advance(30_000);
    expect(engine.received).to.deep.equal([5, 6]);
    expect(engine.conflicts).to.deep.equal([]);
  });

  // The side restarts, its relay is behind, and it sends an order that the
  // engine refuses as old. It must not send it again and again.
  it("does not repeat an order that the engine refuses as old", async () => {
    const engine = makeEngine(true);
    void engine.link().order({ role: "prefill" }, 9);
    await timer.advance(5_000);
    const { executor, calls } = startExecutor(engine);
    executor.take(order(5, "decode"));
    await timer.advance(30_000);
    expect(executor.state).to.equal("fenced");
    expect(engine.received).to.deep.equal([9]);
    expect(calls.filter((call) => call === "order_sent")).to.have.length(1);
    executor.take(order(9, "prefill"));
    await timer.advance(30_000);
    expect(executor.applied).to.equal(9);
  });

  // The weight store is at its limit and the engine refuses the order. Staying
  // drained would keep a working engine out of service for nothing.
  it("resumes service while the engine refuses the order", async () => {
    const engine = makeEngine(true);
    const { executor, calls } = startExecutor(engine);
    engine.faults.refusals = 1;
    executor.take(order(5, "decode"));
    await timer.advance(1_000);
    expect(calls).to.deep.equal(["drain", "order_sent", "resume"]);
    expect(executor.outOfService).to.equal(false);
    await timer.advance(20_000);
    expect(executor.applied).to.equal(5);
  });

  // Every engine of a pool is to load new weights. Draining before a permit of
  // the weight store is granted would empty the pool.
  it("waits for the load budget before it drains", async () => {
    const engine = makeEngine(true);
    let grant: (release: () => void) => void = () => {};
    let released = 0;
    const { executor, calls } = startExecutor(engine, {
      acquireWeights: () => new Promise((resolve) => grant = resolve),
    });
    await timer.advance(MAX_ORDER_MILLISECONDS);
    const target = { role: "mixed" as const, weights: "v2" };
    executor.take({ offset: 5, claim: 0, target });
    await timer.advance(60_000);
    expect(calls).to.deep.equal([]);
    grant(() => released += 1);
    await timer.advance(10_000);
    expect(executor.applied).to.equal(5);
    expect(released).to.equal(1);
  });

  it("keeps waiting while the engine is down", async () => {
    const engine = makeEngine(true);
    const { executor } = startExecutor(engine);
    engine.faults.down = true;
    executor.take(order(5, "decode"));
    await timer.advance(120_000);
    engine.faults.down = false;
    await timer.advance(10_000);
    expect(executor.applied).to.equal(5);
  });

  // Orders, lost and late deliveries, crashes and restarts of the side occur in
  // any sequence. An engine may never get an older order after a newer one, two
  // at once, or one before it is drained, and must end in the state of the last
  // order.
  for (const checksFencing of [true, false]) {
    const kind = checksFencing ? "checks" : "ignores";
    it(`never conflicts at an engine that ${kind} fencing`, async () => {
      const result = await searchSchedules({ checksFencing });
      expect(result.counterexample).to.equal(null);
    });
  }

  // A search that doesn't fail without a guard proves nothing about it. An
  // engine that ignores fencing is protected from a change in progress by the
  // longer wait.
  const guards: Record<keyof OrderExecutorGuards, boolean> = {
    drains: false,
    waitsForEarlierOrders: false,
    waitsForChanges: true,
    checksAge: false,
  };
  for (const [guard, checksFencing] of Object.entries(guards)) {
    it(`conflicts in some schedule without ${guard}`, async () => {
      const result = await searchSchedules({
        checksFencing,
        guards: { [guard]: false },
      });
      expect(result.failed).to.equal(true);
    });
  }

  const step = fc.record({
    wait: fc.integer({ min: 0, max: 15_000 }),
    kind: fc.constantFrom(
      "order",
      "order",
      "order",
      "lostAnswers",
      "lostOrders",
      "lateOrders",
      "refusals",
      "crash",
      "restart",
      "age",
    ),
    role: fc.constantFrom<EngineTarget["role"]>("mixed", "prefill", "decode"),
  });

  type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
  type SearchOptions = Pick<OrderExecutorOptions, "checksFencing" | "guards">;

  function searchSchedules(options: SearchOptions) {
    return fc.check(
      fc.asyncProperty(
        fc.array(step, { maxLength: 14 }),
        (steps) => runSchedule(steps, options),
      ),
      { numRuns: 200, seed: 20 },
    );
  }

  async function runSchedule(steps: readonly Step[], options: SearchOptions) {
    timer = new ManualTimerService();
    const engine = makeEngine(options.checksFencing === true, 6_000);
    let { calls, executor } = startExecutor(engine, options);
    let newest = order(1, "decode");
    executor.take(newest);
    for (const { kind, role, wait } of steps) {
      if (kind === "order") {
        newest = order(newest.offset + 1, role);
        executor.take(newest);
      } else if (kind === "crash") engine.crash(wait);
      else if (kind === "age") engine.faults.ageMilliseconds = wait % 8_000;
      else if (kind === "restart") {
        executor.stop();
        expectDrained(calls);
        ({ calls, executor } = startExecutor(engine, options));
        executor.take(newest);
      } else {
        engine.faults[kind] = 1;
        engine.faults.lateMilliseconds = wait;
      }
      await timer.advance(wait);
    }
    await timer.advance(200_000);
    expectDrained(calls);
    expect(engine.conflicts).to.deep.equal([]);
    expect(engine.state.role).to.equal(newest.target.role);
    expect(executor.applied).to.equal(newest.offset);
  }

  /** Checks that every order was sent between a drain and the next resume. */
  function expectDrained(calls: readonly string[]): void {
    let drained = false;
    for (const call of calls) {
      if (call === "drain") drained = true;
      else if (call === "resume") drained = false;
      else if (call === "order_sent") expect(drained).to.equal(true);
    }
  }
});
