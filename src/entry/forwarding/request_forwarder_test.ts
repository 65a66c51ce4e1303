import { expect } from "chai";
import {
  flushPromises,
  ForwardingHarness,
} from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import { learnOtherNumbering } from "../../../test/support/other_numbering.ts";
import type { Route } from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestId,
} from "../../core/identity/mod.ts";

function makeHarness(
  route: Partial<Route>,
  options?: ConstructorParameters<typeof ForwardingHarness>[1],
): ForwardingHarness {
  return new ForwardingHarness(
    makeConfiguration({ routes: [makeRoute(route)] }),
    options,
  );
}

describe("forward", () => {
  describe("a request to a plain service", () => {
    function portal(
      route: Partial<Route>,
      options: {
        readonly repeats?: number;
        readonly bufferBytes?: number;
      } = {},
    ): ForwardingHarness {
      const harness = makeHarness(route, options);
      for (const id of ["a", "b", "c"]) {
        harness.dependencies.registry.upsert(makeEndpoint(id));
      }
      return harness;
    }

    it("gets the endpoint's status, headers and body", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].respond("case 7", {
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

    it("is refused with 404 if no route matches", async () => {
      const harness = portal({ pathPrefix: "/other/" });
      const caller = await harness.submit(makeRequest());
      expect(caller.refusal?.status).to.equal(404);
    });

    // A part that crashes engines would count as sound, as a body came behind
    // the rejection of another request with it.
    it("is no proof that an endpoint bears it where it is rejected", async () => {
      const harness = portal({ repeat: "once" });
      const { crashes, partDigestOf } = harness.dependencies;
      await harness.submit(makeRequest({ prompt: makePrompt("river") }));
      await harness.sent[0].head({ status: 503, notExecuted: true });
      await harness.sent[0].chunk("full");
      await harness.timer.advance(300);
      expect(crashes.recentProofAge(partDigestOf(PORTAL, "all")))
        .to.equal(undefined);
    });

    // Node throws on a head or an id that it can't write, and a rejected promise
    // that nothing handles ends the process with all its requests.
    describe("whose handling throws", () => {
      const faults: Readonly<
        Record<string, (harness: ForwardingHarness) => void>
      > = {
        "before its send": (harness) => {
          harness.onSend = () => {
            throw new TypeError("Invalid character in header content");
          };
        },
        "at the head of its answer": (harness) => {
          harness.onSend = (attempt) => {
            void attempt.respond("x", { headers: null as never });
          };
        },
        "at the first bytes of its answer": (harness) => {
          harness.onSend = (attempt) => {
            const { link } = harness.dependencies;
            link.recordSent = () => {
              Reflect.deleteProperty(link, "recordSent");
              throw new TypeError("Invalid chunk");
            };
            void attempt.respond("x");
          };
        },
      };
      for (const [when, inject] of Object.entries(faults)) {
        it(`is answered 502 or broken off alone, ${when}`, async () => {
          const harness = portal({ repeat: "once" });
          const { load, registry } = harness.dependencies;
          inject(harness);
          const caller = await harness.submit(makeRequest());
          await flushPromises();
          harness.onSend = undefined;
          const other = await harness.submit(makeRequest());
          await harness.sent.at(-1)?.respond("fine");
          expect(caller.ended ?? caller.status).to.be.oneOf(["cut", 502]);
          expect(other.body).to.equal("fine");
          const open = [...registry.all].map(({ id }) =>
            load.total(id).requests
          );
          expect(open.every((count) => count === 0)).to.equal(true);
          expect(harness.decisions.map(({ decision }) => decision))
            .to.include("faulted");
        });
      }
    });

    // A rejection that comes twice on one connection would be taken for the
    // answer to the second send, which has the same id.
    it("is marked as repeated where an endpoint gets it again", async () => {
      const harness = makeHarness({ repeat: "once" });
      for (const id of ["a", "b"]) {
        harness.dependencies.registry.upsert(makeEndpoint(id));
      }
      await harness.submit(makeRequest());
      for (const index of [0, 1, 2]) await harness.sent[index].respondNotRun();
      const addresses = harness.sent.map(({ options }) => options.address);
      expect(harness.sent.map(({ options }) => options.isRepeated))
        .to.deep.equal(
          addresses.map((each, index) => addresses.indexOf(each) < index),
        );
      expect(addresses.length).to.equal(4);
    });

    // The replica crashes while it works on a booking and restarts under the
    // same id, and the connection breaks. It is unknown whether the booking was
    // made; sent again, or reported as "not run" and retried by the caller, it
    // would be made twice.
    it("has an unknown outcome if its replica restarts", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      const [first] = harness.sent;
      const startedAt = numbered<ReplicaStartTime>(1_000);
      harness.dependencies.registry.upsert(
        makeEndpoint(first.options.endpoint, { startedAt }),
      );
      await first.fail("exchange_lost");
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal).to.deep.include({
        status: 502,
        reason: "unknown",
      });
    });

    // Connections to the previous run break after the new run has registered.
    // If these failures counted against it, a healthy replica would be
    // excluded.
    it("does not count failures of a previous run against the new one", async () => {
      const harness = portal({ repeat: "idempotent", mostAttempts: 1 });
      const startedAt = numbered<ReplicaStartTime>(1_000);
      for (let count = 0; count < 36; count++) {
        await harness.submit(makeRequest());
      }
      harness.dependencies.registry.upsert(makeEndpoint("a", { startedAt }));
      for (const attempt of harness.sent) {
        const isFormerRun = attempt.options.endpoint === makeEndpoint("a").id;
        if (isFormerRun) await attempt.fail("exchange_lost");
        else await attempt.respond("done");
      }
      const { availability, registry } = harness.dependencies;
      expect(availability.filterHealthy([...registry.all])).to.have.length(3);
    });

    it("logs the endpoint that it was lost with, and its digest", async () => {
      const harness = portal({ repeat: "once" });
      const request = makeRequest();
      await harness.submit(request);
      await harness.sent[0].fail("exchange_lost");
      const lost = harness.decisions.find((each) =>
        each.decision === "endpoint_lost"
      );
      expect(lost).to.deep.include({
        requestId: request.id,
        route: "route",
        digest: harness.dependencies.digestOf(request),
        endpoint: harness.sent[0].options.endpoint,
        step: "run",
      });
    });

    it("logs the replica's software version and the stream that it takes up", async () => {
      const harness = portal({ repeat: "stream", resumable: true });
      const resumes = identifier<RequestId>("first-attempt");
      await harness.submit(makeRequest({ resumes, lastEventId: "7" }));
      const placed = harness.decisions.find((each) =>
        each.decision === "placed"
      );
      expect(placed).to.deep.include({
        endpoint: harness.sent[0].options.endpoint,
        softwareVersion: "v1",
        resumes,
        lastEventId: "7",
      });
    });

    it("is not sent again if it may run only once", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].fail("exchange_lost");
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal?.status).to.equal(502);
    });

    it("is sent again if the endpoint confirms that it did not run", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].respondNotRun();
      expect(harness.sent[1].options.endpoint)
        .to.not.equal(harness.sent[0].options.endpoint);
      await harness.sent[1].respond("done");
      expect(caller.body).to.equal("done");
    });

    // The first endpoint lost the response to a lookup, and the others reject
    // it. "Not run" would be false, as the first may still be working on it.
    it("is not reported as not run after an earlier send that may have run", async () => {
      const harness = portal({ repeat: "idempotent", mostAttempts: 3 });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].fail("exchange_lost");
      for (const attempt of [1, 2, 3]) {
        await harness.sent[attempt]?.respondNotRun();
      }
      expect(caller.refusal?.status).to.equal(502);
    });

    it("is retried after a failure if it is idempotent", async () => {
      const harness = portal({ repeat: "idempotent" });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].respond("sorry", { status: 500 });
      await harness.sent[1].respond("fine");
      expect(caller.body).to.equal("fine");
    });

    // Every endpoint rejects everything. Without the retry budget each request
    // would be retried until its deadline and multiply the load.
    it("is refused with a retry time once the retry budget is used up", async () => {
      const harness = portal({ repeat: "once" }, { repeats: 0 });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].respondNotRun();
      expect(harness.sent).to.have.length(1);
      expect(caller.refusal?.status).to.equal(503);
      expect(caller.refusal?.retryAfterMilliseconds).to.be.greaterThan(0);
    });

    // Without the abort the portal would continue work whose result is unused.
    it("is aborted when its caller disconnects", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      caller.disconnect();
      expect(harness.sent[0].aborted).to.equal(true);
      expect(
        harness.dependencies.load.total(harness.sent[0].options.endpoint)
          .requests,
      )
        .to.equal(0);
    });

    it("is refused with 504 at the route's timeout", async () => {
      const harness = portal({ repeat: "once", timeoutMilliseconds: 500 });
      const caller = await harness.submit(makeRequest());
      await harness.timer.advance(500);
      expect(caller.refusal?.status).to.equal(504);
      expect(harness.sent[0].aborted).to.equal(true);
    });

    // The timeout counted from when the event loop got to the request, so that
    // callers waited longer than the operator allows by its delay.
    it("is refused at the route's timeout, also if it waited unread", async () => {
      const harness = portal({ repeat: "once", timeoutMilliseconds: 500 });
      const caller = await harness.submit(
        makeRequest({ deadlineMilliseconds: 5_000, unreadMilliseconds: 400 }),
      );
      expect(harness.sent[0].options.deadlineMilliseconds).to.equal(100);
      await harness.timer.advance(100);
      expect(caller.refusal?.status).to.equal(504);
    });

    // It was sent all the same and aborted at once, so that its caller could not
    // know whether it had run.
    it("is refused as not run if it was read too late to be answered", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(
        makeRequest({ deadlineMilliseconds: 1_000, unreadMilliseconds: 990 }),
      );
      expect(harness.sent).to.have.length(0);
      expect(caller.refusal?.status).to.equal(503);
      expect(caller.refusal?.retryAfterMilliseconds).to.be.greaterThan(0);
    });

    it("forwards the remaining time, not the caller's whole deadline", async () => {
      const harness = portal({ repeat: "idempotent" });
      await harness.submit(makeRequest({ deadlineMilliseconds: 900 }));
      await harness.timer.advance(300);
      await harness.sent[0].fail("exchange_lost");
      expect(harness.sent[0].options.deadlineMilliseconds).to.equal(900);
      expect(harness.sent[1].options.deadlineMilliseconds).to.equal(600);
    });

    it("is visibly truncated if the endpoint breaks off", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      await harness.sent[0].head();
      await harness.sent[0].chunk("hal");
      await harness.sent[0].end("cut");
      expect(caller.ended).to.equal("cut");
    });

    it("pauses the endpoint while the caller reads slowly", async () => {
      const harness = portal({ repeat: "once" });
      const caller = await harness.submit(makeRequest());
      caller.acceptsWrites = false;
      await harness.sent[0].head();
      await harness.sent[0].chunk("x");
      expect(harness.sent[0].paused).to.equal(true);
      caller.drain();
      expect(harness.sent[0].paused).to.equal(false);
    });

    describe("where the entry has memory for slow callers", () => {
      async function slowCaller() {
        const harness = portal({ repeat: "once" }, { bufferBytes: 4_000 });
        const caller = await harness.submit(makeRequest());
        caller.acceptsWrites = false;
        await harness.sent[0].head();
        await harness.sent[0].chunk("x".repeat(500));
        return { harness, caller, attempt: harness.sent[0] };
      }

      // An endpoint cuts off a response that stays unread for some seconds.
      it("is read to its end", async () => {
        const { caller, attempt } = await slowCaller();
        expect(attempt.paused).to.equal(false);
        await attempt.end();
        expect(caller.ended).to.equal("whole");
      });

      it("pauses the endpoint at the share of one response", async () => {
        const { attempt, caller } = await slowCaller();
        await attempt.chunk("x".repeat(600));
        expect(attempt.paused).to.equal(true);
        caller.drain();
        expect(attempt.paused).to.equal(false);
      });

      it("drops what is unread at the deadline", async () => {
        const { harness, caller, attempt } = await slowCaller();
        await attempt.end();
        expect(caller.isUnreadDiscarded).to.equal(false);
        await harness.timer.advance(60_000);
        expect(caller.isUnreadDiscarded).to.equal(true);
      });

      it("frees the memory when the caller leaves", async () => {
        const { harness, caller } = await slowCaller();
        expect(harness.dependencies.responseBuffers.totalBytes).to.equal(500);
        caller.disconnect();
        expect(harness.dependencies.responseBuffers.totalBytes).to.equal(0);
      });
    });
  });

  describe("a resumable stream", () => {
    const route: Partial<Route> = {
      repeat: "stream",
      resumable: true,
      mostAttempts: 2,
      shares: [{ pool: ENGINES, weight: 1 }],
    };
    const prompt = makePrompt("river", { shared: 100, own: 100 });

    function engines(): ForwardingHarness {
      const harness = makeHarness(route);
      harness.dependencies.registry.upsert(makeEngine("a", "decode"));
      harness.dependencies.registry.upsert(makeEngine("b", "decode"));
      return harness;
    }

    // Callers give a stream up that has brought no event for its patience. It
    // reached an engine with a rest of its deadline, in which it was broken off.
    it("is refused as not run if its first event would come too late", async () => {
      const harness = makeHarness({ ...route, patienceMilliseconds: 2_000 });
      harness.dependencies.registry.upsert(makeEngine("a", "decode"));
      const caller = await harness.submit(makeRequest({
        prompt,
        deadlineMilliseconds: 2_500,
        unreadMilliseconds: 2_050,
      }));
      expect(harness.sent).to.have.length(0);
      expect(caller.refusal?.status).to.equal(503);
    });

    // Node throws on a header with a control character, and the stream could
    // not be taken up anywhere else than behind that event.
    it("is not resumed behind an event whose id no header can carry", async () => {
      const harness = engines();
      const caller = await harness.submit(makeRequest({ prompt }));
      const [first] = harness.sent;
      await first.head();
      await first.chunk("id: 1\u0001\ndata: a\n\n");
      await first.end("cut");
      expect(harness.sent).to.have.length(1);
      expect(caller.ended).to.equal("cut");
    });

    // An engine crashes in the middle of its third event. The stream resumes at
    // another engine without a gap and without a partial event.
    it("resumes at another engine after the last whole event", async () => {
      const harness = engines();
      const caller = await harness.submit(makeRequest({ prompt }));
      const [first] = harness.sent;
      await first.head();
      await first.chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
      await first.end("cut");
      const second = harness.sent[1];
      expect(second.options.lastEventId).to.equal("2");
      expect(second.options.endpoint).to.not.equal(first.options.endpoint);
      await second.head({ headers: ["Seal", "another"] });
      await second.chunk("id: 3\ndata: c\n\n");
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

    it("logs the first and the last event that the caller got", async () => {
      const facts = { firstEventId: "1", lastEventId: "2" };
      for (const resumable of [true, false]) {
        const harness = makeHarness({ ...route, resumable });
        harness.dependencies.registry.upsert(makeEngine("a", "decode"));
        await harness.submit(makeRequest({ prompt }));
        await harness.sent[0].respond("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", {
          headers: ["Content-Type", "text/event-stream"],
        });
        expect(harness.decisions.at(-1)).to.deep.include({
          decision: "answered",
          framing: "length",
          ...facts,
        });
      }
    });

    // The response of the second engine is not the rest of the stream. Passed
    // on, it would end the stream as complete, and the caller would take a part
    // for the whole response.
    describe("whose second run doesn't continue the first", () => {
      const EVENT_STREAM = ["Content-Type", "text/event-stream"];
      const received = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

      async function resumedStream() {
        const harness = engines();
        const caller = await harness.submit(makeRequest({ prompt }));
        const [first] = harness.sent;
        await first.head({ headers: EVENT_STREAM });
        await first.chunk(received);
        await first.end("cut");
        return { harness, caller, second: harness.sent[1] };
      }

      const responses: readonly {
        readonly what: string;
        readonly body: string;
        readonly status?: number;
        readonly type?: string;
      }[] = [
        { what: "an error of the endpoint", body: "broken", status: 500 },
        { what: "a missing resource", body: "nothing here", status: 404 },
        { what: "an unproven rejection", body: "full", status: 503 },
        { what: "another status of success", body: "", status: 204 },
        {
          what: "a body of another type",
          body: "{}",
          type: "application/json",
        },
        { what: "a repeated event", body: "id: 2\ndata: b\n\n" },
        { what: "the stream from its start", body: received },
        { what: "a gap", body: "id: 4\ndata: d\n\n" },
        { what: "events without ids", body: "data: c\n\n" },
        { what: "an empty body", body: "" },
      ];
      for (const { what, body, status = 200, type } of responses) {
        it(`is cut after ${what}`, async () => {
          const { harness, caller, second } = await resumedStream();
          await second.respond(body, {
            status,
            headers: type === undefined ? EVENT_STREAM : ["Content-Type", type],
          });
          expect(caller.ended).to.equal("cut");
          expect(caller.body).to.equal(received);
          expect(harness.decisions.map(({ decision }) => decision))
            .to.include("stream_mismatch");
        });
      }

      it("continues behind a byte order mark, which is not passed on", async () => {
        const { caller, second } = await resumedStream();
        await second.respond("\uFEFFid: 3\ndata: c\n\n", {
          headers: EVENT_STREAM,
        });
        expect(caller.ended).to.equal("whole");
        expect(caller.body).to.equal(`${received}id: 3\ndata: c\n\n`);
      });

      it("is broken off after an incomplete event", async () => {
        const { harness, caller, second } = await resumedStream();
        await second.respond("id: 3\nda", { headers: EVENT_STREAM });
        expect(caller.ended).to.equal("cut");
        expect(caller.body).to.equal(received);
        const lost = harness.decisions.filter(({ decision }) =>
          decision === "endpoint_lost"
        );
        expect(lost).to.have.length(2);
      });

      it("is not resumed after an error response that was cut", async () => {
        const harness = engines();
        const caller = await harness.submit(makeRequest({ prompt }));
        const [first] = harness.sent;
        await first.head({ status: 404 });
        await first.chunk("not fo");
        await first.end("cut");
        expect(harness.sent).to.have.length(1);
        expect(caller.ended).to.equal("cut");
      });

      it("continues if the first run had ids with gaps", async () => {
        const harness = engines();
        learnOtherNumbering(harness.dependencies);
        const caller = await harness.submit(makeRequest({ prompt }));
        const [first] = harness.sent;
        await first.head();
        await first.chunk("id: 2\ndata: a\n\nid: 5\ndata: b\n\n");
        await first.end("cut");
        await harness.sent[1].respond(": comment\n\nid: 7\ndata: c\n\n");
        expect(caller.ended).to.equal("whole");
        expect(caller.body).to.equal(
          "id: 2\ndata: a\n\nid: 5\ndata: b\n\n: comment\n\nid: 7\ndata: c\n\n",
        );
      });
    });

    it("is cut if no further run is allowed", async () => {
      const harness = engines();
      const caller = await harness.submit(makeRequest({ prompt }));
      for (const attempt of [0, 1]) {
        await harness.sent[attempt].head();
        await harness.sent[attempt].end("cut");
      }
      expect(harness.sent).to.have.length(2);
      expect(caller.ended).to.equal("cut");
    });
  });

  describe("a long prompt", () => {
    const route: Partial<Route> = {
      repeat: "stream",
      mostAttempts: 1,
      shares: [{ pool: ENGINES, weight: 1 }],
    };

    function fleet(
      options?: ConstructorParameters<typeof ForwardingHarness>[1],
    ) {
      const harness = makeHarness(route, options);
      harness.dependencies.registry.upsert(makeEngine("reader-1", "prefill"));
      harness.dependencies.registry.upsert(makeEngine("reader-2", "prefill"));
      harness.dependencies.registry.upsert(makeEngine("maker-1", "decode"));
      harness.dependencies.registry.upsert(makeEngine("maker-2", "decode"));
      return harness;
    }

    const BODY_BYTES = 9_200;
    /** Size of a prompt whose prefill takes longer than the target. */
    const LONGEST_PROMPT = { shared: 1_000, own: 55_000 };

    function ask(
      harness: ForwardingHarness,
      subject = "river",
      tokens: Parameters<typeof makePrompt>[1] = {},
    ) {
      return harness.submit(makeRequest({
        prompt: makePrompt(subject, tokens),
        body: Buffer.alloc(BODY_BYTES),
        deadlineMilliseconds: 2_000,
      }));
    }

    it("is prefilled by one engine and decoded by another", async () => {
      const harness = fleet();
      const caller = await ask(harness);
      expect(harness.sent[0].options.prefillOnly).to.equal(true);
      await harness.sent[0].respond("handle-1");
      expect(harness.sent[1].options.prefilledPrompt).to.deep.include({
        handle: "handle-1",
        engine: harness.sent[0].options.endpoint,
      });
      await harness.sent[1].respond("verdict");
      expect(caller.body).to.equal("verdict");
      expect(harness.released).to.deep.equal([]);
    });

    // The prefill engine stops responding. A prefill runs nothing, so another
    // engine may repeat it immediately; otherwise the caller waits until its
    // deadline.
    it("is prefilled by a second engine if the first does not respond", async () => {
      const harness = fleet();
      await ask(harness);
      await harness.timer.advance(500);
      expect(harness.sent[0].aborted).to.equal(true);
      expect(harness.sent[1].options.prefillOnly).to.equal(true);
      expect(harness.sent[1].options.endpoint)
        .to.not.equal(harness.sent[0].options.endpoint);
    });

    // Both prefills fail. A decode engine could prefill the prompt as well, but
    // every urgent stream on it would pause meanwhile.
    it("is refused rather than prefilled by a decode engine", async () => {
      const harness = fleet();
      const caller = await ask(harness);
      await harness.sent[0].respondNotRun();
      await harness.sent[1].respondNotRun();
      expect(harness.sent).to.have.length(2);
      expect(caller.refusal?.status).to.equal(503);
    });

    // One engine is silent while the other one starts to leave. Two seconds
    // later the first one fails, and with the engines known at arrival the
    // prompt is sent to the other. That engine ends, and the caller's response
    // with it.
    it("is not prefilled by an engine that has started to leave", async () => {
      const harness = fleet();
      const caller = await ask(harness);
      const asked = harness.sent[0].options.endpoint;
      const other = asked === "reader-1" ? "reader-2" : "reader-1";
      harness.dependencies.registry.upsert(
        makeEngine(other, "prefill", { leaving: true }),
      );
      await harness.sent[0].respondNotRun();
      expect(harness.sent.map(({ options }) => options.endpoint))
        .to.not.include(other);
      expect(caller.refusal?.status).to.equal(503);
    });

    // The engine that prefilled the prompt crashes and restarts under the same
    // id while a decode engine rejects the request. The cache is gone, so every
    // further decode with it is rejected until the caller gives up.
    it("is prefilled again if its cache was lost with the engine's run", async () => {
      const harness = fleet();
      const { registry } = harness.dependencies;
      await ask(harness);
      await harness.sent[0].respond("handle-1");
      const reader = harness.sent[0].options.endpoint;
      const startedAt = numbered<ReplicaStartTime>(1_000);
      registry.upsert(makeEngine(reader, "prefill", { startedAt }));
      await harness.sent[1].respondNotRun(503);
      expect(harness.sent[2].options.prefillOnly).to.equal(true);
    });

    // An engine whose role has just changed rejects the request. Another
    // prefill would cost an engine 25 ms without need.
    it("keeps its cache when a decode engine rejects it", async () => {
      const harness = fleet();
      await ask(harness);
      await harness.sent[0].respond("handle-1");
      await harness.sent[1].respondNotRun(421);
      expect(harness.sent[2].options.prefilledPrompt?.handle).to.equal(
        "handle-1",
      );
      expect(harness.sent[2].options.endpoint)
        .to.not.equal(harness.sent[1].options.endpoint);
    });

    // An engine responds with 421 for seconds, until its registration shows its
    // new role. If every request tried it again, it would use up the retry
    // budget for all.
    it("avoids an engine that has rejected one as misdirected", async () => {
      const harness = fleet();
      await ask(harness);
      await harness.sent[0].respond("handle-1");
      const rejecting = harness.sent[1].options.endpoint;
      await harness.sent[1].respondNotRun(421);
      for (let index = 0; index < 5; index++) {
        const count = harness.sent.length;
        await ask(harness, `subject-${index}`);
        await harness.sent[count].respond(`handle-${index}`);
        expect(harness.sent[count + 1].options.endpoint)
          .to.not.equal(rejecting);
      }
    });

    // Both decode engines crash at once and recover after 1.2 s. If every
    // request tried them in turn, it would cost hundreds of connections, and
    // callers whose prompts are prefilled and who could wait would be refused.
    it("waits for a decode engine with few connection attempts", async () => {
      const harness = fleet();
      let isDown = true;
      let refusedConnections = 0;
      harness.onSend = (attempt) => {
        if (attempt.options.prefillOnly) return void attempt.respond("handle");
        if (!isDown) return void attempt.respond("verdict");
        refusedConnections += 1;
        void attempt.fail("exchange_not_sent");
      };
      const callers = [];
      for (let index = 0; index < 40; index++) {
        callers.push(await ask(harness, `s${index}`));
        await harness.timer.advance(30);
      }
      isDown = false;
      await harness.timer.advance(300);
      await flushPromises();
      const served = callers.filter(({ body }) => body === "verdict");
      expect(served).to.have.length(40);
      // Two engines, one connection attempt every 200 ms each.
      expect(refusedConnections).to.be.below(20);
    });

    // No engine recovers before callers give up. If they were held to the end,
    // they would get no response and could not retry in time.
    it("is refused in time if no decode engine recovers", async () => {
      const harness = fleet();
      harness.onSend = (attempt) => {
        if (attempt.options.prefillOnly) return void attempt.respond("handle");
        void attempt.fail("exchange_not_sent");
      };
      const caller = await ask(harness);
      // The fake engine responds in chunks, one per turn of the event loop.
      await flushPromises();
      await harness.timer.advance(1_600);
      expect(caller.refusal).to.equal(undefined);
      await harness.timer.advance(150);
      expect(caller.refusal?.status).to.equal(503);
      expect(harness.released).to.deep.equal(["handle"]);
    });

    it("releases its cache when the caller disconnects", async () => {
      const harness = fleet();
      const caller = await ask(harness);
      await harness.sent[0].respond("handle-1");
      caller.disconnect();
      expect(harness.released).to.deep.equal(["handle-1"]);
    });

    // Callers have different deadlines. One with a short deadline was mistaken
    // for a caller that had waited before, and its prompt was prefilled behind
    // all others although engines were idle.
    it("is prefilled immediately for a caller with a shorter deadline than others", async () => {
      const harness = fleet();
      await ask(harness, "first");
      await harness.submit(makeRequest({
        prompt: makePrompt("second"),
        deadlineMilliseconds: 1_700,
      }));
      expect(harness.decisions[1]).to.include({ step: "prefill", late: false });
    });

    // A caller was refused during an overload and retries. Its response is late
    // in any case; prefilled first, it would make another one late as well.
    it("is prefilled after others for a caller that was refused before", async () => {
      const harness = fleet();
      harness.dependencies.returningCallers.record("river-own", 0);
      await harness.timer.advance(400);
      await ask(harness);
      expect(harness.decisions[0]).to.include({
        step: "prefill",
        late: true,
        waitedMilliseconds: 400,
      });
    });

    // The caller disconnects while the owners of engines are queried for their
    // load. An engine would prefill its prompt without need and delay other
    // callers.
    for (const kind of ["on time", "late"]) {
      it(`is not forwarded if the caller disconnects meanwhile, ${kind}`, async () => {
        const harness = fleet();
        Object.assign(harness.dependencies, {
          isLoadStale: () => true,
          refreshLoad: () =>
            new Promise<void>((resolve) => {
              harness.timer.after(3, resolve);
            }),
        });
        if (kind === "late") {
          harness.dependencies.returningCallers.record("river-own", 400);
        }
        const caller = await ask(harness);
        await harness.timer.advance(kind === "late" ? 4 : 1);
        caller.disconnect();
        await harness.timer.advance(100);
        await flushPromises();
        expect(harness.sent).to.deep.equal([]);
      });
    }

    // A burst arrives at an entry with a slow link while the engines have
    // capacity. If all prompts were forwarded, the last ones would reach an
    // engine after half a second, when each of them is late, and the prefill
    // would be wasted.
    it("is refused immediately if it would wait for the entry's link", async () => {
      const harness = fleet({ linkMegabitsPerSecond: 7 });
      const callers = [];
      for (let index = 0; index < 30; index++) {
        callers.push(await ask(harness, `s${index}`));
      }
      const refused = callers.filter(({ refusal }) => refusal !== undefined);
      const admitted = harness.sent.length + harness.dependencies.held.count;
      expect(admitted).to.be.within(4, 10);
      expect(refused).to.have.length(30 - admitted);
      expect(refused[0].refusal?.reason).to.equal("entry_full");
      // The log line contains the figures behind the decision: the engines
      // alone would have met the target of 150 ms.
      const line = harness.decisions.find((each) =>
        each.decision === "refused"
      );
      expect(line?.entryMilliseconds).to.be.greaterThan(75);
      expect(line?.onTimeMilliseconds).to.be.lessThan(0.85 * 150);
      // Short enough that another entry can still respond on time.
      expect(refused[0].refusal?.retryAfterMilliseconds).to.be.within(20, 50);
      await harness.timer.advance(200);
      expect((await ask(harness, "next")).refusal).to.equal(undefined);
    });

    it("is refused immediately if the entry's event loop is delayed", async () => {
      const harness = fleet();
      Object.assign(harness.dependencies, { entries: () => 2 });
      harness.loopDelay = 100;
      expect((await ask(harness)).refusal?.reason).to.equal("entry_full");
    });

    it("is not sent to another entry by the only one", async () => {
      const harness = fleet();
      harness.loopDelay = 100;
      const caller = await ask(harness);
      expect(caller.refusal).to.equal(undefined);
      expect(harness.sent).to.have.length(1);
    });

    // A prompt of 55,000 tokens takes longer to prefill than its target allows,
    // even on idle engines. One of two dozen entries, whose share of the retry
    // budget is small, refused such prompts during its first seconds.
    it("is prefilled for a late response if few retries are allowed", async () => {
      const harness = fleet({ repeats: 4 });
      const caller = await ask(harness, "letter", LONGEST_PROMPT);
      expect(caller.refusal).to.equal(undefined);
      expect(harness.sent[0].options.prefillOnly).to.equal(true);
      expect(harness.decisions[0]).to.include({ step: "prefill", late: true });
    });

    // Late prompts that wait at engines are rejected at their deadline. Each
    // rejection counts as a retry, which leaves no budget for requests whose
    // engine failed. Prompts that are held at the entry cost no retries,
    // however many there are.
    it("is held and costs no retry if it would be late", async () => {
      const harness = fleet({ repeats: 0 });
      for (const reader of ["reader-1", "reader-2"]) {
        harness.dependencies.load.started(identifier<EndpointId>(reader), {
          milliseconds: 400,
          tokens: 0,
        });
      }
      const caller = await ask(harness);
      expect(caller.refusal).to.equal(undefined);
      await harness.timer.advance(1_750);
      expect(harness.sent).to.deep.equal([]);
      expect(caller.refusal).to.include({
        status: 503,
        reason: "engines_full",
      });
    });

    it("is prefilled once an engine is nearly idle, in order of urgency", async () => {
      const harness = fleet();
      const workHandles = ["reader-1", "reader-2"].map((reader) =>
        harness.dependencies.load.started(identifier<EndpointId>(reader), {
          milliseconds: 400,
          tokens: 0,
        })
      );
      await ask(harness, "first");
      await ask(harness, "second");
      await harness.timer.advance(300);
      expect(harness.sent).to.deep.equal([]);
      workHandles[0].end();
      await harness.timer.advance(25);
      expect(harness.sent[0].request.prompt).to.deep.equal(makePrompt("first"));
      expect(harness.sent[0].options.endpoint).to.equal("reader-1");
    });

    it("is refused immediately if it can't be answered by its deadline", async () => {
      const harness = fleet();
      for (let index = 0; index < 200; index++) await ask(harness, `s${index}`);
      const caller = await ask(harness, "last");
      expect(caller.refusal?.status).to.equal(503);
    });
  });
});
