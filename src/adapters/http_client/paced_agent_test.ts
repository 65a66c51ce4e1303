import { expect } from "chai";
import { type IncomingMessage, request } from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { PacedAgent } from "./mod.ts";

const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const PIECES = 60_000;

describe("PacedAgent", () => {
  let server: Server;

  async function ask(
    answer: (socket: Socket) => void,
    agent = new PacedAgent(),
  ): Promise<IncomingMessage> {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => answer(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    return await askAgain(agent);
  }

  function askAgain(agent: PacedAgent): Promise<IncomingMessage> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      const outgoing = request({ host: "127.0.0.1", port, agent });
      outgoing.on("response", resolve);
      outgoing.on("error", reject);
      outgoing.end();
    });
  }

  async function bodyOf(incoming: IncomingMessage): Promise<string> {
    incoming.setEncoding("latin1");
    let body = "";
    for await (const chunk of incoming) body += chunk;
    return body;
  }

  afterEach(() => server.close());

  /** Chunks of one byte whose values show their order. */
  function smallChunks(): string {
    return Array.from({ length: PIECES }, (_, at) => `1\r\n${at % 10}\r\n`)
      .join("") + "0\r\n\r\n";
  }

  const expected = Array.from({ length: PIECES }, (_, at) => at % 10).join("");

  it("passes on all bytes of a body of small chunks in order", async () => {
    const incoming = await ask((socket) => socket.write(HEAD + smallChunks()));
    expect(await bodyOf(incoming)).to.equal(expected);
  });

  it("passes on a body whose connection closes right behind it", async () => {
    const incoming = await ask((socket) => socket.end(HEAD + smallChunks()));
    expect(await bodyOf(incoming)).to.equal(expected);
    expect(incoming.complete).to.equal(true);
  });

  it("goes on with a body that was paused", async () => {
    const incoming = await ask((socket) => socket.end(HEAD + smallChunks()));
    let body = "";
    incoming.on("data", (chunk) => {
      body += chunk;
      if (body.length % 10_000 !== 0) return;
      incoming.pause();
      incoming.socket.pause();
      setTimeout(() => {
        incoming.resume();
        incoming.socket.resume();
      }, 5);
    });
    await new Promise((resolve) => incoming.on("end", resolve));
    expect(body).to.equal(expected);
  });

  // The event loop stood still for 18 ms with each read of 64 KiB.
  it("lets others run while it parses a body of small chunks", async () => {
    const incoming = await ask((socket) => socket.write(HEAD + smallChunks()));
    let piecesInTurn = 0;
    let mostInTurn = 0;
    const countTurn = () => {
      mostInTurn = Math.max(mostInTurn, piecesInTurn);
      piecesInTurn = 0;
    };
    incoming.on("data", () => {
      if (piecesInTurn === 0) setImmediate(countTurn);
      piecesInTurn += 1;
    });
    await new Promise((resolve) => incoming.on("end", resolve));
    expect(mostInTurn).to.be.at.most(5_500);
  });

  it("does not reuse a connection with bytes behind an answer", async () => {
    const agent = new PacedAgent({ keepAlive: true });
    let connections = 0;
    const incoming = await ask((socket) => {
      socket.write(`${HEAD}${smallChunks()}${"x".repeat(200_000)}`);
    }, agent);
    server.on("connection", () => connections += 1);
    await bodyOf(incoming);
    const again = await askAgain(agent);
    expect(await bodyOf(again)).to.equal(expected);
    expect(connections).to.equal(1);
    agent.destroy();
  });

  // Node stops to listen at the end of an answer, and dropped later slices.
  it("does not reuse a connection with bytes from a slice behind the answer", async () => {
    const agent = new PacedAgent({ keepAlive: true });
    const head = "HTTP/1.1 200 OK\r\nContent-Length: 1900\r\n";
    const padding = `X: ${"x".repeat(2_048 - 1_900 - head.length - 7)}\r\n\r\n`;
    let connections = 0;
    const incoming = await ask((socket) => {
      const answer = head + padding + "a".repeat(1_900);
      socket.write(answer + "HTTP/1.1 200 OK\r\n");
    }, agent);
    server.on("connection", () => connections += 1);
    expect(await bodyOf(incoming)).to.equal("a".repeat(1_900));
    await bodyOf(await askAgain(agent));
    expect(connections).to.equal(1);
    agent.destroy();
  });

  // The reads that waited behind the one that threw were never continued, and
  // their streams stood still until another read had to wait.
  it("goes on with other connections if a listener throws", async () => {
    const listeners = process.listeners("uncaughtException");
    process.removeAllListeners("uncaughtException");
    let thrown = 0;
    process.on("uncaughtException", () => thrown += 1);
    try {
      const agent = new PacedAgent();
      const throwing = await ask(
        (socket) => socket.end(HEAD + smallChunks()),
        agent,
      );
      const other = await askAgain(agent);
      let pieces = 0;
      throwing.on("error", () => {});
      const closed = new Promise((resolve) => throwing.on("close", resolve));
      throwing.on("data", () => {
        pieces += 1;
        if (pieces === PIECES / 2) throw new Error("a listener");
      });
      const body = await Promise.race([
        bodyOf(other),
        new Promise((resolve) => setTimeout(resolve, 2_000)),
      ]);
      expect(thrown).to.equal(1);
      expect(body).to.equal(expected);
      await closed;
    } finally {
      process.removeAllListeners("uncaughtException");
      for (const each of listeners) process.on("uncaughtException", each);
    }
  });
});
