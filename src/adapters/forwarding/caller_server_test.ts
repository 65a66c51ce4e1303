import { expect } from "chai";
import { Agent, request } from "node:http";
import { connect, type Socket } from "node:net";
import { makePlannedStop } from "../../../test/support/planned_stop.ts";
import { findFreePort } from "../../../test/support/free_port.ts";
import {
  rawRequest,
  sendRaw,
  statusCodes,
} from "../../../test/support/raw_http.ts";
import type { ForwardedRequest } from "../../core/forwarding/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import { ManualTimerService, type TimerService } from "../../core/time/mod.ts";
import type { CallerSink } from "../../entry/forwarding/network_interfaces.ts";
import { SystemTimerService } from "../time/mod.ts";
import { CallerServer } from "./mod.ts";

const LIMITS = {
  mostHeaderBytes: 2_000,
  mostBodyBytes: 1_000,
  headerMilliseconds: 2_000,
  idleMilliseconds: 5_000,
};

describe("CallerServer", () => {
  let server: CallerServer;
  let port: number;
  let forwarded: { request: ForwardedRequest; sink: CallerSink }[];
  let loopDelays: number[];
  /** Called when a request has been read, before it is passed on. */
  let onRead: () => void;

  beforeEach(() => open(new SystemTimerService()));

  async function open(timer: TimerService): Promise<void> {
    forwarded = [];
    const reported: number[] = [];
    loopDelays = reported;
    onRead = () => {};
    port = await findFreePort();
    server = new CallerServer({
      host: "127.0.0.1",
      port,
      timer,
      plannedStop: makePlannedStop(timer),
      limits: () => LIMITS,
      decode: ({ method, target, headers, body }) => {
        onRead();
        return {
          id: identifier("r"),
          method,
          target,
          host: "h",
          headers,
          identityHeaders: [],
          credentials: { kind: "none" },
          body,
          deadlineMilliseconds: 1_000,
          lastEventId: undefined,
          resumes: undefined,
          prompt: undefined,
        };
      },
      handle: (request, sink) => forwarded.push({ request, sink }),
      onProtocolError: () => {},
      onLoopDelay: (milliseconds) => reported.push(milliseconds),
    });
    await server.listen();
  }

  afterEach(() => server.close());

  async function untilForwarded(count: number): Promise<void> {
    while (forwarded.length < count) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  function respondToAll(): void {
    const interval = setInterval(() => {
      for (const { sink } of forwarded.splice(0)) {
        sink.head(200, ["Content-Length", "2"]);
        sink.write(Buffer.from("ok"));
        sink.finish();
      }
    }, 5);
    interval.unref();
  }

  // The relay decides by this size how much more to read from the endpoint. A
  // size of 0 would let one caller that stops reading fill the memory.
  it("knows how much of a response its caller has not read", async () => {
    const socket = connect(port, "127.0.0.1");
    socket.pause();
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    await untilForwarded(1);
    const [{ sink }] = forwarded;
    const closed = new Promise<void>((resolve) => sink.onClosed(resolve));
    sink.head(200, []);
    let accepted = true;
    for (let count = 0; count < 200; count++) {
      accepted = sink.write(Buffer.alloc(64 * 1024));
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(accepted).to.equal(false);
    expect(sink.bufferedBytes).to.be.greaterThan(1024 * 1024);
    sink.finish();
    sink.discardUnread();
    await closed;
    expect(sink.bufferedBytes).to.equal(0);
    socket.destroy();
  });

  it("forwards a chunked body as one buffer", async () => {
    void sendRaw(
      rawRequest("POST /a", ["Host: h", "Transfer-Encoding: chunked"]) +
        "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
      { port },
    );
    await untilForwarded(1);
    expect(forwarded[0].request.body.toString()).to.equal("abc");
  });

  it("refuses a body over the limit and forwards nothing", async () => {
    const body = "x".repeat(1_001);
    const received = await sendRaw(
      rawRequest("POST /a", ["Host: h", "Content-Length: 1001"], body),
      { port, waitMilliseconds: 200 },
    );
    expect(statusCodes(received)).to.deep.equal([413]);
    expect(forwarded).to.have.length(0);
  });

  it("refuses headers over the limit and forwards nothing", async () => {
    const received = await sendRaw(
      rawRequest("GET /a", ["Host: h", `X-Long: ${"x".repeat(2_000)}`]),
      { port, waitMilliseconds: 200 },
    );
    expect(statusCodes(received)).to.deep.equal([431]);
    expect(forwarded).to.have.length(0);
  });

  // Request smuggling: with conflicting lengths, bytes that one party reads as
  // the body are read as a second request by another.
  it("refuses a request with conflicting lengths", async () => {
    const received = await sendRaw(
      rawRequest("POST /a", [
        "Host: h",
        "Content-Length: 4",
        "Transfer-Encoding: chunked",
      ], "0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"),
      { port, waitMilliseconds: 200 },
    );
    expect(statusCodes(received)).to.deep.equal([400]);
    expect(forwarded).to.have.length(0);
  });

  // After an endpoint closes early, the caller must not take the truncated
  // response for a complete one.
  it("sends no final chunk for a truncated response", async () => {
    const received = sendRaw(rawRequest("GET /a", ["Host: h"]), { port });
    await untilForwarded(1);
    const { sink } = forwarded[0];
    sink.head(200, []);
    sink.write(Buffer.from("half"));
    await new Promise((resolve) => setTimeout(resolve, 30));
    sink.abort();
    const bytes = await received;
    expect(bytes).to.contain("half");
    expect(bytes.endsWith("0\r\n\r\n")).to.equal(false);
  });

  it("reports that the caller has disconnected", async () => {
    const socket = connect(port, "127.0.0.1");
    socket.write(rawRequest("GET /a", ["Host: h"]));
    await untilForwarded(1);
    const gone = new Promise<void>((resolve) =>
      forwarded[0].sink.onDisconnect(resolve)
    );
    socket.destroy();
    await gone;
    expect(forwarded[0].sink.isDisconnected).to.equal(true);
  });

  describe("a late event loop", () => {
    function blockLoop(milliseconds: number): void {
      const end = performance.now() + milliseconds;
      while (performance.now() < end);
    }

    async function sendAndBlockLoop(disconnects: boolean): Promise<void> {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {});
      await new Promise<void>((resolve) => socket.on("connect", resolve));
      await new Promise((resolve) => setTimeout(resolve, 60));
      socket.write(rawRequest("GET /a", ["Host: h"]));
      if (disconnects) socket.end();
      blockLoop(400);
      await new Promise((resolve) => setTimeout(resolve, 50));
      socket.destroy();
    }

    // The event loop was blocked for longer than the caller waited. Forwarding
    // the request would occupy an endpoint for a caller that has disconnected.
    it("forwards nothing for a caller that has disconnected meanwhile", async () => {
      await sendAndBlockLoop(true);
      expect(forwarded).to.have.length(0);
    });
  });

  // What followed a refusal stayed counted, until all bodies were refused.
  it("counts bodies of refused requests until they have ended only", async () => {
    const size = 17 * 1024 * 1024;
    const body = Buffer.alloc(size, "x").toString("latin1");
    const large = rawRequest("POST /a", [
      "Host: h",
      `Content-Length: ${size}`,
    ], body);
    for (let count = 0; count < 3; count++) {
      const refused = await sendRaw(large, {
        port,
        waitMilliseconds: 300,
      });
      expect(statusCodes(refused)).to.deep.equal([413]);
    }
    const small = ["Host: h", "Content-Length: 1"];
    await sendRaw(rawRequest("POST /a", small, "x"), {
      port,
      waitMilliseconds: 200,
    });
    expect(forwarded).to.have.length(1);
  });

  describe("a late event loop, on a controlled clock", () => {
    let timer: LateTimerService;
    let socket: Socket;

    /** Opens a connection whose first request has been answered. */
    beforeEach(async () => {
      server.close();
      timer = new LateTimerService();
      await open(timer);
      socket = connect(port, "127.0.0.1");
      socket.write(rawRequest("GET /a", ["Host: h"]));
      await untilForwarded(1);
      const { sink } = forwarded[0];
      sink.head(200, ["Content-Length", "0"]);
      const answered = new Promise((resolve) => socket.once("data", resolve));
      sink.finish();
      await answered;
    });

    afterEach(() => socket.destroy());

    /** Fires the timer that samples the delay, after the delay. */
    async function delayLoop(milliseconds: number): Promise<void> {
      timer.lateness += milliseconds;
      await timer.advance(50);
    }

    async function untilRead(): Promise<ForwardedRequest> {
      await untilForwarded(2);
      return forwarded[1].request;
    }

    // A log without a line for seconds does not show whether the process had
    // nothing to do or did not run.
    it("reports a long delay once", async () => {
      await delayLoop(700);
      await timer.advance(200);
      expect(loopDelays).to.deep.equal([700]);
    });

    // The delay was subtracted from the caller's deadline only, so that the
    // route's timeout and its target counted from the end of the delay.
    it("passes on for how long a request may have been unread", async () => {
      socket.write(rawRequest("GET /b", ["Host: h"]));
      await delayLoop(400);
      const request = await untilRead();
      expect(request.unreadMilliseconds).to.equal(400);
      expect(request.deadlineMilliseconds).to.equal(1_000);
    });

    // The time of the turn was counted only where it was longer than the delay.
    it("adds the time of the turn in which a request is read", async () => {
      socket.write(rawRequest("GET /b", ["Host: h"]));
      onRead = () => timer.lateness += 120;
      await delayLoop(400);
      expect((await untilRead()).unreadMilliseconds).to.equal(520);
    });

    // Its deadline would count from the end of the answer before it.
    it("counts the wait for the answer to a request before it", async () => {
      socket.write(
        ["/b", "/c"].map((path) => rawRequest(`GET ${path}`, ["Host: h"]))
          .join(""),
      );
      await untilForwarded(2);
      await timer.advance(300);
      expect(forwarded).to.have.length(2);
      const { sink } = forwarded[1];
      sink.head(200, ["Content-Length", "0"]);
      sink.finish();
      await untilForwarded(3);
      expect(forwarded[2].request.unreadMilliseconds).to.equal(300);
    });

    it("counts nothing for a request that was sent after the delay", async () => {
      await delayLoop(400);
      await loopTurns(2);
      socket.write(rawRequest("GET /b", ["Host: h"]));
      const request = await untilRead();
      expect(request.unreadMilliseconds).to.equal(0);
      expect(request.deadlineMilliseconds).to.equal(1_000);
    });

    // The further turn, in which a disconnected caller is detected, takes as
    // long as all that is done in it.
    it("counts the time between its read and its dispatch", async () => {
      socket.write(rawRequest("GET /b", ["Host: h"]));
      onRead = () => setImmediate(() => timer.lateness += 300);
      await delayLoop(400);
      expect((await untilRead()).unreadMilliseconds).to.equal(700);
    });
  });

  // All callers of a zone connect to an entry that has just started, which
  // accepts one connection per event-loop iteration. Some disconnect before
  // their request is read. Forwarding it would occupy an endpoint for no
  // caller.
  it("forwards nothing from a connection closed before it was read", async () => {
    const waiting = [1, 2, 3, 4].map(() => {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => {});
      socket.end(rawRequest("GET /a", ["Host: h"]));
      return socket;
    });
    await new Promise((resolve) => setTimeout(resolve, 100));
    for (const socket of waiting) socket.destroy();
    expect(forwarded).to.deep.equal([]);
  });

  it("sends Retry-After with a refusal", async () => {
    const received = sendRaw(rawRequest("GET /a", ["Host: h"]), {
      port,
      waitMilliseconds: 200,
    });
    await untilForwarded(1);
    forwarded[0].sink.refuse({
      status: 503,
      reason: "full",
      retryAfterMilliseconds: 250,
    });
    expect(await received).to.match(/Retry-After: 0\.250/i);
  });

  describe("a planned stop", () => {
    // The headers of a response that started before the stop do not announce
    // that the connection closes. The caller would send its next request on it
    // seconds later, and the process would exit during that request.
    it("closes a keep-alive connection after a response in progress", async () => {
      const agent = new Agent({ keepAlive: true });
      const responseEnd = new Promise<void>((resolve) => {
        request({ port, host: "127.0.0.1", agent }, (incoming) => {
          incoming.resume();
          incoming.on("end", resolve);
          incoming.socket.on("close", () => closed = true);
        }).end();
      });
      let closed = false;
      await untilForwarded(1);
      const { sink } = forwarded[0];
      sink.head(200, ["Content-Length", "2"]);
      void server.stop();
      sink.write(Buffer.from("ok"));
      sink.finish();
      await responseEnd;
      await new Promise((resolve) => setTimeout(resolve, 1_500));
      agent.destroy();
      expect(closed).to.equal(true);
    });

    // A long response ends three seconds after the stop, and its caller
    // immediately sends the next request. Its response would be truncated by
    // the exit.
    it("forwards nothing after the load balancer's grace period", async () => {
      const agent = new Agent({ keepAlive: true });
      const send = () =>
        new Promise<number>((resolve) => {
          request({ port, host: "127.0.0.1", agent }, (incoming) => {
            incoming.resume();
            incoming.on("end", () => resolve(incoming.statusCode ?? 0));
          }).end();
        });
      const first = send();
      await untilForwarded(1);
      const { sink } = forwarded[0];
      sink.head(200, ["Content-Length", "2"]);
      void server.stop();
      await new Promise((resolve) => setTimeout(resolve, 2_700));
      sink.write(Buffer.from("ok"));
      sink.finish();
      expect(await first).to.equal(200);
      expect(await send()).to.equal(503);
      agent.destroy();
      expect(forwarded).to.have.length(1);
    });

    // A request that was refused as not run would run behind the refusal.
    it("refuses a request that waits for an earlier answer at its end", async () => {
      const received = sendRaw(
        rawRequest("GET /a", ["Host: h"]).repeat(2),
        { port, waitMilliseconds: 300 },
      );
      await untilForwarded(1);
      const { sink } = forwarded[0];
      sink.head(200, ["Content-Length", "2"]);
      void server.endOpenRequests();
      sink.write(Buffer.from("ok"));
      sink.finish();
      expect(statusCodes(await received)).to.deep.equal([200]);
      expect(await received).to.match(/okHTTP\/1\.1 503 /);
      expect(forwarded).to.have.length(1);
    });

    it("handles requests that still arrive and announces the close", async () => {
      void server.stop();
      respondToAll();
      const received = await sendRaw(rawRequest("GET /a", ["Host: h"]), {
        port,
      });
      expect(received).to.match(/Connection: close/i);
      expect(statusCodes(received)).to.deep.equal([200]);
    });

    // Closing the listening socket resets the connections in its queue, so that
    // their callers get no answer. A busy entry has several of them.
    it("answers connections that wait to be accepted at its end", async () => {
      const stopped = server.stop();
      await new Promise((resolve) => setTimeout(resolve, 2_450));
      const answers = Array.from(
        { length: 5 },
        () => sendRaw(rawRequest("GET /a", ["Host: h"]), { port }),
      );
      // The time of the end comes before the event loop accepts any.
      blockEventLoop(100);
      const statuses = (await Promise.all(answers)).map(statusCodes);
      expect(statuses).to.deep.equal(Array(5).fill([503]));
      await stopped;
    }).timeout(6_000);

    it("ends although a caller sends nothing on a new connection", async () => {
      const stopped = server.stop();
      await new Promise((resolve) => setTimeout(resolve, 2_450));
      const socket = connect(port, "127.0.0.1");
      const started = performance.now();
      await stopped;
      expect(performance.now() - started).to.be.below(1_000);
      socket.destroy();
    }).timeout(6_000);
  });
});

/** A manual clock that shows the time later than its timers fire. */
class LateTimerService extends ManualTimerService {
  lateness = 0;

  override now(): number {
    return super.now() + this.lateness;
  }
}

async function loopTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}
