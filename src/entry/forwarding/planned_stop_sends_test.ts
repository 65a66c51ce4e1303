import { expect } from "chai";
import {
  ForwardingHarness,
  type RecordingSink,
} from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import type { Route, SendStep } from "../../core/forwarding/mod.ts";

/** Long enough that only observed times tell when a request ends. */
const BOUND_MILLISECONDS = 60_000;
const WORK_MILLISECONDS = 1_000;
/** A request of `WORK_MILLISECONDS` sent then is cut at the end. */
const LATE_MILLISECONDS = 6_500;
const BODY_BYTES = 9_200;

describe("A request that would be sent late in a planned stop", () => {
  let harness: ForwardingHarness;

  function start(route: Partial<Route>): void {
    harness = new ForwardingHarness(makeConfiguration({
      routes: [
        makeRoute({ timeoutMilliseconds: BOUND_MILLISECONDS, ...route }),
      ],
    }));
  }

  /** Has the entry know how long requests of the route take. */
  async function observe(step: SendStep): Promise<void> {
    const { routeTimes } = harness.dependencies.plannedStop;
    for (let index = 0; index < 20; index++) {
      const time = routeTimes.start("route", step);
      await harness.timer.advance(WORK_MILLISECONDS);
      time.end();
    }
  }

  /** What a stopping entry does while it waits for its open requests. */
  function checkWaiting(): void {
    for (const open of harness.dependencies.openForwards) {
      open.refuseIfTooLate();
    }
  }

  describe("to a plain service", () => {
    async function submit(route: Partial<Route>): Promise<RecordingSink> {
      start(route);
      for (const id of ["a", "b", "c"]) {
        harness.dependencies.registry.upsert(makeEndpoint(id));
      }
      await observe("run");
      harness.dependencies.plannedStop.request();
      return await harness.submit(
        makeRequest({ deadlineMilliseconds: BOUND_MILLISECONDS }),
      );
    }

    // An unsafe request that is passed on and cut must not be repeated, so its
    // caller would lose it; refused as not run, it is repeated elsewhere.
    it("is refused as not run if the replica has rejected it", async () => {
      const caller = await submit({ repeat: "once" });
      await harness.timer.advance(LATE_MILLISECONDS);
      await harness.sent[0].respondNotRun();
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal).to.include({ status: 503, reason: "stopping" });
      expect(caller.refusal?.retryAfterMilliseconds).to.be.within(50, 150);
    });

    // A refusal promises that the request has not run.
    it("is not refused as not run if its first run was lost", async () => {
      const caller = await submit({ repeat: "idempotent" });
      await harness.timer.advance(LATE_MILLISECONDS);
      await harness.sent[0].fail("exchange_lost");
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal).to.include({ status: 502, reason: "unknown" });
    });

    it("gets the failure of its first run rather than another run", async () => {
      const caller = await submit({ repeat: "idempotent" });
      await harness.timer.advance(LATE_MILLISECONDS);
      await harness.sent[0].respond("failure", { status: 500 });
      expect(harness.sent).to.have.length(1);
      expect(caller).to.include({ status: 500, body: "failure" });
    });

    it("is sent again if it may end in time", async () => {
      const caller = await submit({ repeat: "once" });
      await harness.timer.advance(LATE_MILLISECONDS - 1_000);
      await harness.sent[0].respondNotRun();
      expect(harness.sent).to.have.length(2);
      await harness.sent[1].respond("done");
      expect(caller).to.include({ status: 200, body: "done" });
    });

    // Requests that wait at the end of the stop were cut without an answer.
    it("is refused as not run while it waits for a replica", async () => {
      const caller = await submit({ repeat: "once" });
      await harness.sent[0].head({
        status: 503,
        notExecuted: true,
        retryAfterMilliseconds: 20_000,
      });
      for (const index of [1, 2]) {
        await harness.sent[index].head({
          status: 503,
          notExecuted: true,
          retryAfterMilliseconds: 20_000,
        });
      }
      await harness.timer.advance(LATE_MILLISECONDS - 1_000);
      checkWaiting();
      expect(caller.refusal).to.equal(undefined);
      await harness.timer.advance(1_000);
      checkWaiting();
      expect(harness.sent).to.have.length(3);
      expect(caller.refusal).to.include({ status: 503, reason: "stopping" });
    });

    it("is not refused while a replica works on it", async () => {
      const caller = await submit({ repeat: "once" });
      await harness.timer.advance(LATE_MILLISECONDS);
      checkWaiting();
      expect(caller.refusal).to.equal(undefined);
      await harness.sent[0].respond("done");
      expect(caller).to.include({ status: 200, body: "done" });
    });
  });

  describe("with a prompt that is prefilled", () => {
    async function submit(): Promise<RecordingSink> {
      start({
        repeat: "stream",
        mostAttempts: 1,
        shares: [{ pool: ENGINES, weight: 1 }],
      });
      for (const id of ["reader-1", "reader-2"]) {
        harness.dependencies.registry.upsert(makeEngine(id, "prefill"));
      }
      harness.dependencies.registry.upsert(makeEngine("maker-1", "decode"));
      await observe("run");
      await observe("prefill");
      harness.dependencies.plannedStop.request();
      await harness.timer.advance(6_100);
      return await harness.submit(makeRequest({
        prompt: makePrompt("river"),
        body: Buffer.alloc(BODY_BYTES),
        deadlineMilliseconds: BOUND_MILLISECONDS,
      }));
    }

    it("is refused as not run if its prefill ends too late", async () => {
      const caller = await submit();
      expect(harness.sent[0].options.prefillOnly).to.equal(true);
      await harness.timer.advance(300);
      await harness.sent[0].respond("handle-1");
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal).to.include({ status: 503, reason: "stopping" });
      expect(harness.released).to.have.length(1);
    });

    it("is not prefilled again if the first prefill fails too late", async () => {
      const caller = await submit();
      await harness.timer.advance(300);
      await harness.sent[0].fail("exchange_lost");
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal).to.include({ status: 503 });
    });

    it("is refused as not run while its prefill takes too long", async () => {
      const caller = await submit();
      await harness.timer.advance(200);
      checkWaiting();
      expect(caller.refusal).to.include({ status: 503, reason: "stopping" });
      expect(harness.sent[0].aborted).to.equal(true);
    });
  });
});
