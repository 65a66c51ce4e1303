import type { ServerResponse } from "node:http";
import type { CallerSink, Refusal } from "../../entry/forwarding/links.ts";

const UNAUTHORIZED = 401;
/** The scheme by which callers name their keys. */
const KEY_SCHEME = "Bearer";

/** The answer to one caller's request. */
export class CallerResponse implements CallerSink {
  readonly #response: ServerResponse;
  readonly #stopping: () => boolean;
  #done = false;
  #gone = false;

  /** `stopping`: whether the connection is to be closed behind the answer. */
  constructor(response: ServerResponse, stopping: () => boolean) {
    this.#response = response;
    this.#stopping = stopping;
    response.on("error", () => {});
    response.on("close", () => this.#gone = true);
  }

  get gone(): boolean {
    return this.#gone;
  }

  head(status: number, headers: readonly string[]): void {
    if (this.#gone || this.#done) return;
    this.#response.sendDate = false;
    this.#response.writeHead(status, this.#withClose(headers) as never);
    this.#response.flushHeaders();
  }

  write(piece: Buffer): boolean {
    if (this.#gone || this.#done) return true;
    return this.#response.write(piece);
  }

  finish(): void {
    if (this.#done) return;
    this.#done = true;
    this.#response.end();
  }

  cut(): void {
    if (this.#done) return;
    this.#done = true;
    // Without an end mark and without its length the answer looks cut off.
    this.#response.destroy();
  }

  onDrain(listener: () => void): void {
    this.#response.on("drain", listener);
  }

  onGone(listener: () => void): void {
    this.#response.on("close", () => {
      if (!this.#done) listener();
    });
  }

  refuse(refusal: Refusal): void {
    if (this.#gone || this.#done) return;
    this.#done = true;
    const body = JSON.stringify({ reason: refusal.reason });
    const headers = [
      "Content-Type",
      "application/json",
      "Content-Length",
      String(Buffer.byteLength(body)),
    ];
    if (refusal.status === UNAUTHORIZED) {
      headers.push("WWW-Authenticate", KEY_SCHEME);
    }
    const wait = refusal.retryAfterMilliseconds;
    if (wait !== undefined) {
      headers.push("Retry-After", (wait / 1_000).toFixed(3));
    }
    this.#response.writeHead(refusal.status, this.#withClose(headers) as never);
    this.#response.end(body);
  }

  #withClose(headers: readonly string[]): string[] {
    return this.#stopping()
      ? [...headers, "Connection", "close"]
      : [...headers];
  }
}
