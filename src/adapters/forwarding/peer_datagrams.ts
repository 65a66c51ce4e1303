import { createSocket, type Socket } from "node:dgram";
import { parseJson } from "../http_client/mod.ts";

/** Largest datagram that is sent; a longer one would be cut into fragments. */
const MAX_DATAGRAM_BYTES = 60_000;

/** A JSON-RPC notification: a call that gets no answer. */
interface Notification {
  readonly jsonrpc: "2.0";
  readonly method: string;
  readonly params: unknown;
}

export interface PeerDatagramsOptions {
  readonly host: string;
  readonly port: number;
  readonly onNotification: (method: string, params: unknown) => void;
  readonly onError: (reason: string) => void;
}

/**
 * Notifications between entries, one a datagram. They may be lost or come out
 * of order: what they carry is a state that the next one carries anew.
 */
export class PeerDatagrams {
  readonly #options: PeerDatagramsOptions;
  readonly #socket: Socket;

  constructor(options: PeerDatagramsOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#socket.on("error", (cause) => options.onError(cause.message));
    this.#socket.on("message", (message) => this.#receive(message));
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
      return this.#options.onError(`${bytes.length} bytes are too many`);
    }
    for (const address of addresses) {
      const colon = address.lastIndexOf(":");
      const port = Number(address.slice(colon + 1));
      this.#socket.send(bytes, port, address.slice(0, colon), () => {
        // A datagram that can't be sent is as good as lost on the way.
      });
    }
  }

  close(): void {
    this.#socket.close();
  }

  #receive(bytes: Buffer): void {
    const message = parseJson(bytes.toString()) as Notification | undefined;
    if (typeof message?.method !== "string") return;
    this.#options.onNotification(message.method, message.params);
  }
}
