import { once } from "node:events";
import process from "node:process";
import { Worker } from "node:worker_threads";
import { expect } from "chai";
import { SystemTimerService } from "../time/mod.ts";
import { QuestionConnection } from "./endpoint_connection.ts";

const MAX_RESET_MILLISECONDS = 5_000;
/** Resets each connection that it has accepted, and says so in `data`. */
const RESETTING_SERVER = `
const { createServer } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const server = createServer((socket) => {
  socket.on("close", () => {
    Atomics.store(workerData, 0, 1);
    Atomics.notify(workerData, 0);
  });
  socket.resetAndDestroy();
});
server.listen(0, "127.0.0.1", () =>
  parentPort.postMessage(server.address().port));
`;

describe("QuestionConnection", () => {
  // An event loop that is late learns of the reset only, without the start of
  // the connection. A living replica behind resets then counted as crashed.
  it("has ended if it was accepted and reset before the event loop ran", async () => {
    const resets = new Int32Array(new SharedArrayBuffer(4));
    const server = new Worker(RESETTING_SERVER, {
      eval: true,
      workerData: resets,
    });
    try {
      const [port] = await once(server, "message");
      const address = { host: "127.0.0.1", port };
      const connection = new QuestionConnection(
        address,
        new SystemTimerService(),
      );
      // The socket connects in the next tick.
      await new Promise<void>((resolve) => process.nextTick(resolve));
      const result = Atomics.wait(resets, 0, 0, MAX_RESET_MILLISECONDS);
      expect(result).to.not.equal("timed-out");
      await connection.opened;
      expect(connection.state).to.equal("ended");
      connection.close();
    } finally {
      await server.terminate();
    }
  });

  it("is rejected where nothing listens", async () => {
    const address = { host: "127.0.0.1", port: 1 };
    const connection = new QuestionConnection(
      address,
      new SystemTimerService(),
    );
    await connection.opened;
    expect(connection.state).to.equal("rejected");
  });
});
