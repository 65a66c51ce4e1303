import { connect, type Socket } from "node:net";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type {
  EndpointConnection,
  EndpointConnectionState,
} from "../../entry/forwarding/network_interfaces.ts";
import { CONNECT_TIMEOUT_MILLISECONDS } from "./endpoint_exchange.ts";

/** Time in which an endpoint resets a connection that it does not take. */
const REJECTION_MILLISECONDS = 50;

/** A connection without a request, which ends with the endpoint's process. */
export class SilentConnection implements EndpointConnection {
  /** Settles once the connection is open or rejected. */
  readonly opened: Promise<void>;
  readonly closed: Promise<void>;
  readonly #socket: Socket;
  readonly #timer: TimerService;
  readonly #timeout: Subscription;
  #state: EndpointConnectionState = "opening";
  #openedAt = -Infinity;
  #endedAt: number | undefined;

  constructor(
    { host, port }: { readonly host: string; readonly port: number },
    timer: TimerService,
  ) {
    this.#timer = timer;
    this.#socket = connect(port, host);
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
        this.#onEnd("rejected");
        resolve();
      });
    });
    this.closed = new Promise((resolve) => {
      this.#socket.once("close", () => resolve());
    });
    this.#socket.on("error", () => this.#onEnd(this.#errorState));
    this.#socket.on("end", () => this.#onEnd("ended"));
    // Unread bytes would hide the end.
    this.#socket.resume();
  }

  get state(): EndpointConnectionState {
    return this.#state;
  }

  get millisecondsSinceEnd(): number {
    return this.#endedAt === undefined ? 0 : this.#timer.now() - this.#endedAt;
  }

  /** A replica with too many connections resets further ones at once. */
  get #errorState(): "ended" | "rejected" {
    const isRejected = this.#state === "opening" ||
      this.#timer.now() - this.#openedAt < REJECTION_MILLISECONDS;
    return isRejected ? "rejected" : "ended";
  }

  close(): void {
    this.#timeout.cancel();
    this.#socket.destroy();
  }

  #onEnd(state: "ended" | "rejected"): void {
    if (this.#state === "ended" || this.#state === "rejected") return;
    this.#timeout.cancel();
    this.#state = state;
    this.#endedAt = this.#timer.now();
  }
}
