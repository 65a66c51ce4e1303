import { expect } from "chai";
import { type AddressInfo, createServer, type Socket } from "node:net";
import process from "node:process";
import {
  answerBytes,
  type ReplicaScript,
  ScriptedReplica,
} from "../../../test/support/scripted_replica.ts";
import type { DecodedHead } from "../../core/forwarding/mod.ts";
import type { BodyEnd } from "../../entry/forwarding/network_interfaces.ts";
import { SystemTimerService } from "../time/mod.ts";
import { EndpointHttpClient } from "./mod.ts";

function decodeHead(status: number, headers: readonly string[]): DecodedHead {
  const index = headers.findIndex((name) => /^x-request-id$/i.test(name));
  return {
    status,
    headers,
    requestIds: index < 0 ? [] : [headers[index + 1]],
    claimsNotRun: false,
    signatures: 1,
    contentEncodings: [],
  };
}

interface Outcome {
  readonly failure?: string;
  readonly body?: string;
  readonly end?: BodyEnd;
}

describe("EndpointHttpClient", () => {
  let replica: ScriptedReplica;
  let address: string;
  let client: EndpointHttpClient;

  async function startReplica(script: ReplicaScript): Promise<void> {
    replica = new ScriptedReplica(script);
    address = await replica.listen();
  }

  async function send(
    requestId = "r",
    { usesOwnConnection = false } = {},
  ): Promise<Outcome> {
    const exchange = client.send({
      address,
      method: "POST",
      target: "/x",
      headers: ["Host", "h", "Content-Length", "4"],
      body: Buffer.from("body"),
      requestId,
      usesOwnConnection,
    });
    const response = await exchange.answer;
    if (response.isErr()) return { failure: response.error.name };
    let body = "";
    return new Promise((resolve) => {
      response.value.read(
        (chunk) => body += chunk.toString(),
        (end) => resolve({ body, end }),
      );
    });
  }

  beforeEach(() => {
    client = new EndpointHttpClient({
      timer: new SystemTimerService(),
      mostConnections: () => 4,
      decodeHead,
    });
  });

  afterEach(() => {
    client.close();
    replica?.close();
  });

  it("returns the complete body and reuses the connection", async () => {
    await startReplica((socket) => socket.write(answerBytes("hello")));
    expect(await send()).to.deep.equal({ body: "hello", end: "whole" });
    expect(await send()).to.deep.equal({ body: "hello", end: "whole" });
    expect(replica.connections).to.equal(1);
  });

  // A listener left on the socket by each idle period would slow down a process
  // that runs for days and exhaust its memory.
  it("leaves no listeners on a connection that is reused many times", async () => {
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

  describe("a response without a length", () => {
    it("is complete when its connection ends", async () => {
      await startReplica((socket) => {
        socket.end(answerBytes("hello", { headers: "" }));
      });
      expect(await send()).to.deep.equal({ body: "hello", end: "whole" });
    });

    // The replica crashes during such a response and its operating system
    // resets the connection. If the reset counted as the end, a truncated
    // response would be delivered as a complete one.
    it("is truncated when its connection is reset", async () => {
      await startReplica((socket) => {
        socket.write(answerBytes("hel", { headers: "" }), () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
      });
      expect((await send()).end).to.equal("cut");
    });

    // The same crash, so early that headers, body and reset are read at once.
    it("is truncated when the reset arrives with its bytes", async () => {
      await startReplica((socket) => {
        socket.write(answerBytes("hel", { headers: "" }), () => {
          socket.resetAndDestroy();
        });
      });
      const outcome = await send();
      expect(outcome.end ?? "cut").to.equal("cut");
    });
  });

  it("reports truncation when the body is shorter than its length", async () => {
    await startReplica((socket) => {
      socket.end(answerBytes("hel", { headers: "Content-Length: 5\r\n" }));
    });
    expect((await send()).end).to.equal("cut");
  });

  it("reports truncation when the last chunk is missing", async () => {
    await startReplica((socket) => {
      const headers = "Transfer-Encoding: chunked\r\n";
      socket.end(answerBytes("3\r\nhel\r\n", { headers }));
    });
    expect((await send()).end).to.equal("cut");
  });

  // A faulty replica responds twice. The second response waits on the
  // keep-alive connection and would be delivered to another caller's request.
  it("does not reuse a connection that received a second response", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("one") + answerBytes("two"));
    });
    await send();
    replica.script = (socket) => socket.write(answerBytes("three"));
    expect(await send()).to.deep.equal({ body: "three", end: "whole" });
    expect(replica.connections).to.equal(2);
  });

  it("does not reuse a connection that received a late response", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("one"));
      setTimeout(() => socket.write(answerBytes("late")), 30);
    });
    await send();
    await new Promise((resolve) => setTimeout(resolve, 80));
    replica.script = (socket) => socket.write(answerBytes("two"));
    expect(await send()).to.deep.equal({ body: "two", end: "whole" });
  });

  // If the second response arrives just as the next request is sent, only the
  // request id shows that it belongs to another request.
  it("rejects a response with another request id", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("x", { requestId: "other" }));
    });
    expect(await send()).to.deep.equal({ failure: "exchange_foreign" });
  });

  // The second answer to a request waits on the connection, and has the right
  // id when the request is sent again.
  it("sends a repeated request on a connection without earlier answers", async () => {
    await startReplica((socket) => socket.write(answerBytes("first")));
    await send();
    replica.script = (socket) => {
      const isReused = replica.connections === 1;
      socket.write(answerBytes(isReused ? "first, late" : "second"));
    };
    expect(await send("r", { usesOwnConnection: true }))
      .to.deep.equal({ body: "second", end: "whole" });
  });

  // The answer to a call without an id comes twice. The second one has no id
  // either, and would be passed on to the caller of the next request.
  it("gets no late answer to a call without an id", async () => {
    const list = answerBytes("list").replace(/X-Request-Id: r\r\n/, "");
    await startReplica((socket) => socket.write(list));
    expect(await send("")).to.deep.equal({ body: "list", end: "whole" });
    replica.script = (socket) => {
      const isReused = replica.connections === 1;
      socket.write(isReused ? list : answerBytes("own"));
    };
    expect(await send()).to.deep.equal({ body: "own", end: "whole" });
  });

  // A throw in the listener of a socket ends the process.
  it("loses the response alone whose head throws", async () => {
    await startReplica((socket) => socket.write(answerBytes("x")));
    client = new EndpointHttpClient({
      timer: new SystemTimerService(),
      mostConnections: () => 4,
      decodeHead: () => {
        throw new TypeError("Invalid header");
      },
    });
    expect(await send()).to.deep.equal({ failure: "exchange_lost" });
  });

  it("rejects bytes that are not an HTTP response", async () => {
    await startReplica((socket) => socket.write("what is this\r\n\r\n"));
    expect(await send()).to.deep.equal({ failure: "exchange_lost" });
  });

  it("distinguishes a request that was never sent from a lost one", async () => {
    await startReplica((socket) => socket.destroy());
    expect(await send()).to.deep.equal({ failure: "exchange_lost" });
    replica.close();
    expect(await send()).to.deep.equal({ failure: "exchange_not_sent" });
  });

  describe("a request that counts as not sent", () => {
    /** Sends a body of this size to a server that counts the bytes it reads. */
    async function countBytes(
      { bodyBytes, pause, onBytes = () => {} }: {
        readonly bodyBytes: number;
        readonly pause: () => Promise<void>;
        readonly onBytes?: (socket: Socket) => void;
      },
    ): Promise<{ readonly received: number; readonly result: string }> {
      let received = 0;
      const server = createServer((socket) => {
        socket.on("data", (chunk) => {
          received += chunk.length;
          onBytes(socket);
        });
        socket.on("error", () => {});
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const exchange = client.send({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: "POST",
        target: "/x",
        headers: ["Host", "h", "Content-Length", String(bodyBytes)],
        body: Buffer.alloc(bodyBytes, "x"),
        requestId: "r",
      });
      await pause();
      const abort = setTimeout(() => exchange.abort(), 100);
      const answer = await exchange.answer;
      clearTimeout(abort);
      await new Promise((resolve) => setTimeout(resolve, 50));
      server.close();
      const result = answer.isErr() ? answer.error.name : "answered";
      return { received, result };
    }

    // Bytes written after the connect timeout would run a request twice.
    const pauses: Readonly<Record<string, () => Promise<void>>> = {
      "in the same turn": () => Promise.resolve(),
      "after a microtask": () => new Promise(queueMicrotask),
      "after a tick": () => new Promise((resolve) => process.nextTick(resolve)),
      "before the next poll": () =>
        new Promise((resolve) => setTimeout(resolve, 0)),
      "after the next poll": () =>
        new Promise((resolve) => setImmediate(resolve)),
    };
    for (const [name, wait] of Object.entries(pauses)) {
      it(`is one of which no byte was read, if the process is busy ${name}`, async () => {
        const pause = async () => {
          await wait();
          const end = performance.now() + 450;
          while (performance.now() < end);
        };
        const { received, result } = await countBytes({ bodyBytes: 4, pause });
        const expected = received > 0 ? "exchange_lost" : "exchange_not_sent";
        expect(result).to.equal(expected);
      });
    }

    // A replica may act on the part of a request that it has read.
    for (const isReset of [true, false]) {
      it(`is none of which a part was read before a ${isReset ? "reset" : "timeout"}`, async () => {
        const { received, result } = await countBytes({
          bodyBytes: 20_000_000,
          pause: () => Promise.resolve(),
          onBytes: (socket) => {
            if (isReset) socket.resetAndDestroy();
            else socket.pause();
          },
        });
        expect(received).to.be.within(1, 19_999_999);
        expect(result).to.equal("exchange_lost");
      });
    }
  });

  // A replica refuses a long request before reading it and keeps the
  // connection. If the rest of the body were not sent, the replica would read
  // the next request as that rest.
  it("sends the rest of a body after an early response", async () => {
    const body = Buffer.alloc(3_000_000, "x");
    let received = 0;
    const server = createServer((socket) => {
      let answered = false;
      socket.on("data", (chunk) => {
        received += chunk.length;
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
    const exchange = client.send({
      address: `127.0.0.1:${port}`,
      method: "POST",
      target: "/x",
      headers: ["Host", "h", "Content-Length", String(body.length)],
      body,
      requestId: "r",
    });
    const response = (await exchange.answer)._unsafeUnwrap();
    await new Promise<void>((resolve) =>
      response.read(() => {}, () => resolve())
    );
    await new Promise((resolve) => setTimeout(resolve, 300));
    server.close();
    client.close();
    expect(received).to.be.greaterThan(body.length);
  });

  // An endpoint may lose its registration while it streams a response, or a new
  // endpoint may have its address. Closing all connections to the address would
  // truncate valid responses.
  it("keeps connections in use when it closes idle ones", async () => {
    await startReplica((socket) => {
      socket.write(answerBytes("", { headers: "Content-Length: 5\r\n" }));
      setTimeout(() => socket.write("hello"), 60);
    });
    const pendingOutcome = send();
    await new Promise((resolve) => setTimeout(resolve, 30));
    client.closeIdleConnections(address);
    expect(await pendingOutcome).to.deep.equal({ body: "hello", end: "whole" });
    client.closeIdleConnections(address);
    await send();
    expect(replica.connections).to.equal(2);
  });

  // A replica announces that it closes idle connections after a second. Whether
  // a request sent during the close has run is unknown.
  it("does not reuse a connection that is near its idle timeout", async () => {
    await startReplica((socket) => {
      const headers = "Content-Length: 1\r\nKeep-Alive: timeout=1\r\n";
      socket.write(answerBytes("x", { headers }));
    });
    await send();
    await new Promise((resolve) => setTimeout(resolve, 700));
    await send();
    expect(replica.connections).to.equal(2);
  });

  // Nothing but time shows that an idle connection has gone silent, and a request
  // on it has no answer until its deadline, which may not be sent again.
  for (const announced of [undefined, 30, 600]) {
    it(`has an answer though the idle connections have gone silent: ${announced} s announced`, async () => {
      const silent = new Set<Socket>();
      await startReplica((socket) => {
        const headers = announced === undefined
          ? ""
          : `Keep-Alive: timeout=${announced}\r\n`;
        if (silent.has(socket)) return;
        socket.write(
          answerBytes("x", { headers: `Content-Length: 1\r\n${headers}` }),
        );
      });
      await Promise.all([send(), send(), send()]);
      for (const socket of replica.sockets) silent.add(socket);
      await new Promise((resolve) => setTimeout(resolve, 2_200));
      const outcomes = await Promise.race([
        Promise.all([send(), send(), send()]),
        new Promise<Outcome[]>((resolve) => setTimeout(resolve, 500, [])),
      ]);
      expect(outcomes.map(({ body }) => body)).to.deep.equal(["x", "x", "x"]);
    });
  }

  // Each request would need a new connection, which endpoints accept few of.
  it("reuses a connection that was idle for a second", async () => {
    await startReplica((socket) => {
      const headers = "Content-Length: 1\r\nKeep-Alive: timeout=30\r\n";
      socket.write(answerBytes("x", { headers }));
    });
    await send();
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    await send();
    expect(replica.connections).to.equal(1);
  });

  // Node throws where a socket's timeout is infinite, outside the request.
  it("survives an announced idle timeout with more digits than a number holds", async () => {
    await startReplica((socket) => {
      const headers = "Content-Length: 1\r\n" +
        `Keep-Alive: timeout=${"9".repeat(400)}\r\n`;
      socket.write(answerBytes("x", { headers }));
    });
    const thrown: Error[] = [];
    const recordThrow = (error: Error) => thrown.push(error);
    const listeners = process.listeners("uncaughtException");
    process.removeAllListeners("uncaughtException");
    process.on("uncaughtException", recordThrow);
    const first = await send();
    await new Promise((resolve) => setTimeout(resolve, 20));
    const second = await send();
    process.off("uncaughtException", recordThrow);
    for (const each of listeners) process.on("uncaughtException", each);
    expect(thrown).to.deep.equal([]);
    expect([first, second].map(({ body }) => body)).to.deep.equal(["x", "x"]);
  });

  it("reports whether a process accepts connections, without a request", async () => {
    await startReplica(() => {});
    const accepted = client.connect(address);
    await accepted.opened;
    expect(accepted.state).to.equal("open");
    expect(replica.requests).to.deep.equal([]);
    accepted.close();
    replica.close();
    const rejected = client.connect(address);
    await rejected.opened;
    expect(rejected.state).to.equal("rejected");
  });
});
