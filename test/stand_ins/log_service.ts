/** Stand-in for the platform's log service. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  delay,
  readJson,
  runAsProgram,
  sendJson,
  StandInServer,
} from "./stand_in_server.ts";

/**
 * Faults that `POST /control` sets while the service runs; absent fields keep
 * their value.
 */
export interface LogServiceFaults {
  /** `refuse`: responds with 503 and no effect. `cut`: closes connections. */
  down: "no" | "refuse" | "cut";
  /** Added latency of every call. */
  delayMilliseconds: number;
  /** Number of next appends that take effect but whose response is lost. */
  lostAnswers: number;
  /** Age from which a record is visible to readers. */
  headLagMilliseconds: number;
}

export interface LogServiceOptions {
  /** Number of records retained in each stream; older ones expire. */
  readonly mostRecords?: number;
  readonly appendsPerSecond?: number;
}

interface StoredRecord {
  readonly value: unknown;
  readonly at: number;
}

class Stream {
  oldest = 0;
  readonly records: StoredRecord[] = [];

  get head(): number {
    return this.oldest + this.records.length;
  }
}

/**
 * Log service with offsets, long poll, retention, and faults set by `POST
 * /control`.
 */
export class LogServiceStandIn {
  readonly faults: LogServiceFaults = {
    down: "no",
    delayMilliseconds: 0,
    lostAnswers: 0,
    headLagMilliseconds: 0,
  };
  readonly #maxRecords: number;
  readonly #appendsPerSecond: number;
  readonly #streams = new Map<string, Stream>();
  readonly #waiters = new Set<() => void>();
  readonly #server = new StandInServer((request, response, url) =>
    this.#handle(request, response, url)
  );
  #rateTokens: number;
  #refilledAt = performance.now();
  #appendCount = 0;

  constructor(options: LogServiceOptions = {}) {
    this.#maxRecords = options.mostRecords ?? 100_000;
    this.#appendsPerSecond = options.appendsPerSecond ?? 400;
    this.#rateTokens = this.#appendsPerSecond;
  }

  listen(port?: number): Promise<number> {
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    this.#wake();
    return this.#server.close();
  }

  /** Appends records directly, as another tool of the operator might. */
  append(name: string, records: readonly unknown[]): number {
    const stream = this.#stream(name);
    const offset = stream.head;
    const at = performance.now();
    for (const value of records) stream.records.push({ value, at });
    const excess = stream.records.length - this.#maxRecords;
    if (excess > 0) {
      stream.records.splice(0, excess);
      stream.oldest += excess;
    }
    this.#appendCount += 1;
    this.#wake();
    return offset;
  }

  /** All records retained in a stream. */
  records(name: string): unknown[] {
    return this.#stream(name).records.map((record) => record.value);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname === "/control") {
      return await this.#control(request, response);
    }
    const faults = this.faults;
    if (faults.delayMilliseconds > 0) await delay(faults.delayMilliseconds);
    if (faults.down === "cut") return void response.destroy();
    if (faults.down === "refuse") return sendJson(response, 503, {});
    const name = /^\/streams\/([^/]+)\/records$/.exec(url.pathname)?.[1];
    if (name === undefined) return sendJson(response, 404, {});
    const stream = decodeURIComponent(name);
    if (request.method === "POST") {
      return await this.#onAppend(request, response, stream);
    }
    await this.#onRead(response, stream, url.searchParams);
  }

  async #onAppend(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
  ): Promise<void> {
    const { records } = await readJson(request);
    if (!Array.isArray(records) || records.length === 0) {
      return sendJson(response, 400, {});
    }
    if (!this.#consumeToken()) return sendJson(response, 429, {});
    const offset = this.append(name, records);
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, { offset });
  }

  async #onRead(
    response: ServerResponse,
    name: string,
    query: URLSearchParams,
  ): Promise<void> {
    const from = Number(query.get("from") ?? 0);
    const limit = Math.min(Number(query.get("limit") ?? 1000), 10_000);
    const deadline = performance.now() + Number(query.get("wait") ?? 0);
    const stream = this.#stream(name);
    while (this.#visibleHead(stream) <= from && this.faults.down === "no") {
      const remaining = deadline - performance.now();
      if (remaining <= 0 || response.destroyed) break;
      await this.#waitForRecord(remaining);
    }
    if (this.faults.down !== "no") return void response.destroy();
    const head = this.#visibleHead(stream);
    const first = Math.max(from, stream.oldest);
    const records = stream.records
      .slice(first - stream.oldest, Math.max(0, head - stream.oldest))
      .slice(0, limit)
      .map((record, index) => ({
        offset: first + index,
        value: record.value,
      }));
    sendJson(response, 200, { records, oldest: stream.oldest, head });
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "POST") {
      Object.assign(this.faults, await readJson(request));
      if (this.faults.down !== "no") this.#wake();
    }
    const streams = [...this.#streams].map(([name, stream]) => ({
      name,
      oldest: stream.oldest,
      head: stream.head,
    }));
    sendJson(response, 200, {
      faults: this.faults,
      appends: this.#appendCount,
      streams,
    });
  }

  #stream(name: string): Stream {
    let stream = this.#streams.get(name);
    if (stream === undefined) {
      stream = new Stream();
      this.#streams.set(name, stream);
    }
    return stream;
  }

  #visibleHead(stream: Stream): number {
    const lag = this.faults.headLagMilliseconds;
    if (lag === 0) return stream.head;
    const newest = performance.now() - lag;
    let visible = stream.records.length;
    while (visible > 0 && stream.records[visible - 1].at > newest) visible--;
    return stream.oldest + visible;
  }

  #consumeToken(): boolean {
    const now = performance.now();
    const refill = (now - this.#refilledAt) / 1000 * this.#appendsPerSecond;
    this.#rateTokens = Math.min(
      this.#appendsPerSecond,
      this.#rateTokens + refill,
    );
    this.#refilledAt = now;
    if (this.#rateTokens < 1) return false;
    this.#rateTokens -= 1;
    return true;
  }

  /** Waits for the next append; while the head lags, polls every 10 ms. */
  #waitForRecord(milliseconds: number): Promise<void> {
    const lag = this.faults.headLagMilliseconds;
    const maxWait = lag > 0 ? Math.min(milliseconds, 10) : milliseconds;
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(handle);
        this.#waiters.delete(wake);
        resolve();
      };
      const handle = setTimeout(wake, maxWait);
      this.#waiters.add(wake);
    });
  }

  #wake(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

await runAsProgram(
  import.meta.url,
  (options) => new LogServiceStandIn(options as LogServiceOptions),
);
