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
      mostBodyBytes: 1_000,
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
});
