import type { ServerResponse } from "node:http";
import type {
  CallerSink,
  ForwardingRefusal,
} from "../../entry/forwarding/network_interfaces.ts";

const UNAUTHORIZED = 401;
/** HTTP authentication scheme of callers' API keys. */
const AUTHENTICATION_SCHEME = "Bearer";

/** The HTTP response to one caller's request. */
export class CallerResponse implements CallerSink {
  readonly #response: ServerResponse;
  readonly #isStopping: () => boolean;
  /** True if the response has a `Content-Length`. */
  #hasLength = false;
  #isFinished = false;
  #isDisconnected = false;

  /** `isStopping`: whether to close the connection after the response. */
  constructor(response: ServerResponse, isStopping: () => boolean) {
    this.#response = response;
    this.#isStopping = isStopping;
    response.on("error", () => {});
    response.on("close", () => this.#isDisconnected = true);
  }

  /** True once the headers of a response have been sent. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  head(status: number, headers: readonly string[]): void {
    if (this.#isDisconnected || this.#isFinished) return;
    this.#hasLength = headers.some((name, index) =>
      index % 2 === 0 && name.toLowerCase() === "content-length"
    );
    this.#response.sendDate = false;
    this.#response.writeHead(
      status,
      this.#withConnectionHeader(headers) as never,
    );
    this.#response.flushHeaders();
  }

  get bufferedBytes(): number {
    return this.#response.writableLength;
  }

  write(chunk: Buffer): boolean {
    if (this.#isDisconnected || this.#isFinished) return true;
    return this.#response.write(chunk);
  }

  finish(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#response.end();
  }

  abort(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.breakOff();
  }

  onDrain(listener: () => void): void {
    this.#response.on("drain", listener);
  }

  onDisconnect(listener: () => void): void {
    this.#response.on("close", () => {
      if (!this.#isFinished) listener();
    });
  }

  onClosed(listener: () => void): void {
    this.#response.on("close", listener);
  }

  discardUnread(): void {
    if (!this.#response.writableFinished) this.breakOff();
  }

  /**
   * Closes the connection so that the response looks truncated. Without its
   * last chunk or full length it does; a body that ends with its connection,
   * as callers of HTTP/1.0 get it, needs a reset.
   */
  breakOff(): void {
    const response = this.#response;
    const endsWithConnection = response.headersSent &&
      !response.chunkedEncoding && !this.#hasLength;
    if (endsWithConnection) response.socket?.resetAndDestroy();
    response.destroy();
  }

  refuse(refusal: ForwardingRefusal): void {
    if (this.#isDisconnected || this.#isFinished) return;
    this.#isFinished = true;
    const body = JSON.stringify({ reason: refusal.reason });
    const headers = [
      "Content-Type",
      "application/json",
      "Content-Length",
      String(Buffer.byteLength(body)),
    ];
    if (refusal.status === UNAUTHORIZED) {
      headers.push("WWW-Authenticate", AUTHENTICATION_SCHEME);
    }
    const retryAfterMilliseconds = refusal.retryAfterMilliseconds;
    if (retryAfterMilliseconds !== undefined) {
      headers.push("Retry-After", (retryAfterMilliseconds / 1_000).toFixed(3));
    }
    this.#response.writeHead(
      refusal.status,
      this.#withConnectionHeader(headers) as never,
    );
    this.#response.end(body);
  }

  #withConnectionHeader(headers: readonly string[]): string[] {
    return this.#isStopping()
      ? [...headers, "Connection", "close"]
      : [...headers];
  }
}
