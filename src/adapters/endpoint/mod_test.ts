import { expect } from "chai";
import { expectedAnswer } from "../../../test/stand_ins/engine_answers.ts";
import { ModelEngineStandIn } from "../../../test/stand_ins/model_engine.ts";
import {
  answerBytes,
  ScriptedReplica,
} from "../../../test/support/scripted_replica.ts";
import { PlainServiceStandIn } from "../../../test/stand_ins/plain_service.ts";
import type { AttemptRequest } from "../../generated/messages.ts";
import { SystemTimerService } from "../time/mod.ts";
import { HttpEndpointLink } from "./mod.ts";

const MESSAGES = [{ role: "user", content: "Dumping by the river" }];

describe("HttpEndpointLink", () => {
  const timer = new SystemTimerService();

  // The answer to a status query comes twice. Nothing in the second one shows
  // whose it is, and a caller of a service would get it.
  it("gives no late answer to another call", async () => {
    const late = answerBytes("late");
    const endpoint = new ScriptedReplica((socket) => socket.write(late));
    const address = await endpoint.listen();
    const link = new HttpEndpointLink(`http://${address}`, { timer });
    await link.observe();
    endpoint.script = (socket) => {
      const isReused = endpoint.connections === 1;
      socket.write(isReused ? late : answerBytes("own"));
    };
    const attempt = serviceAttempt();
    const work = {
      ...attempt.work,
      idempotent: true,
    } as AttemptRequest["work"];
    const answer = await link.call({ ...attempt, work });
    link.close();
    endpoint.close();
    expect(answer._unsafeUnwrap().body).to.equal("own");
  });

  // A service that ends its side of the connection in order can't have read
  // what is still being written, so the part is no response to it.
  it("takes the end of a part of a response for a cut while the call is written", async () => {
    const part = answerBytes("part", { headers: "" });
    const endpoint = new ScriptedReplica((socket) => socket.end(part));
    endpoint.answersAtHead = true;
    const address = await endpoint.listen();
    const link = new HttpEndpointLink(`http://${address}`, { timer });
    const attempt = serviceAttempt();
    Object.assign(attempt.work, { body: "u".repeat(10_000_000) });
    const answer = await link.call(attempt);
    link.close();
    endpoint.close();
    expect(answer.isErr(), JSON.stringify(answer)).to.equal(true);
    expect(answer._unsafeUnwrapErr().name).to.equal("endpoint_closed");
  });

  for (const status of ["000", "099", "101", "600", "999"]) {
    // Callers of a service would get the status, or an entry would fail to
    // write it.
    it(`takes status ${status} of a service for an invalid response`, async () => {
      const bytes = answerBytes("text").replace("200 OK", `${status} OK`);
      const endpoint = new ScriptedReplica((socket) => socket.end(bytes));
      const address = await endpoint.listen();
      const link = new HttpEndpointLink(`http://${address}`, { timer });
      const answer = await link.call(serviceAttempt());
      link.close();
      endpoint.close();
      expect(endpoint.requests).to.have.length(1);
      expect(answer.isErr(), JSON.stringify(answer)).to.equal(true);
      expect(answer._unsafeUnwrapErr().name).to.equal("endpoint_garbage");
    });
  }

  describe("a model engine", () => {
    let engine: ModelEngineStandIn;
    let link: HttpEndpointLink;

    beforeEach(async () => {
      engine = new ModelEngineStandIn({
        slots: 4,
        millisecondsBetweenTokens: 1,
        checksFencing: true,
        roleChangeMilliseconds: 60,
      });
      const port = await engine.listen();
      link = new HttpEndpointLink(`http://127.0.0.1:${port}`, {
        timer,
        mostResponseBytes: 1024 * 1024,
      });
    });

    afterEach(async () => {
      link.close();
      await engine.close();
    });

    it("returns every token once and the finish reason", async () => {
      const tokens: string[] = [];
      const call = link.generate(
        generationAttempt(),
        (text) => tokens.push(text),
      );
      const end = await call.finished;
      const expected = expectedAnswer("triage-llm", MESSAGES);
      expect(end._unsafeUnwrap()).to.equal(expected.reason);
      expect(tokens).to.deep.equal(expected.tokens);
    });

    it("resumes after the delivered tokens", async () => {
      const allTokens = expectedAnswer("triage-llm", MESSAGES).tokens;
      const tokens: string[] = [];
      const resumedAttempt = {
        ...generationAttempt(),
        deliveredTokens: allTokens.slice(0, 5),
      };
      const call = link.generate(resumedAttempt, (text) => tokens.push(text));
      expect((await call.finished).isOk()).to.equal(true);
      expect(tokens).to.deep.equal(allTokens.slice(5));
    });

    it("cancels the generation at the engine", async () => {
      let tokens = 0;
      const call = link.generate(
        generationAttempt("answer-tokens=5000"),
        () => {
          if (++tokens === 3) call.cancel();
        },
      );
      expect((await call.finished).isErr()).to.equal(true);
      await sleep(30);
      expect(tokens).to.equal(3);
      expect(engine.counts.cancelled).to.equal(1);
    });

    // Without backpressure to the engine, the complete response for a slow
    // caller would be buffered in the side's memory.
    it("applies backpressure to the engine while paused", async () => {
      let tokens = 0;
      const call = link.generate(
        generationAttempt("answer-tokens=100000"),
        () => {
          if (++tokens === 10) call.pause();
        },
      );
      await sleep(400);
      const paused = tokens;
      await sleep(100);
      expect(tokens).to.equal(paused);
      call.resume();
      await sleep(50);
      expect(tokens).to.be.greaterThan(paused);
      call.cancel();
    });

    const brokenStreams = [
      ["closes in mid-token", { closeAfterTokens: 3 }, "endpoint_closed"],
      ["sends garbage", { garbageAfterTokens: 3 }, "endpoint_garbage"],
      [
        "ends without its end marker",
        { shortAfterTokens: 3 },
        "endpoint_closed",
      ],
      ["sends without end", { floodAfterTokens: 3 }, "endpoint_garbage"],
      ["refuses", { refuseStatus: 503 }, "endpoint_refused"],
      ["fails", { refuseStatus: 500 }, "endpoint_error"],
    ] as const;
    for (const [fault, faults, name] of brokenStreams) {
      // A faulty engine must not make a truncated response look complete to the
      // caller.
      it(`returns a typed failure when the engine ${fault}`, async () => {
        Object.assign(engine.faults, faults);
        let tokens = 0;
        const call = link.generate(generationAttempt(), () => tokens++);
        const end = await call.finished;
        expect(end._unsafeUnwrapErr().name).to.equal(name);
        expect(tokens).to.equal("refuseStatus" in faults ? 0 : 3);
      });
    }

    it("reports a refused connection as not started", async () => {
      await engine.close();
      const end = await link.generate(generationAttempt(), () => {}).finished;
      expect(end._unsafeUnwrapErr().name).to.equal("endpoint_refused");
    });

    // An engine that is drained hands its KV cache over to another one. The
    // next token must not wait for another prefill of the whole prompt.
    it("imports the cache of another engine", async () => {
      const long = "The log of the camera says that all is well. ".repeat(40);
      const source = new ModelEngineStandIn({ prefillTokensPerSecond: 2_000 });
      const target = new ModelEngineStandIn({ prefillTokensPerSecond: 2_000 });
      const [from, to] = await Promise.all(
        [source, target].map(async (each) =>
          new HttpEndpointLink(`http://127.0.0.1:${await each.listen()}`, {
            timer,
          })
        ),
      );
      const reference = await from.exportCache(generationAttempt(long), []);
      const cache = {
        source: "triage-1",
        tokens: 500,
        reference: reference._unsafeUnwrap(),
      };
      const withCache = await timeToFirstToken(to, {
        ...generationAttempt(long),
        cache,
      });
      const withoutCache = await timeToFirstToken(
        from,
        generationAttempt(long),
      );
      expect(withCache).to.be.below(withoutCache / 2);
      for (const each of [from, to]) each.close();
      await Promise.all([source.close(), target.close()]);
    });

    it("sends orders and observes the change", async () => {
      const target = { role: "decode" as const };
      expect((await link.order(target, 7)).isOk()).to.equal(true);
      const during = (await link.observe())._unsafeUnwrap();
      await sleep(100);
      const after = (await link.observe())._unsafeUnwrap();
      expect([during.changing, after.changing]).to.deep.equal([true, false]);
      expect(after.role).to.equal("decode");
    });

    // A planner that resumes after a pause sends an order with an old fencing
    // token. The engine's rejection must be reported as fenced.
    it("reports that an order was fenced", async () => {
      await link.order({ role: "decode" }, 7);
      const late = await link.order({ role: "prefill" }, 6);
      expect(late._unsafeUnwrapErr().name).to.equal("order_fenced");
    });
  });

  describe("a plain service", () => {
    let service: PlainServiceStandIn;
    let link: HttpEndpointLink;

    beforeEach(async () => {
      service = new PlainServiceStandIn();
      const port = await service.listen();
      link = new HttpEndpointLink(`http://127.0.0.1:${port}`, {
        timer,
        mostResponseBytes: 10_000,
      });
    });

    afterEach(async () => {
      link.close();
      await service.close();
    });

    it("forwards the call with its idempotency key", async () => {
      const response = (await link.call(serviceAttempt()))._unsafeUnwrap();
      const body = JSON.parse(response.body);
      expect(response.status).to.equal(201);
      expect(response.contentType).to.equal("application/json");
      expect(body.method).to.equal("POST");
      expect(body.path).to.equal("/case-numbers");
      expect(body.received).to.equal('{"pile":1}');
      expect(service.runs.get("key-1")).to.equal(1);
    });

    // Bodies may contain non-ASCII text or binary data. Decoding them as UTF-8
    // on the way would change their bytes.
    it("preserves every byte of forwarded bodies", async () => {
      const bytes = Buffer.from("Piet Müller, Zoë – ✓", "utf8");
      const call = serviceAttempt();
      Object.assign(call.work, { body: bytes.toString("latin1") });
      const response = (await link.call(call))._unsafeUnwrap();
      const body = Buffer.from(response.body, "latin1").toString("utf8");
      expect(JSON.parse(body).received).to.equal(bytes.toString("utf8"));
    });

    const brokenResponses = [
      ["loses its response", { lostAnswers: 1 }, "endpoint_unreachable"],
      ["closes during its response", { cutAnswers: 1 }, "endpoint_closed"],
      [
        "sends too large a response",
        { paddingBytes: 20_000 },
        "endpoint_garbage",
      ],
      ["hangs", { delayMilliseconds: 900 }, "endpoint_unreachable"],
    ] as const;
    for (const [fault, faults, name] of brokenResponses) {
      // The booking has run although its response was lost. Reporting it as not
      // run would cause a second booking.
      it(`reports that work may have run when the service ${fault}`, async () => {
        Object.assign(service.faults, faults);
        const response = await link.call(serviceAttempt());
        expect(response._unsafeUnwrapErr().name).to.equal(name);
        expect(service.runs.get("key-1")).to.equal(1);
      });
    }
  });
});

function generationAttempt(content = MESSAGES[0].content): AttemptRequest {
  return {
    ...baseAttempt(),
    work: {
      kind: "generation",
      model: "triage-llm",
      messages: [{ role: "user", content }],
      mostOutputTokens: 4096 * 100,
    },
  };
}

function serviceAttempt(): AttemptRequest {
  return {
    ...baseAttempt(),
    once: { key: "key-1", record: 3, sideIncarnation: "one" },
    work: {
      kind: "service",
      method: "POST",
      path: "/case-numbers",
      contentType: "application/json",
      body: '{"pile":1}',
      idempotent: false,
    },
  };
}

function baseAttempt(): Omit<AttemptRequest, "work"> {
  return {
    attemptId: "attempt-1",
    requestId: "request-1",
    endpoint: "triage-llm-01",
    className: "urgent",
    priority: 0,
    deadlineMilliseconds: 500,
  };
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Returns the milliseconds to the first token and cancels the generation. */
function timeToFirstToken(
  link: HttpEndpointLink,
  attempt: AttemptRequest,
): Promise<number> {
  const start = performance.now();
  return new Promise((resolve) => {
    const call = link.generate(attempt, () => {
      call.cancel();
      resolve(performance.now() - start);
    });
  });
}
