import { expect } from "chai";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { defineError, failure } from "../core/errors/mod.ts";
import type {
  EndpointFailure,
  EndpointLink,
  ServiceResponse,
} from "../core/links/mod.ts";
import { NO_TRACER } from "../core/observation/mod.ts";
import { ManualTimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  NotRunFrame,
} from "../generated/messages.ts";
import { AttemptDesk } from "./attempt_desk.ts";

const REFUSED = defineError<Record<never, never>>()({
  name: "endpoint_refused",
  title: "Refused",
  message: () => "Nobody listens",
  hint: "",
});
const RESPONSE: ServiceResponse = {
  status: 200,
  contentType: "text/plain",
  body: "case 1",
};

/** An endpoint whose every step the test takes. */
class SteppedEndpoint implements EndpointLink {
  calls = 0;
  cancelled = 0;
  answer: (result: Result<ServiceResponse, EndpointFailure>) => void = () => {};
  token: (text: string) => void = () => {};
  end: (result: Result<"stop" | "length", EndpointFailure>) => void = () => {};

  generate(_attempt: AttemptRequest, onToken: (text: string) => void) {
    this.calls += 1;
    this.token = onToken;
    return {
      finished: new Promise<Result<"stop" | "length", EndpointFailure>>(
        (resolve) => this.end = resolve,
      ),
      cancel: () => void (this.cancelled += 1),
      pause() {},
      resume() {},
    };
  }

  call(): Promise<Result<ServiceResponse, EndpointFailure>> {
    this.calls += 1;
    return new Promise((resolve) => this.answer = resolve);
  }

  exported: readonly string[] | undefined;

  exportCache(_attempt: AttemptRequest, tokens: readonly string[]) {
    this.exported = tokens;
    return Promise.resolve(ok({ handle: "kv-1" }));
  }

  observe(): never {
    throw new TypeError("Not part of these tests");
  }

  order(): never {
    throw new TypeError("Not part of these tests");
  }
}

function booking(attemptId: string, record = 7): AttemptRequest {
  return {
    attemptId,
    requestId: "r",
    endpoint: "portal-0",
    className: "urgent",
    priority: 0,
    deadlineMilliseconds: 10_000,
    work: {
      kind: "service",
      method: "POST",
      path: "/cases",
      body: "",
      idempotent: false,
    },
    once: { key: "k", record, sideIncarnation: "run-1" },
  };
}

function generation(
  attemptId: string,
  more: Partial<AttemptRequest> = {},
): AttemptRequest {
  return {
    ...booking(attemptId),
    once: undefined,
    work: {
      kind: "generation",
      model: "m",
      messages: [],
      mostOutputTokens: 10,
    },
    ...more,
  };
}

