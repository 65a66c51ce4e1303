import type { Socket } from "node:net";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { EndpointConnectionState } from "../../entry/forwarding/network_interfaces.ts";
import { openPaced, PacedAgent } from "../http_client/mod.ts";
import { CONNECT_TIMEOUT_MILLISECONDS } from "./endpoint_exchange.ts";

/**
 * Error of a connection that was accepted and reset, also where both came before
 * the event loop saw either. One that is not accepted fails with another.
 */
const RESET_CODE = "ECONNRESET";

type OnConnection = (error: Error) => void;

/** An agent of one connection, which is open already. */
class SingleConnectionAgent extends PacedAgent {
  constructor(socket: Socket) {
    super({ keepAlive: true, maxSockets: 1 });
    Object.assign(this, {
      createConnection: (_options: unknown, callback: OnConnection) => {
        if (!socket.destroyed) return socket;
        // A request that waits for the connection would never end on it.
        callback(new Error("the connection has closed"));
      },
    });
  }
}

/** A connection that is opened before the questions that it carries. */
export class QuestionConnection {
  /** Settles once the connection is open or rejected. */
  readonly opened: Promise<void>;
  /** Settles once the connection has ended or was rejected. */
  readonly ended: Promise<void>;
  readonly agent: PacedAgent;
  readonly #socket: Socket;
  readonly #timer: TimerService;
  readonly #timeout: Subscription;
  #openedAt: number | undefined;
  #state: EndpointConnectionState = "opening";

  constructor(
    { host, port }: { readonly host: string; readonly port: number },
    timer: TimerService,
  ) {
    this.#timer = timer;
    this.#socket = openPaced({ host, port });
    this.#timeout = timer.after(
      CONNECT_TIMEOUT_MILLISECONDS,
      () => this.#socket.destroy(),
    );
    this.opened = new Promise((resolve) => {
      this.#socket.once("connect", () => {
        this.#timeout.cancel();
        this.#state = "open";
        this.#openedAt = timer.now();
        resolve();
      });
      this.#socket.once("close", () => {
        this.#onEnd();
        resolve();
      });
    });
    this.#socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === RESET_CODE) this.#state = "ended";
      this.#onEnd();
    });
    this.ended = new Promise((resolve) => {
      this.#socket.once("end", resolve).once("close", () => resolve());
    });
    this.#socket.on("end", () => this.#onEnd());
    // Unread bytes would hide the end, and answer no question.
    this.#socket.resume();
    this.agent = new SingleConnectionAgent(this.#socket);
  }

  get state(): EndpointConnectionState {
    return this.#state;
  }

  get openMilliseconds(): number {
    const now = this.#timer.now();
    return now - (this.#openedAt ?? now);
  }

  close(): void {
    this.#timeout.cancel();
    this.#socket.destroy();
  }

  #onEnd(): void {
    this.#timeout.cancel();
    const wasOpen = this.#state === "open" || this.#state === "ended";
    this.#state = wasOpen ? "ended" : "rejected";
  }
}
