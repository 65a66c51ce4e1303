import type { ServerResponse } from "node:http";
import { hasNoBody } from "../http_client/mod.ts";
import type { HeldBodies, HeldBody } from "./held_bodies.ts";
import type {
  CallerSink,
  ForwardingRefusal,
} from "../../entry/forwarding/network_interfaces.ts";

const UNAUTHORIZED = 401;
/** HTTP authentication scheme of callers' API keys. */
const AUTHENTICATION_SCHEME = "Bearer";

export interface CallerResponseOptions {
  /** Whether to close the connection after the response. */
  readonly isStopping: () => boolean;
  /** Holds bodies whose length the caller has to know before them. */
  readonly heldBodies: HeldBodies;
}

/** A response that is sent once its body is whole. */
interface HeldResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: HeldBody;
}

/**
 * The HTTP response to one caller's request. A caller of HTTP/1.0 knows no
 * chunks, and the operating system of a killed entry ends its connection as
 * behind a whole body, so a body without a length is held until it is whole,
 * within the memory for such bodies.
 */
export class CallerResponse implements CallerSink {
  readonly #response: ServerResponse;
  readonly #options: CallerResponseOptions;
  #held: HeldResponse | undefined;
  /** True if the response has a `Content-Length`. */
  #hasLength = false;
  #isFinished = false;
  #isDisconnected = false;

  constructor(response: ServerResponse, options: CallerResponseOptions) {
    this.#response = response;
    this.#options = options;
    response.on("error", () => {});
    response.on("close", () => {
      this.#isDisconnected = true;
      this.#held?.body.release();
    });
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
    if (this.#needsLength(status)) {
      const body = this.#options.heldBodies.open();
      this.#held = { status, headers, body };
      return;
    }
    this.#writeHead(status, headers);
    this.#response.flushHeaders();
  }

  #writeHead(status: number, headers: readonly string[]): void {
    this.#response.sendDate = false;
    this.#response.writeHead(
      status,
      this.#withConnectionHeader(headers) as never,
    );
  }

  #needsLength(status: number): boolean {
    const { httpVersionMajor, httpVersionMinor, method } = this.#response.req;
    const knowsChunks = httpVersionMajor > 1 || httpVersionMinor > 0;
    return !knowsChunks && !this.#hasLength &&
      !hasNoBody(method ?? "GET", status);
  }

  /**
   * Passes on a body that is too large to hold, and what follows as it comes:
   * its end is that of the connection.
   */
  #passOnHeld(): void {
    const held = this.#held;
    if (held === undefined) return;
    this.#held = undefined;
    this.#writeHead(held.status, held.headers);
    this.#response.write(held.body.take());
    held.body.release();
  }

  get bufferedBytes(): number {
    return this.#response.writableLength;
  }

  write(chunk: Buffer): boolean {
    if (this.#isDisconnected || this.#isFinished) return true;
    if (this.#held?.body.push(chunk)) return true;
    this.#passOnHeld();
    return this.#response.write(chunk);
  }

  finish(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    const held = this.#held;
    if (held === undefined) return void this.#response.end();
    const body = held.body.take();
    const length = ["Content-Length", String(body.length)];
    this.#writeHead(held.status, [...held.headers, ...length]);
    this.#response.end(body);
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
   * last chunk or full length it does; a body that ends with its connection
   * needs a reset.
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
    return this.#options.isStopping()
      ? [...headers, "Connection", "close"]
      : [...headers];
  }
}
