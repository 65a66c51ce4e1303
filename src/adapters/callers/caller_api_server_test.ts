import { expect } from "chai";
import {
  rawRequest,
  sendRaw,
  statusCodes,
} from "../../../test/support/raw_http.ts";
import { identifier } from "../../core/identity/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import type { AnswerSink } from "../../core/requests/mod.ts";
import { CallerApiServer, type CallerApiServerOptions } from "./mod.ts";

describe("CallerApiServer", () => {
  let server: CallerApiServer;
  let port: number;

  const options: CallerApiServerOptions = {
    host: "127.0.0.1",
    port: 0,
    mostBodyBytes: 4 * 1024 * 1024,
    service: {
      submit: () => {
        throw new Error("No request is expected");
      },
      models: () => [],
      routeIsIdempotent: () => undefined,
      state: "draining",
    },
    logger: NOOP_LOGGER,
    newRequestId: () => identifier("request"),
    wallClockSeconds: () => 0,
    metrics: () => Promise.resolve(""),
  };

  beforeEach(async () => {
    server = new CallerApiServer(options);
    port = (await server.listen())._unsafeUnwrap();
  });

  afterEach(() => server.close());

  // Closing the listening socket resets the connections in its queue, so that
  // their callers get no answer.
  it("answers connections that wait to be accepted when it stops", async () => {
    const request = rawRequest("GET /health", ["Host: h", "Connection: close"]);
    const answers = Array.from({ length: 5 }, () => sendRaw(request, { port }));
    server.stopListening();
    const statuses = (await Promise.all(answers)).map(statusCodes);
    expect(statuses).to.deep.equal(Array(5).fill([503]));
  });

  // Each piece holds a buffer, so that a body within the limit of bytes filled
  // the memory.
  it("ends a body of small pieces before its limit of bytes", async () => {
    const head = "POST /x HTTP/1.1\r\nHost: h\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n";
    const answer = await sendRaw(head + "1\r\nx\r\n".repeat(20_000), { port });
    expect(statusCodes(answer)).to.deep.equal([400]);
    expect(answer).to.include("pieces below 12 bytes");
  });

  describe("with several requests on a connection", () => {
    let cancelled: number;
    let sinks: AnswerSink[];

    beforeEach(async () => {
      server.close();
      cancelled = 0;
      sinks = [];
      server = new CallerApiServer({
        ...options,
        service: {
          ...options.service,
          state: "serving",
          submit: (_, sink) => {
            sinks.push(sink);
            return { cancel: () => void (cancelled += 1), drained() {} };
          },
        },
      });
      port = (await server.listen())._unsafeUnwrap();
    });

    async function sendTwo(behind = ""): Promise<string> {
      const body = JSON.stringify({
        model: "m",
        messages: [{ role: "user", content: "x" }],
      });
      const request = rawRequest("POST /v1/chat/completions", [
        "Host: h",
        "Content-Type: application/json",
        `Content-Length: ${body.length}`,
      ], body);
      return await sendRaw(request.repeat(2) + behind, {
        port,
        waitMilliseconds: 150,
      });
    }

    // Its response does not close with the connection.
    it("cancels those that wait for an earlier answer when the caller leaves", async () => {
      await sendTwo();
      await new Promise((resolve) => setTimeout(resolve, 50));
      expect(sinks.length).to.be.greaterThan(0);
      expect(cancelled).to.equal(sinks.length);
    });

    // The caller would read it as the answer to its first request.
    it("does not answer bytes that are not a request before those", async () => {
      expect(await sendTwo("what is this\r\n\r\n")).to.equal("");
    });
  });
});
