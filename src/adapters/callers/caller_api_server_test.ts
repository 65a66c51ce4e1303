import { expect } from "chai";
import {
  rawRequest,
  sendRaw,
  statusCodes,
} from "../../../test/support/raw_http.ts";
import { identifier } from "../../core/identity/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { CallerApiServer } from "./mod.ts";

describe("CallerApiServer", () => {
  let server: CallerApiServer;
  let port: number;

  beforeEach(async () => {
    server = new CallerApiServer({
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
    });
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
});
