/** Stand-in of a plain service, such as member-portal. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  delay,
  readBody,
  readJson,
  runAsProgram,
  sendJson,
  StandInServer,
} from "./stand_in_server.ts";

export interface PlainServiceFaults {
  /** Time that a run takes. */
  delayMilliseconds: number;
  /** So many of the next runs take effect and lose their answer. */
  lostAnswers: number;
  /** So many of the next runs close in the middle of their answer. */
  cutAnswers: number;
  /** Size of a padding in every answer. */
  paddingBytes: number;
}

export interface PlainServiceOptions {
  /** Prefix of the numbers that it gives. */
  readonly prefix?: string;
  readonly delayMilliseconds?: number;
}

/** Runs whatever it gets and counts every run by its idempotency key. */
export class PlainServiceStandIn {
  readonly faults: PlainServiceFaults = {
    delayMilliseconds: 0,
    lostAnswers: 0,
    cutAnswers: 0,
    paddingBytes: 0,
  };
  /** Runs by key; those without a key stand under the empty string. */
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

  /** Runs of a caller's key; the system puts the workspace before it. */
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
    const body = await readBody(request);
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

/** Runs of a caller's key among runs by the key that the service was given. */
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
