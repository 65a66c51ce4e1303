import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { expect } from "chai";
import {
  readRequestBody,
  StandInServer,
} from "../../../test/stand_ins/stand_in_server.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { PeerAddress } from "../../core/links/mod.ts";
import type { AttemptRequest } from "../../generated/messages.ts";
import { HttpPeerClient } from "./mod.ts";

describe("HttpPeerClient", () => {
  let answer: (id: unknown) => unknown;
  let client: HttpPeerClient;
  let server: StandInServer;
  let address: PeerAddress;
  const sockets = new Set<Socket>();
  /** Connections on which nothing is answered any more. */
  const silent = new WeakSet<Socket>();

  beforeEach(async () => {
    client = new HttpPeerClient();
    sockets.clear();
    server = new StandInServer(async (request, response) => {
      sockets.add(request.socket);
      if (silent.has(request.socket)) return;
      const { id } = JSON.parse(await readRequestBody(request));
      response.end(JSON.stringify(answer(id)));
    });
    address = identifier<PeerAddress>(`127.0.0.1:${await server.listen()}`);
  });

  afterEach(async () => {
    client.close();
    await server.close();
  });

  // Reading the state of such an answer throws in a timer, which ended the
  // process; an answer to another call was waited for without an end.
  const invalid: Readonly<Record<string, (id: unknown) => unknown>> = {
    "null": () => null,
    "a text": () => "state",
    "an answer to another call": () => ({
      jsonrpc: "2.0",
      id: 99,
      result: { upTo: 1, state: {} },
    }),
    "an answer without a state": (id) => ({
      jsonrpc: "2.0",
      id,
      result: null,
    }),
    "a state that is a list": (id) => ({
      jsonrpc: "2.0",
      id,
      result: { upTo: 1, state: [] },
    }),
  };
  for (const [name, value] of Object.entries(invalid)) {
    it(`fails on ${name}`, async () => {
      answer = value;
      const snapshot = await client.snapshot(address, "forwarding");
      expect(snapshot.isErr() && snapshot.error.name).to.equal("link_lost");
    });
  }

  it("returns a snapshot", async () => {
    const result = { upTo: 1, state: { age: 1 } };
    answer = (id) => ({ jsonrpc: "2.0", id, result });
    const snapshot = await client.snapshot(address, "forwarding");
    expect(snapshot._unsafeUnwrap()).to.deep.equal(result);
  });

  // Nothing but time shows that an idle connection has gone silent. An attempt
  // that may not be repeated would be lost on it.
  it("has an answer though the idle connections have gone silent", async () => {
    const result = { upTo: 1, state: {} };
    answer = (id) => ({ jsonrpc: "2.0", id, result });
    await client.snapshot(address, "forwarding");
    for (const socket of sockets) silent.add(socket);
    await new Promise((resolve) => setTimeout(resolve, 2_200));
    const snapshot = await client.snapshot(address, "forwarding");
    expect(snapshot.isOk() && snapshot.value).to.deep.equal(result);
  });

  describe("a connection that fails", () => {
    const attempt = { attemptId: "a" } as unknown as AttemptRequest;

    it("has sent nothing if it was refused", async () => {
      await server.close();
      const closed = await client.run(address, attempt, () => {}).closed;
      expect(closed.isErr() && closed.error.name).to.equal("link_not_sent");
    });

    // Taken for not sent, a non-idempotent request would run at a second side.
    for (const code of ["EHOSTUNREACH", "ECONNREFUSED"]) {
      it(`may have sent the message if ${code} follows the connect`, async () => {
        const sockets: Socket[] = [];
        const onSocket = (message: unknown) =>
          sockets.push((message as { readonly socket: Socket }).socket);
        subscribe("net.client.socket", onSocket);
        const received: unknown[] = [];
        answer = (id) => {
          received.push(id);
          const error = Object.assign(new Error(`read ${code}`), { code });
          for (const socket of sockets) socket.destroy(error);
          return null;
        };
        const closed = await client.run(address, attempt, () => {}).closed;
        unsubscribe("net.client.socket", onSocket);
        expect(received).to.have.length(1);
        expect(closed.isErr() && closed.error.name).to.equal("link_lost");
      });
    }
  });
});
