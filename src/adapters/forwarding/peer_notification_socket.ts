import { createSocket, type Socket } from "node:dgram";
import { isObject, isText } from "../../core/validation/mod.ts";
import { parseJson } from "../http_client/mod.ts";

/** Maximum size of a datagram; a larger one would be fragmented. */
const MAX_DATAGRAM_BYTES = 60_000;

/** A JSON-RPC notification: a call without a response. */
interface Notification {
  readonly jsonrpc: "2.0";
  readonly method: string;
  readonly params: unknown;
}

/** Options of `PeerNotificationSocket`. */
export interface PeerNotificationSocketOptions {
  readonly host: string;
  readonly port: number;
  /** Called with each notification; `from` is its sender's `host:port`. */
  readonly onNotification: (
    method: string,
    params: unknown,
    options: { readonly from: string },
  ) => void;
  /** Called with the size of a datagram that is no notification. */
  readonly onUnreadable: (bytes: number, from: string) => void;
  readonly onError: (reason: string) => void;
}

/**
 * Sends and receives notifications between entries, one per UDP datagram. They
 * may be lost or reordered: each carries a complete state that the next one
 * replaces.
 */
export class PeerNotificationSocket {
  readonly #options: PeerNotificationSocketOptions;
  readonly #socket: Socket;

  constructor(options: PeerNotificationSocketOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on("error", (cause) => options.onError(cause.message));
    this.#socket.on(
      "message",
      (message, { address, port }) =>
        this.#receive(message, `${address}:${port}`),
    );
  }

  listen(): void {
    const { host, port } = this.#options;
    this.#socket.bind(port, host);
  }

  /** Sends to every address (`host:port`). */
  send(
    addresses: readonly string[],
    notification: { readonly method: string; readonly params: unknown },
  ): void {
    const message: Notification = { jsonrpc: "2.0", ...notification };
    const bytes = Buffer.from(JSON.stringify(message));
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      return this.#options.onError(
        `notification of ${bytes.length} bytes exceeds the datagram limit`,
      );
    }
    for (const address of addresses) {
      const colon = address.lastIndexOf(":");
      const port = Number(address.slice(colon + 1));
      this.#socket.send(bytes, port, address.slice(0, colon), () => {
        // A datagram that cannot be sent is treated as lost.
      });
    }
  }

  close(): void {
    this.#socket.close();
  }

  #receive(bytes: Buffer, from: string): void {
    const message = parseJson(bytes.toString());
    if (!isNotification(message)) {
      return this.#options.onUnreadable(bytes.length, from);
    }
    this.#options.onNotification(message.method, message.params, { from });
  }
}

function isNotification(value: unknown): value is Notification {
  return isObject(value) && isText(value.method);
}