describe("AttemptDesk", () => {
  let timer: ManualTimerService;
  let endpoint: SteppedEndpoint;
  let closed: NotRunFrame["reason"] | undefined;
  let frames: AttemptFrame[];
  let desk: AttemptDesk;

  beforeEach(() => {
    timer = new ManualTimerService();
    endpoint = new SteppedEndpoint();
    closed = undefined;
    frames = [];
    desk = new AttemptDesk({
      endpointId: "portal-0",
      incarnation: "run-1",
      kind: "service",
      timer,
      endpoint,
      tracer: NO_TRACER,
      mostRunning: 1,
      mostWaiting: 4,
      mostKeptAnswers: 10,
      mostKeptAnswerBytes: 10_000,
      firstTokenSilenceMilliseconds: 5_000,
      tokenSilenceMilliseconds: 1_000,
      closedBecause: () => closed,
      tell() {},
    });
  });

  async function send(attempt: AttemptRequest) {
    const handle = desk.run(attempt, (frame) => frames.push(frame));
    await timer.advance(0);
    return handle;
  }

  function ends(): string[] {
    return frames.filter((frame) => frame.kind !== "token").map((frame) =>
      "reason" in frame ? `${frame.kind} ${frame.reason}` : frame.kind
    );
  }

  describe("a call that may have its effect once only", () => {
    // The network delivers the dispatch twice. A side that runs both books the
    // permit twice.
    it("runs once although its message comes twice", async () => {
      await send(booking("a"));
      await send(booking("a"));
      expect(endpoint.calls).to.equal(1);
    });

    // The same record comes in another attempt, after the answer was lost.
    it("does not run again under another attempt", async () => {
      await send(booking("a"));
      endpoint.answer(ok(RESPONSE));
      await timer.advance(0);
      await send(booking("b"));
      expect(endpoint.calls).to.equal(1);
      expect(ends()).to.deep.equal(["response", "failed already_run"]);
    });

    // The side is draining and says not run. The entry tells its caller so, and
    // then a delayed copy of the message arrives after the drain was called
    // off. Without the bar it would run although the caller was told otherwise.
    it("never runs once it was refused", async () => {
      closed = "draining";
      await send(booking("a"));
      closed = undefined;
      await send(booking("b"));
      expect(endpoint.calls).to.equal(0);
      expect(ends()).to.deep.equal(["not_run draining", "not_run barred"]);
    });

    // Nobody listens at the service. The call has not started, and another
    // endpoint may take it.
    it("is truly not run where the endpoint turned it down", async () => {
      await send(booking("a"));
      endpoint.answer(err(failure(REFUSED, {})));
      await timer.advance(0);
      expect(ends()).to.deep.equal(["not_run endpoint_down"]);
      const question = { key: "k", record: 7, sideIncarnation: "run-1" };
      expect(desk.ask({ ...question, bar: false }).state).to.equal("barred");
    });

    // The caller hangs up while the service works. Cutting the call off would
    // hide whether it had its effect; a repeat has to get its answer.
    it("goes on when nobody waits any more and keeps its answer", async () => {
      const handle = await send(booking("a"));
      handle.cancel();
      endpoint.answer(ok(RESPONSE));
      await timer.advance(0);
      const question = { key: "k", record: 7, sideIncarnation: "run-1" };
      expect(desk.ask({ ...question, bar: true })).to.include({
        state: "answered",
        body: "case 1",
      });
    });
  });

  describe("a generation", () => {
    // The engine hangs with its connection open. The caller would hear nothing
    // until the deadline.
    it("fails after a silence, in time to be resumed elsewhere", async () => {
      await send(generation("a"));
      endpoint.token("one");
      await timer.advance(1_100);
      expect(ends()).to.deep.equal(["failed endpoint_error"]);
      expect(endpoint.cancelled).to.equal(1);
    });

    it("is not cut off by a slow but steady engine", async () => {
      await send(generation("a"));
      for (let index = 0; index < 5; index++) {
        await timer.advance(900);
        endpoint.token("t");
      }
      expect(ends()).to.deep.equal([]);
    });

    // A summary holds the only slot when an alert arrives.
    it("of bulk work gives its slot back to urgent work", async () => {
      await send(generation("bulk", { priority: 5, mayPause: true }));
      await send(generation("alert"));
      expect(ends()).to.deep.equal(["failed moved"]);
      expect(endpoint.calls).to.equal(2);
    });

    it("counts on behind the tokens that the caller has", async () => {
      await send(generation("a", { deliveredTokens: ["x", "y"] }));
      endpoint.token("z");
      endpoint.end(ok("stop"));
      await timer.advance(0);
      expect(frames.map((frame) => frame.kind)).to.deep.equal(["token", "end"]);
      expect(frames[0]).to.include({ index: 2 });
      expect(frames[1]).to.include({ tokens: 3 });
    });
  });

  describe("a planned move", () => {
    function moved(): AttemptFrame | undefined {
      return frames.find((frame) => frame.kind === "failed");
    }

    // An engine is drained for a role change while it answers on a long log.
    // Without its cache the next engine would read the whole log again.
    it("takes the cache along where that is worth it", async () => {
      await send(generation("a", {
        promptTokens: 5_000,
        fewestTokensToHandOver: 1_000,
        deliveredTokens: ["x"],
      }));
      endpoint.token("y");
      await desk.moveAll();
      expect(endpoint.exported).to.deep.equal(["x", "y"]);
      expect(moved()).to.deep.include({
        reason: "moved",
        cache: {
          source: "portal-0",
          tokens: 5_002,
          reference: { handle: "kv-1" },
        },
      });
    });

    it("leaves a short prompt's cache behind", async () => {
      await send(generation("a", {
        promptTokens: 100,
        fewestTokensToHandOver: 1_000,
      }));
      await desk.moveAll();
      expect(endpoint.exported).to.equal(undefined);
      expect(moved()).not.to.have.property("cache");
    });

    // The engine does not answer the request for its cache. The move must not
    // wait for it longer than the caller can bear.
    it("does not wait long for a cache that does not come", async () => {
      endpoint.exportCache = () => new Promise(() => {});
      await send(generation("a", {
        promptTokens: 5_000,
        fewestTokensToHandOver: 1_000,
      }));
      void desk.moveAll();
      await timer.advance(1_100);
      expect(moved()).to.include({ reason: "moved" });
    });
  });

  describe("a planned stop", () => {
    it("waits for what runs", async () => {
      await send(generation("a"));
      let idle = false;
      void desk.idleWithin(5_000).then(() => idle = true);
      await timer.advance(500);
      expect(idle).to.equal(false);
      endpoint.end(ok("stop"));
      await timer.advance(0);
      expect(idle).to.equal(true);
    });
  });
});
