import { expect } from "chai";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { defineError, failure } from "../core/errors/mod.ts";
import type {
  EndpointFailure,
  EndpointLink,
  ServiceResponse,
} from "../core/links/mod.ts";
import { NOOP_TRACER } from "../core/observation/mod.ts";
import { ManualTimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  NotRunFrame,
} from "../generated/messages.ts";
import { AttemptExecutor } from "./attempt_executor.ts";

const REFUSED = defineError<Record<never, never>>()({
  name: "endpoint_refused",
  title: "Refused",
  message: () => "Connection refused",
  hint: "",
});
const RESPONSE: ServiceResponse = {
  status: 200,
  contentType: "text/plain",
  body: "case 1",
};

/** An endpoint whose every step the test controls. */
class ManualEndpoint implements EndpointLink {
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

function serviceCall(attemptId: string, record = 7): AttemptRequest {
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
    ...serviceCall(attemptId),
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

describe("AttemptExecutor", () => {
  let timer: ManualTimerService;
  let endpoint: ManualEndpoint;
  let closedReason: NotRunFrame["reason"] | undefined;
  let frames: AttemptFrame[];
  let executor: AttemptExecutor;

  beforeEach(() => {
    timer = new ManualTimerService();
    endpoint = new ManualEndpoint();
    closedReason = undefined;
    frames = [];
    executor = new AttemptExecutor({
      endpointId: "portal-0",
      incarnation: "run-1",
      kind: "service",
      timer,
      endpoint,
      tracer: NOOP_TRACER,
      mostRunning: 1,
      mostWaiting: 4,
      mostKeptAnswers: 10,
      mostKeptAnswerBytes: 10_000,
      firstTokenSilenceMilliseconds: 5_000,
      tokenSilenceMilliseconds: 1_000,
      closedReason: () => closedReason,
      emitEvent() {},
    });
  });

  async function send(attempt: AttemptRequest) {
    const handle = executor.run(attempt, (frame) => frames.push(frame));
    await timer.advance(0);
    return handle;
  }

  function finalFrames(): string[] {
    return frames.filter((frame) => frame.kind !== "token").map((frame) =>
      "reason" in frame ? `${frame.kind} ${frame.reason}` : frame.kind
    );
  }

  // A call that waited for a slot was refused only once the slot came free.
  it("refuses the attempts that wait once it may run no more", async () => {
    await send(serviceCall("a"));
    await send({ ...serviceCall("b", 8), once: undefined });
    await send({ ...serviceCall("c", 9), once: undefined });
    closedReason = "draining";
    executor.refuseWaiting();
    await timer.advance(0);
    expect(finalFrames()).to.deep.equal([
      "not_run draining",
      "not_run draining",
    ]);
    endpoint.answer(ok(RESPONSE));
    await timer.advance(0);
    expect(endpoint.calls).to.equal(1);
  });

  describe("a non-idempotent call", () => {
    // The network delivers the message twice. A side that ran both would use
    // the permit twice.
    it("runs once if its message arrives twice", async () => {
      await send(serviceCall("a"));
      await send(serviceCall("a"));
      expect(endpoint.calls).to.equal(1);
    });

    // The same record arrives with another attempt after the answer was lost.
    it("does not run again under another attempt", async () => {
      await send(serviceCall("a"));
      endpoint.answer(ok(RESPONSE));
      await timer.advance(0);
      await send(serviceCall("b"));
      expect(endpoint.calls).to.equal(1);
      expect(finalFrames()).to.deep.equal(["response", "failed already_run"]);
    });

    // The side refuses a call while it drains, and the entry answers its caller
    // with `not_run`. A delayed duplicate arrives after the drain has been
    // cancelled; without the bar it would run in spite of that answer.
    it("never runs after it was refused", async () => {
      closedReason = "draining";
      await send(serviceCall("a"));
      closedReason = undefined;
      await send(serviceCall("b"));
      expect(endpoint.calls).to.equal(0);
      expect(finalFrames()).to.deep.equal([
        "not_run draining",
        "not_run barred",
      ]);
    });

    // The service refuses the connection. The call has not started, and another
    // endpoint may run it.
    it("ends as not run if the endpoint refused it", async () => {
      await send(serviceCall("a"));
      endpoint.answer(err(failure(REFUSED, {})));
      await timer.advance(0);
      expect(finalFrames()).to.deep.equal(["not_run endpoint_down"]);
      const question = { key: "k", record: 7, sideIncarnation: "run-1" };
      expect(executor.queryOnceRecord({ ...question, bar: false }).state).to
        .equal(
          "barred",
        );
    });

    // The caller disconnects while the service works. Cancelling the call would
    // hide whether it took effect; a repeated call has to get its answer.
    it("continues without a waiting caller and keeps its answer", async () => {
      const handle = await send(serviceCall("a"));
      handle.cancel();
      endpoint.answer(ok(RESPONSE));
      await timer.advance(0);
      const question = { key: "k", record: 7, sideIncarnation: "run-1" };
      expect(executor.queryOnceRecord({ ...question, bar: true })).to.include({
        state: "answered",
        body: "case 1",
      });
    });
  });

  describe("a generation", () => {
    // The engine hangs with its connection open. The caller would get nothing
    // until the deadline.
    it("fails after the silence limit, in time to be resumed elsewhere", async () => {
      await send(generation("a"));
      endpoint.token("one");
      await timer.advance(1_100);
      expect(finalFrames()).to.deep.equal(["failed endpoint_error"]);
      expect(endpoint.cancelled).to.equal(1);
    });

    it("is not ended while a slow engine keeps sending tokens", async () => {
      await send(generation("a"));
      for (let index = 0; index < 5; index++) {
        await timer.advance(900);
        endpoint.token("t");
      }
      expect(finalFrames()).to.deep.equal([]);
    });

    // A summary has the only slot when an alert arrives.
    it("of bulk work releases its slot for urgent work", async () => {
      await send(generation("bulk", { priority: 5, mayPause: true }));
      await send(generation("alert"));
      expect(finalFrames()).to.deep.equal(["failed moved"]);
      expect(endpoint.calls).to.equal(2);
    });

    it("continues the token index after the delivered tokens", async () => {
      await send(generation("a", { deliveredTokens: ["x", "y"] }));
      endpoint.token("z");
      endpoint.end(ok("stop"));
      await timer.advance(0);
      expect(frames.map((frame) => frame.kind)).to.deep.equal(["token", "end"]);
      expect(frames[0]).to.include({ index: 2 });
      expect(frames[1]).to.include({ tokens: 3 });
    });
  });

  describe("a planned migration", () => {
    function migratedFrame(): AttemptFrame | undefined {
      return frames.find((frame) => frame.kind === "failed");
    }

    // An engine is drained for a role change while it generates an answer to a
    // long prompt. Without its cache, the next engine would have to prefill the
    // whole prompt again.
    it("transfers the cache above the minimum token count", async () => {
      await send(generation("a", {
        promptTokens: 5_000,
        fewestTokensToHandOver: 1_000,
        deliveredTokens: ["x"],
      }));
      endpoint.token("y");
      await executor.migrateAll();
      expect(endpoint.exported).to.deep.equal(["x", "y"]);
      expect(migratedFrame()).to.deep.include({
        reason: "moved",
        cache: {
          source: "portal-0",
          tokens: 5_002,
          reference: { handle: "kv-1" },
        },
      });
    });

    it("does not transfer a short prompt's cache", async () => {
      await send(generation("a", {
        promptTokens: 100,
        fewestTokensToHandOver: 1_000,
      }));
      await executor.migrateAll();
      expect(endpoint.exported).to.equal(undefined);
      expect(migratedFrame()).not.to.have.property("cache");
    });

    // The engine does not answer the cache export. The migration must not wait
    // for it longer than the caller can tolerate.
    it("times out a cache export that does not answer", async () => {
      endpoint.exportCache = () => new Promise(() => {});
      await send(generation("a", {
        promptTokens: 5_000,
        fewestTokensToHandOver: 1_000,
      }));
      void executor.migrateAll();
      await timer.advance(1_100);
      expect(migratedFrame()).to.include({ reason: "moved" });
    });
  });

  describe("a graceful shutdown", () => {
    it("waits for running attempts", async () => {
      await send(generation("a"));
      let idle = false;
      void executor.whenIdleWithin(5_000).then(() => idle = true);
      await timer.advance(500);
      expect(idle).to.equal(false);
      endpoint.end(ok("stop"));
      await timer.advance(0);
      expect(idle).to.equal(true);
    });
  });
});
