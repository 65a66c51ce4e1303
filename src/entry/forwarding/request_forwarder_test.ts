import { expect } from "chai";
import {
  ForwardingBench,
  settled,
} from "../../../test/support/forwarding_bench.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_values.ts";
import type { Route } from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStart,
} from "../../core/identity/mod.ts";

function benchWith(
  route: Partial<Route>,
  options?: ConstructorParameters<typeof ForwardingBench>[1],
): ForwardingBench {
  return new ForwardingBench(
    makeConfiguration({ routes: [makeRoute(route)] }),
    options,
  );
}

describe("forward", () => {
  describe("a request to a plain service", () => {
    function portal(
      route: Partial<Route>,
      options: { readonly repeats?: number } = {},
    ): ForwardingBench {
      const bench = benchWith(route, options);
      for (const id of ["a", "b", "c"]) {
        bench.parts.registry.put(makeEndpoint(id));
      }
      return bench;
    }

    it("gets the endpoint's status, headers and body", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].answer("case 7", {
        status: 201,
        headers: ["A", "b"],
      });
      expect(caller).to.deep.include({
        status: 201,
        headers: ["A", "b"],
        body: "case 7",
        ended: "whole",
      });
    });

    it("is 404 where no route matches", async () => {
      const bench = portal({ pathPrefix: "/other/" });
      const caller = await bench.take(makeRequest());
      expect(caller.refusal?.status).to.equal(404);
    });

    // A booking was sent, and its connection broke. Nobody knows whether it
    // ran; sent again, the permit is booked twice.
    // The replica crashes while it works on a booking and starts again under
    // its id. Nobody can tell whether the booking was made; sent once more or
    // called "not run", it would be made twice.
    it("has an unknown outcome where its replica has started again", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      const [first] = bench.sent;
      const startedAt = numbered<ReplicaStart>(1_000);
      bench.parts.registry.put(
        makeEndpoint(first.options.endpoint, { startedAt }),
      );
      await first.fail("exchange_lost");
      expect(bench.sent).to.have.length(1);
      expect(caller.refusal).to.deep.include({
        status: 502,
        reason: "unknown",
      });
    });

    // The connections to the former run break after the new one has registered.
    // Counted against it, a healthy replica would be passed over.
    it("does not count a former run's failures against the new one", async () => {
      const bench = portal({ repeat: "idempotent", mostAttempts: 1 });
      const startedAt = numbered<ReplicaStart>(1_000);
      for (let count = 0; count < 36; count++) {
        await bench.take(makeRequest());
      }
      bench.parts.registry.put(makeEndpoint("a", { startedAt }));
      for (const attempt of bench.sent) {
        const isFormerRun = attempt.options.endpoint === makeEndpoint("a").id;
        if (isFormerRun) await attempt.fail("exchange_lost");
        else await attempt.answer("done");
      }
      const { outcomes, registry } = bench.parts;
      expect(outcomes.wellAmong([...registry.all])).to.have.length(3);
    });

    it("names the endpoint that it was lost with, and what it asked", async () => {
      const bench = portal({ repeat: "once" });
      const request = makeRequest();
      await bench.take(request);
      await bench.sent[0].fail("exchange_lost");
      const lost = bench.decisions.find((each) =>
        each.decision === "endpoint_lost"
      );
      expect(lost).to.deep.include({
        requestId: request.id,
        route: "route",
        digest: bench.parts.digestOf(request),
        endpoint: bench.sent[0].options.endpoint,
        step: "run",
      });
    });

    it("is not sent again where it may run once only", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].fail("exchange_lost");
      expect(bench.sent).to.have.length(1);
      expect(caller.refusal?.status).to.equal(502);
    });

    it("is sent again where the endpoint vouches that it did not run", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].notRun();
      expect(bench.sent[1].options.endpoint)
        .to.not.equal(bench.sent[0].options.endpoint);
      await bench.sent[1].answer("done");
      expect(caller.body).to.equal("done");
    });

    // The first endpoint lost the answer of a lookup, the second rejects it.
    // "Not run" would be untrue: the first may still be at work on it.
    it("is not called unrun after an earlier send that may have run", async () => {
      const bench = portal({ repeat: "idempotent", mostAttempts: 3 });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].fail("exchange_lost");
      for (const attempt of [1, 2, 3]) await bench.sent[attempt]?.notRun();
      expect(caller.refusal?.status).to.equal(502);
    });

    it("is repeated after a failure where that does no harm", async () => {
      const bench = portal({ repeat: "idempotent" });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].answer("sorry", { status: 500 });
      await bench.sent[1].answer("fine");
      expect(caller.body).to.equal("fine");
    });

    // Every endpoint rejects everything. Without the allowance each request
    // would go round until its deadline and multiply the load.
    it("is refused with a time to come back once the allowance is used", async () => {
      const bench = portal({ repeat: "once" }, { repeats: 0 });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].notRun();
      expect(bench.sent).to.have.length(1);
      expect(caller.refusal?.status).to.equal(503);
      expect(caller.refusal?.retryAfterMilliseconds).to.be.greaterThan(0);
    });

    // The member hangs up. Without the abort the portal works on for nobody.
    it("is aborted when its caller leaves", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      caller.leave();
      expect(bench.sent[0].aborted).to.equal(true);
      expect(bench.parts.load.total(bench.sent[0].options.endpoint).requests)
        .to.equal(0);
    });

    it("is answered at the route's time, truthfully", async () => {
      const bench = portal({ repeat: "once", timeoutMilliseconds: 500 });
      const caller = await bench.take(makeRequest());
      await bench.timer.advance(500);
      expect(caller.refusal?.status).to.equal(504);
      expect(bench.sent[0].aborted).to.equal(true);
    });

    it("hands on the time that is left, not the caller's whole time", async () => {
      const bench = portal({ repeat: "idempotent" });
      await bench.take(makeRequest({ deadlineMilliseconds: 900 }));
      await bench.timer.advance(300);
      await bench.sent[0].fail("exchange_lost");
      expect(bench.sent[0].options.deadlineMilliseconds).to.equal(900);
      expect(bench.sent[1].options.deadlineMilliseconds).to.equal(600);
    });

    it("looks cut off where the endpoint broke off", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      await bench.sent[0].head();
      await bench.sent[0].piece("hal");
      await bench.sent[0].end("cut");
      expect(caller.ended).to.equal("cut");
    });

    it("holds the endpoint back while the caller reads slowly", async () => {
      const bench = portal({ repeat: "once" });
      const caller = await bench.take(makeRequest());
      caller.readsFast = false;
      await bench.sent[0].head();
      await bench.sent[0].piece("x");
      expect(bench.sent[0].paused).to.equal(true);
      caller.drain();
      expect(bench.sent[0].paused).to.equal(false);
    });
  });

  describe("a stream that may be resumed", () => {
    const route: Partial<Route> = {
      repeat: "stream",
      resumable: true,
      mostAttempts: 2,
      shares: [{ pool: ENGINES, weight: 1 }],
    };
    const prompt = makePrompt("river", { shared: 100, own: 100 });

    function engines(): ForwardingBench {
      const bench = benchWith(route);
      bench.parts.registry.put(makeEngine("a", "decode"));
      bench.parts.registry.put(makeEngine("b", "decode"));
      return bench;
    }

    // An engine crashes in the middle of its third event. The foreman's answer
    // goes on at another engine, and he sees neither a gap nor half an event.
    it("goes on at another engine behind the last whole event", async () => {
      const bench = engines();
      const caller = await bench.take(makeRequest({ prompt }));
      const [first] = bench.sent;
      await first.head();
      await first.piece("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
      await first.end("cut");
      const second = bench.sent[1];
      expect(second.options.lastEventId).to.equal("2");
      expect(second.options.endpoint).to.not.equal(first.options.endpoint);
      await second.head({ headers: ["Seal", "another"] });
      await second.piece("id: 3\ndata: c\n\n");
      await second.end();
      expect(caller.body).to.equal(
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
      );
      expect(caller.headers).to.deep.equal([
        "Seal",
        String(first.options.endpoint),
      ]);
      expect(caller.ended).to.equal("whole");
    });

    it("is cut where no further run is allowed", async () => {
      const bench = engines();
      const caller = await bench.take(makeRequest({ prompt }));
      for (const attempt of [0, 1]) {
        await bench.sent[attempt].head();
        await bench.sent[attempt].end("cut");
      }
      expect(bench.sent).to.have.length(2);
      expect(caller.ended).to.equal("cut");
    });
  });

  describe("a long prompt", () => {
    const route: Partial<Route> = {
      repeat: "stream",
      mostAttempts: 1,
      shares: [{ pool: ENGINES, weight: 1 }],
    };

    function fleet(options?: ConstructorParameters<typeof ForwardingBench>[1]) {
      const bench = benchWith(route, options);
      bench.parts.registry.put(makeEngine("reader-1", "prefill"));
      bench.parts.registry.put(makeEngine("reader-2", "prefill"));
      bench.parts.registry.put(makeEngine("maker-1", "decode"));
      bench.parts.registry.put(makeEngine("maker-2", "decode"));
      return bench;
    }

    const BODY_BYTES = 9_200;
    /** Tokens of a prompt that takes an engine longer than the target. */
    const LONGEST_PROMPT = { shared: 1_000, own: 55_000 };

    function ask(
      bench: ForwardingBench,
      subject = "river",
      tokens: Parameters<typeof makePrompt>[1] = {},
    ) {
      return bench.take(makeRequest({
        prompt: makePrompt(subject, tokens),
        body: Buffer.alloc(BODY_BYTES),
        deadlineMilliseconds: 2_000,
      }));
    }

    it("is read by one engine and answered by another", async () => {
      const bench = fleet();
      const caller = await ask(bench);
      expect(bench.sent[0].options.prefillOnly).to.equal(true);
      await bench.sent[0].answer("handle-1");
      expect(bench.sent[1].options.keptPrompt).to.deep.include({
        handle: "handle-1",
        engine: bench.sent[0].options.endpoint,
      });
      await bench.sent[1].answer("verdict");
      expect(caller.body).to.equal("verdict");
      expect(bench.released).to.deep.equal([]);
    });

    // The engine that should read goes dark. Reading runs nothing, so another
    // one may read at once; without that the verdict waits for its deadline.
    it("is read by a second engine where the first says nothing", async () => {
      const bench = fleet();
      await ask(bench);
      await bench.timer.advance(500);
      expect(bench.sent[0].aborted).to.equal(true);
      expect(bench.sent[1].options.prefillOnly).to.equal(true);
      expect(bench.sent[1].options.endpoint)
        .to.not.equal(bench.sent[0].options.endpoint);
    });

    // Both engines fail to read. An engine that decodes could read the prompt
    // as well, and every urgent stream on it would pause meanwhile.
    it("is refused rather than read by an engine that decodes", async () => {
      const bench = fleet();
      const caller = await ask(bench);
      await bench.sent[0].notRun();
      await bench.sent[1].notRun();
      expect(bench.sent).to.have.length(2);
      expect(caller.refusal?.status).to.equal(503);
    });

    // One engine is silent while the other one begins to leave. Two seconds
    // later the first one fails, and the prompt is sent to the other by what was
    // known at its arrival; that engine ends, and the caller's answer with it.
    it("is not read by an engine that has begun to leave meanwhile", async () => {
      const bench = fleet();
      const caller = await ask(bench);
      const asked = bench.sent[0].options.endpoint;
      const other = asked === "reader-1" ? "reader-2" : "reader-1";
      bench.parts.registry.put(makeEngine(other, "prefill", { leaving: true }));
      await bench.sent[0].notRun();
      expect(bench.sent.map(({ options }) => options.endpoint))
        .to.not.include(other);
      expect(caller.refusal?.status).to.equal(503);
    });

    // The engine that has read the prompt crashes and starts again under its
    // id while the answer is turned away elsewhere. Its cache is gone: an answer
    // that is sent after it is turned away until the caller gives up.
    it("is read anew where its cache was lost with the engine's run", async () => {
      const bench = fleet();
      const { registry } = bench.parts;
      await ask(bench);
      await bench.sent[0].answer("handle-1");
      const reader = bench.sent[0].options.endpoint;
      const startedAt = numbered<ReplicaStart>(1_000);
      registry.put(makeEngine(reader, "prefill", { startedAt }));
      await bench.sent[1].notRun(503);
      expect(bench.sent[2].options.prefillOnly).to.equal(true);
    });

    // An engine whose role has just changed turns the answer away. Reading the
    // prompt again would cost an engine 25 ms for nothing.
    it("keeps its cache when an engine turns the answer away", async () => {
      const bench = fleet();
      await ask(bench);
      await bench.sent[0].answer("handle-1");
      await bench.sent[1].notRun(421);
      expect(bench.sent[2].options.keptPrompt?.handle).to.equal("handle-1");
      expect(bench.sent[2].options.endpoint)
        .to.not.equal(bench.sent[1].options.endpoint);
    });

    // An engine answers 421 for seconds, until its registration tells of its
    // new role. Asked again by every request, it used up the repeats of all.
    it("leaves an engine alone that has turned one away as misdirected", async () => {
      const bench = fleet();
      await ask(bench);
      await bench.sent[0].answer("handle-1");
      const turnedAway = bench.sent[1].options.endpoint;
      await bench.sent[1].notRun(421);
      for (let index = 0; index < 5; index++) {
        const count = bench.sent.length;
        await ask(bench, `subject-${index}`);
        await bench.sent[count].answer(`handle-${index}`);
        expect(bench.sent[count + 1].options.endpoint)
          .to.not.equal(turnedAway);
      }
    });

    // Both engines that decode crash at once and are back after 1.2 s. Asked
    // again by every request in turn, they cost hundreds of connections, and
    // callers are refused whose prompts are read and who would have waited.
    it("waits for an engine that decodes, and asks few times", async () => {
      const bench = fleet();
      let isDown = true;
      let refusedConnections = 0;
      bench.onSend = (attempt) => {
        if (attempt.options.prefillOnly) return void attempt.answer("handle");
        if (!isDown) return void attempt.answer("verdict");
        refusedConnections += 1;
        void attempt.fail("exchange_not_sent");
      };
      const callers = [];
      for (let index = 0; index < 40; index++) {
        callers.push(await ask(bench, `s${index}`));
        await bench.timer.advance(30);
      }
      isDown = false;
      await bench.timer.advance(300);
      await settled();
      const served = callers.filter(({ body }) => body === "verdict");
      expect(served).to.have.length(40);
      // Two engines, one question each 200 ms.
      expect(refusedConnections).to.be.below(20);
    });

    // No engine is back before callers leave. Held to the end they would hear
    // nothing at all, and not come back in time.
    it("is refused in time where no engine that decodes comes back", async () => {
      const bench = fleet();
      bench.onSend = (attempt) => {
        if (attempt.options.prefillOnly) return void attempt.answer("handle");
        void attempt.fail("exchange_not_sent");
      };
      const caller = await ask(bench);
      // The stand-in answers piece by piece, a turn of the loop each.
      await settled();
      await bench.timer.advance(1_600);
      expect(caller.refusal).to.equal(undefined);
      await bench.timer.advance(150);
      expect(caller.refusal?.status).to.equal(503);
      expect(bench.released).to.deep.equal(["handle"]);
    });

    it("frees its cache when the caller leaves", async () => {
      const bench = fleet();
      const caller = await ask(bench);
      await bench.sent[0].answer("handle-1");
      caller.leave();
      expect(bench.released).to.deep.equal(["handle-1"]);
    });

    // Callers have different time budgets. One with little time passed for a
    // caller that had waited before, and its prompt was read behind all others
    // on engines that stood idle.
    it("is read at once for a caller with a shorter deadline than others", async () => {
      const bench = fleet();
      await ask(bench, "first");
      await bench.take(makeRequest({
        prompt: makePrompt("second"),
        deadlineMilliseconds: 1_700,
      }));
      expect(bench.decisions[1]).to.include({ step: "prefill", late: false });
    });

    // A caller was refused in an overload and comes back. Its answer is late
    // anyhow; read first, it makes another one late as well.
    it("is read behind others for a caller that was refused before", async () => {
      const bench = fleet();
      bench.parts.returning.refused("river-own", 0);
      await bench.timer.advance(400);
      await ask(bench);
      expect(bench.decisions[0]).to.include({
        step: "prefill",
        late: true,
        waitedMilliseconds: 400,
      });
    });

    // The caller hangs up while the owners of engines are asked for their load.
    // An engine would read its prompt for nobody, and callers behind it wait.
    for (const kind of ["on time", "late"]) {
      it(`is not sent on for a caller that leaves meanwhile, ${kind}`, async () => {
        const bench = fleet();
        Object.assign(bench.parts, {
          isLoadStale: () => true,
          refreshLoad: () =>
            new Promise<void>((resolve) => {
              bench.timer.after(3, resolve);
            }),
        });
        if (kind === "late") bench.parts.returning.refused("river-own", 400);
        const caller = await ask(bench);
        await bench.timer.advance(kind === "late" ? 4 : 1);
        caller.leave();
        await bench.timer.advance(100);
        await settled();
        expect(bench.sent).to.deep.equal([]);
      });
    }

    // A burst comes to an entry on a thin link; the engines have room. Sent on
    // as they come, the last ones reach an engine after half a second, when
    // each of them is late, and the engine reads them for nothing.
    it("is refused at once where it would wait for the entry's link", async () => {
      const bench = fleet({ linkMegabitsPerSecond: 7 });
      const callers = [];
      for (let index = 0; index < 30; index++) {
        callers.push(await ask(bench, `s${index}`));
      }
      const refused = callers.filter(({ refusal }) => refusal !== undefined);
      const admitted = bench.sent.length + bench.parts.held.count;
      expect(admitted).to.be.within(4, 10);
      expect(refused).to.have.length(30 - admitted);
      expect(refused[0].refusal?.reason).to.equal("entry_full");
      // The line that tells of it has what decided: the engines alone would
      // have been in time for the target of 150 ms.
      const line = bench.decisions.find((each) => each.decision === "refused");
      expect(line?.entryMilliseconds).to.be.greaterThan(75);
      expect(line?.onTimeMilliseconds).to.be.lessThan(0.85 * 150);
      // Soon enough that another entry can still answer on time.
      expect(refused[0].refusal?.retryAfterMilliseconds).to.be.within(20, 50);
      await bench.timer.advance(200);
      expect((await ask(bench, "next")).refusal).to.equal(undefined);
    });

    it("is refused at once where the entry's loop is late", async () => {
      const bench = fleet();
      bench.loopDelay = 100;
      expect((await ask(bench)).refusal?.reason).to.equal("entry_full");
    });

    // A prompt of 55,000 tokens takes longer to read than its target allows,
    // on engines that stand idle. One of two dozen entries, which has a few
    // repeats only, refused such prompts for its first seconds.
    it("is read for a late answer where few repeats are allowed", async () => {
      const bench = fleet({ repeats: 4 });
      const caller = await ask(bench, "letter", LONGEST_PROMPT);
      expect(caller.refusal).to.equal(undefined);
      expect(bench.sent[0].options.prefillOnly).to.equal(true);
      expect(bench.decisions[0]).to.include({ step: "prefill", late: true });
    });

    // Late prompts that wait at engines are rejected at their deadline, each
    // rejection counts as a repeat, and none are left for requests whose engine
    // failed. Held back here they cost no repeat, however many there are.
    it("is held back and costs no repeat where it would be late", async () => {
      const bench = fleet({ repeats: 0 });
      for (const reader of ["reader-1", "reader-2"]) {
        bench.parts.load.started(identifier<EndpointId>(reader), {
          milliseconds: 400,
          tokens: 0,
        });
      }
      const caller = await ask(bench);
      expect(caller.refusal).to.equal(undefined);
      await bench.timer.advance(1_750);
      expect(bench.sent).to.deep.equal([]);
      expect(caller.refusal).to.include({
        status: 503,
        reason: "engines_full",
      });
    });

    it("is read once an engine is nearly idle, the most urgent first", async () => {
      const bench = fleet();
      const tickets = ["reader-1", "reader-2"].map((reader) =>
        bench.parts.load.started(identifier<EndpointId>(reader), {
          milliseconds: 400,
          tokens: 0,
        })
      );
      await ask(bench, "first");
      await ask(bench, "second");
      await bench.timer.advance(300);
      expect(bench.sent).to.deep.equal([]);
      tickets[0].end();
      await bench.timer.advance(25);
      expect(bench.sent[0].request.prompt).to.deep.equal(makePrompt("first"));
      expect(bench.sent[0].options.endpoint).to.equal("reader-1");
    });

    it("is refused at once where it can't be answered by its deadline", async () => {
      const bench = fleet();
      for (let index = 0; index < 200; index++) await ask(bench, `s${index}`);
      const caller = await ask(bench, "last");
      expect(caller.refusal?.status).to.equal(503);
    });
  });
});
