import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";
import process from "node:process";
import {
  answerBytes,
  type Script,
  ScriptedReplica,
} from "../../../test/support/scripted_replica.ts";
import type { AnswerHead } from "../../core/forwarding/mod.ts";
import type { BodyEnd } from "../../entry/forwarding/links.ts";
import { SystemTimerService } from "../time/mod.ts";
import { EndpointExchanges } from "./mod.ts";

function decodeHead(status: number, headers: readonly string[]): AnswerHead {
  const index = headers.findIndex((name) => /^x-request-id$/i.test(name));
  return {
    status,
    headers,
    requestId: index < 0 ? undefined : headers[index + 1],
    notRun: false,
  };
}

interface Outcome {
  readonly failure?: string;
  readonly body?: string;
  readonly end?: BodyEnd;
}

describe("EndpointExchanges", () => {
  let replica: ScriptedReplica;
  let address: string;
  let exchanges: EndpointExchanges;

  async function startReplica(script: Script): Promise<void> {
    replica = new ScriptedReplica(script);
    address = await replica.listen();
  }

  async function send(requestId = "r"): Promise<Outcome> {
    const exchange = exchanges.send({
      address,
      method: "POST",
      target: "/x",
      headers: ["Host", "h", "Content-Length", "4"],
      body: Buffer.from("body"),
      requestId,
    });
    const answer = await exchange.answer;
    if (answer.isErr()) return { failure: answer.error.name };
    let body = "";
    return new Promise((resolve) => {
      answer.value.read(
        (piece) => body += piece.toString(),
        (end) => resolve({ body, end }),
      );
    });
  }

  beforeEach(() => {
    exchanges = new EndpointExchanges({
      timer: new SystemTimerService(),
      mostConnections: () => 4,
      decodeHead,
    });
  });

  afterEach(() => {
    exchanges.close();
    replica?.close();
  });

  it("gives the whole body and keeps the connection", async () => {
    await startReplica((socket) => socket.write(answerBytes("hello")));
    expect(await send()).to.deep.equal({ body: "hello", end: "whole" });
    expect(await send()).to.deep.equal({ body: "hello", end: "whole" });
    expect(replica.connections).to.equal(1);
  });

  // Each idle spell left a listener on the connection: a process that serves
  // for days would slow down and fill its memory.
  it("leaves no listeners on a connection that is used again and again", async () => {
    await startReplica((socket) => socket.write(answerBytes("hello")));
    const warnings: Error[] = [];
    const recordWarning = (warning: Error) => warnings.push(warning);
    process.on("warning", recordWarning);
    for (let count = 0; count < 30; count++) await send();
    await new Promise((resolve) => setTimeout(resolve, 20));
    process.off("warning", recordWarning);
    expect(warnings.map(({ name }) => name)).to.deep.equal([]);
    expect(replica.connections).to.equal(1);
  });

  describe("an answer without a length", () => {
    it("is whole when its connection ends", async () => {
      await startReplica((socket) => {
        socket.end(answerBytes("hello", { headers: "" }));
      });
      expect(await send()).to.deep.equal({ body: "hello", end: "whole" });
    });

    // The replica crashes in the middle of such an answer and its machine
    // resets the connection. Taken for the end, half a receipt reaches the
    // member as a whole one.
    it("is cut when its connection is reset", async () => {
      await startReplica((socket) => {
        socket.write(answerBytes("hel", { headers: "" }), () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
      });
      expect((await send()).end).to.equal("cut");
    });

    // The same crash, so soon that head, bytes and reset are read in one go.
    it("is cut when the reset comes with its bytes", async () => {
      await startReplica((socket) => {
        socket.write(answerBytes("hel", { headers: "" }), () => {
          socket.resetAndDestroy();
        });
      });
      const outcome = await send();
      expect(outcome.end ?? "cut").to.equal("cut");
    });
  });

  it("is cut when it ends before its length", async () => {
    await startReplica((socket) => {
      socket.end(answerBytes("hel", { headers: "Content-Length: 5\r\n" }));
    });
    expect((await send()).end).to.equal("cut");
  });

  it("is cut when its last chunk is missing", async () => {
    await startReplica((socket) => {
      const headers = "Transfer-Encoding: chunked\r\n";
      socket.end(answerBytes("3\r\nhel\r\n", { headers }));
    });
    expect((await send()).end).to.equal("cut");
  });

  // A faulty replica answers twice. The second answer lies on the kept
  // connection when the next member asks, who would get a stranger's receipt.
  it("uses no connection on which a second answer came", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("one") + answerBytes("two"));
    });
    await send();
    replica.script = (socket) => socket.write(answerBytes("three"));
    expect(await send()).to.deep.equal({ body: "three", end: "whole" });
    expect(replica.connections).to.equal(2);
  });

  it("uses no connection on which a late answer came", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("one"));
      setTimeout(() => socket.write(answerBytes("late")), 30);
    });
    await send();
    await new Promise((resolve) => setTimeout(resolve, 80));
    replica.script = (socket) => socket.write(answerBytes("two"));
    expect(await send()).to.deep.equal({ body: "two", end: "whole" });
  });

  // The second answer comes at the very moment at which the next request is
  // sent. Only the request's id tells that it belongs to another.
  it("takes no answer that names another request", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("x", { requestId: "other" }));
    });
    expect(await send()).to.deep.equal({ failure: "exchange_foreign" });
  });

  it("takes no bytes that are no answer", async () => {
    await startReplica((socket) => socket.write("what is this\r\n\r\n"));
    expect(await send()).to.deep.equal({ failure: "exchange_lost" });
  });

  it("tells a request that was never sent from one that was lost", async () => {
    await startReplica((socket) => socket.destroy());
    expect(await send()).to.deep.equal({ failure: "exchange_lost" });
    replica.close();
    expect(await send()).to.deep.equal({ failure: "exchange_not_sent" });
  });

  // A replica refuses a long request before it has read it and keeps the
  // connection. If the rest of the body were left out, the next request would
  // be taken for that rest.
  it("sends the rest of a body that was answered early", async () => {
    const body = Buffer.alloc(3_000_000, "x");
    let received = 0;
    const server = createServer((socket) => {
      let answered = false;
      socket.on("data", (piece) => {
        received += piece.length;
        if (answered) return;
        answered = true;
        socket.write(answerBytes("early"));
      });
      socket.on("error", () => {});
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const exchange = exchanges.send({
      address: `127.0.0.1:${port}`,
      method: "POST",
      target: "/x",
      headers: ["Host", "h", "Content-Length", String(body.length)],
      body,
      requestId: "r",
    });
    const answer = (await exchange.answer)._unsafeUnwrap();
    await new Promise<void>((resolve) =>
      answer.read(() => {}, () => resolve())
    );
    await new Promise((resolve) => setTimeout(resolve, 300));
    server.close();
    exchanges.close();
    expect(received).to.be.greaterThan(body.length);
  });

  // An endpoint's registration is gone while it still streams an answer, or a
  // new endpoint has its address. Closing every connection to the address
  // would cut answers that nothing is wrong with.
  it("goes on with what is under way when an endpoint is forgotten", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("", { headers: "Content-Length: 5\r\n" }));
      setTimeout(() => socket.write("hello"), 60);
    });
    const pendingOutcome = send();
    await new Promise((resolve) => setTimeout(resolve, 30));
    exchanges.forget(address);
    expect(await pendingOutcome).to.deep.equal({ body: "hello", end: "whole" });
    exchanges.forget(address);
    await send();
    expect(replica.connections).to.equal(2);
  });

  // A replica tells that it closes idle connections after a second. A request
  // that is sent on one as it is being closed may have run or not.
  it("leaves a connection that is near its idle timeout", async () => {
    await startReplica((socket) => {
      const headers = "Content-Length: 1\r\nKeep-Alive: timeout=1\r\n";
      socket.write(answerBytes("x", { headers }));
    });
    await send();
    await new Promise((resolve) => setTimeout(resolve, 700));
    await send();
    expect(replica.connections).to.equal(2);
  });
});
