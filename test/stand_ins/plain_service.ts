/** Stand-in for a plain service, such as member-portal. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  delay,
  readJson,
  readRequestBody,
  runAsProgram,
  sendJson,
  StandInServer,
} from "./stand_in_server.ts";

export interface PlainServiceFaults {
  /** Duration of a run. */
  delayMilliseconds: number;
  /** Number of next runs that take effect but whose response is lost. */
  lostAnswers: number;
  /** Number of next runs whose connection closes within the response body. */
  cutAnswers: number;
  /** Size of the padding in every response. */
  paddingBytes: number;
}

export interface PlainServiceOptions {
  /** Prefix of the numbers that the service issues. */
  readonly prefix?: string;
  readonly delayMilliseconds?: number;
}

/** Runs every request and counts the runs by idempotency key. */
export class PlainServiceStandIn {
  readonly faults: PlainServiceFaults = {
    delayMilliseconds: 0,
    lostAnswers: 0,
    cutAnswers: 0,
    paddingBytes: 0,
  };
  /** Number of runs by key; runs without a key count under the empty string. */
  readonly runs = new Map<string, number>();
  readonly #prefix: string;
  readonly #server = new StandInServer((request, response, url) =>
    this.#handle(request, response, url)
  );
  #runCount = 0;

  constructor(options: PlainServiceOptions = {}) {
    this.#prefix = options.prefix ?? "case";
    this.faults.delayMilliseconds = options.delayMilliseconds ?? 0;
  }

  /**
   * Number of runs of a caller's key; the system prefixes keys with the
   * workspace.
   */
  runsOf(callerKey: string): number {
    return countRuns(Object.fromEntries(this.runs), callerKey);
  }

  listen(port?: number): Promise<number> {
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname === "/control") {
      if (request.method === "POST") {
        Object.assign(this.faults, await readJson(request));
      }
      return sendJson(response, 200, {
        faults: this.faults,
        runs: Object.fromEntries(this.runs),
      });
    }
    const body = await readRequestBody(request);
    const key = String(request.headers["idempotency-key"] ?? "");
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    this.#runCount += 1;
    const answer = {
      number: `${this.#prefix}-${this.#runCount}`,
      method: request.method,
      path: url.pathname,
      received: body,
      padding: "x".repeat(this.faults.paddingBytes),
    };
    if (this.faults.delayMilliseconds > 0) {
      await delay(this.faults.delayMilliseconds);
    }
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1;
      return void response.destroy();
    }
    if (this.faults.cutAnswers > 0) {
      this.faults.cutAnswers -= 1;
      response.writeHead(201, { "content-length": "1000" });
      response.write('{"number":"');
      setTimeout(() => response.destroy(), 5);
      return;
    }
    sendJson(response, request.method === "GET" ? 200 : 201, answer);
  }
}

/**
 * Number of runs of a caller's key, from runs by the key that the service
 * received.
 */
export function countRuns(
  runs: Readonly<Record<string, number>>,
  callerKey: string,
): number {
  return Object.entries(runs)
    .filter(([key]) => key === callerKey || key.endsWith(`/${callerKey}`))
    .reduce((sum, [, count]) => sum + count, 0);
}

await runAsProgram(
  import.meta.url,
  (options) => new PlainServiceStandIn(options as PlainServiceOptions),
);
