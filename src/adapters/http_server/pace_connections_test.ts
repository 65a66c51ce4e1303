import { expect } from "chai";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { paceConnections } from "./mod.ts";

const PIECES = 60_000;
const HEAD = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
const BODY = Array.from({ length: PIECES }, (_, at) => String(at % 10));
const SMALL_CHUNKS = BODY.map((text) => `1\r\n${text}\r\n`).join("") +
  "0\r\n\r\n";

/** Answers with the body of the request, in one piece. */
async function echo(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  incoming.setEncoding("latin1");
  let body = "";
  for await (const chunk of incoming) body += chunk;
  outgoing.end(body);
}

describe("paceConnections", () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer((incoming, outgoing) =>
      void echo(incoming, outgoing)
    );
    paceConnections(server);
    await new Promise<void>((resolve) => server.listen(0, resolve));
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Sends the bytes, and ends the connection behind them if asked to. */
  function exchange(bytes: string, ends: boolean): Promise<string> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
      let text = "";
      socket.on("data", (chunk) => text += chunk.toString("latin1"));
      socket.on("error", reject);
      socket.on("end", () => {
        socket.end();
        resolve(text);
      });
      if (ends) socket.end(bytes, "latin1");
      else socket.write(bytes, "latin1");
    });
  }

  for (const ends of [true, false]) {
    const how = ends ? "ends behind it" : "stays open";
    it(`reads all of a body of small chunks in order if the caller ${how}`, async () => {
      const text = await exchange(
        `${HEAD}Connection: close\r\n\r\n${SMALL_CHUNKS}`,
        ends,
      );
      const [, answer] = text.split("\r\n\r\n");
      expect(answer).to.equal(BODY.join(""));
    });
  }

  it("answers requests behind one with a body of small chunks", async () => {
    const pipelined = `${HEAD}\r\n${SMALL_CHUNKS}`.repeat(2) +
      "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    const text = await exchange(pipelined, false);
    expect(text.split("HTTP/1.1 200 OK\r\n").length - 1).to.equal(3);
    expect(text.split(BODY.join("")).length - 1).to.equal(2);
  });

  it("rejects invalid bytes behind a body of small chunks", async () => {
    const text = await exchange(`${HEAD}\r\n${SMALL_CHUNKS}no request`, true);
    expect(text).to.include("HTTP/1.1 400 Bad Request");
  });
});
