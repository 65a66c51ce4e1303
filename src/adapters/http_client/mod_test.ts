import type { Socket } from "node:net";
import { expect } from "chai";
import {
  answerBytes,
  ScriptedReplica,
} from "../../../test/support/scripted_replica.ts";
import { SystemTimerService } from "../time/mod.ts";
import {
  type HttpCallOptions,
  HttpClient,
  isSelfDelimitedJson,
} from "./mod.ts";

const CALL: HttpCallOptions = {
  method: "GET",
  timeoutMilliseconds: 1_000,
  mostResponseBytes: 10_000,
};

describe("HttpClient", () => {
  /** Calls a service that ends its body with the connection. */
  async function callFor(
    body: string,
    options: {
      readonly isReset?: boolean;
      readonly isSelfDelimited?: HttpCallOptions["isSelfDelimited"];
    } = {},
  ): Promise<string> {
    const service = new ScriptedReplica((socket) => {
      socket.write(answerBytes(body, { headers: "" }), () => {
        if (options.isReset) setTimeout(() => socket.resetAndDestroy(), 20);
        else socket.end();
      });
    });
    const client = new HttpClient(`http://${await service.listen()}`, {
      timer: new SystemTimerService(),
    });
    const { isSelfDelimited } = options;
    const result = await client.call("/x", { ...CALL, isSelfDelimited });
    client.close();
    service.close();
    return result.isOk() ? result.value.body : result.error.name;
  }

  // Nothing but time shows that an idle connection has gone silent. A call that
  // may not be repeated would be lost on it.
  it("has an answer though the idle connections have gone silent", async () => {
    const silent = new Set<Socket>();
    const service = new ScriptedReplica((socket) => {
      if (silent.has(socket)) return;
      socket.write(answerBytes("{}", { headers: "Content-Length: 2\r\n" }));
    });
    const client = new HttpClient(`http://${await service.listen()}`, {
      timer: new SystemTimerService(),
    });
    await client.call("/x", CALL);
    await client.call("/x", CALL);
    expect(service.connections).to.equal(1);
    for (const socket of service.sockets) silent.add(socket);
    await new Promise((resolve) => setTimeout(resolve, 2_200));
    const result = await client.call("/x", { ...CALL, method: "POST" });
    client.close();
    service.close();
    expect(result.isOk() && result.value.body).to.equal("{}");
  });

  describe("a body that ends with its connection", () => {
    it("is accepted if its content shows that it is complete", async () => {
      for (const body of ['{"offset":127}', "[1, 2]", ""]) {
        expect(await callFor(body)).to.equal(body);
      }
    });

    // The start of an answer may parse as another value.
    it("is not taken for complete if it may be the start of another", async () => {
      for (const body of ["12", '{"offset":12', '"a', "true", "nul", "[1"]) {
        expect(await callFor(body)).to.equal("http_closed");
      }
    });

    it("is not taken for complete after a reset", async () => {
      const body = '{"offset":127}';
      expect(await callFor(body, { isReset: true })).to.equal("http_closed");
    });

    it("is judged as the calling code says", async () => {
      expect(await callFor("case 7", { isSelfDelimited: () => true }))
        .to.equal("case 7");
    });
  });
});

describe("isSelfDelimitedJson", () => {
  it("is false for each truncated object", () => {
    const text = ' {"items":[{"key":"a"}],"end":127}';
    for (let length = 1; length < text.length; length++) {
      expect(isSelfDelimitedJson(text.slice(0, length))).to.equal(false);
    }
    expect(isSelfDelimitedJson(text)).to.equal(true);
  });
});
