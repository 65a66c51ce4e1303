/** A caller that keeps one connection for many requests. */
import { Agent, type IncomingMessage, request } from "node:http";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import type { EntryMachine } from "./entry_machine.ts";
import type { EventRecord } from "./record.ts";

/** What the caller saw of one attempt. */
export interface CallerAttempt {
  readonly requestId: string;
  readonly entry: number;
  readonly sentAt: number;
  /** True if the connection had carried a request before. */
  readonly isKeptChannel: boolean;
  /** Undefined if the connection ended without any byte of an answer. */
  readonly status: number | undefined;
  readonly seal: string | undefined;
  readonly body: string;
  /** True if the answer arrived whole. */
  readonly isComplete: boolean;
  readonly reason: string | undefined;
  /** True if the entry has announced that it closes the channel. */
  readonly closesChannel: boolean;
}

export interface KeptChannelCallerOptions {
  readonly name: string;
  /** Entry to which the platform forwards the next new channel. */
  readonly chooseEntry: () => EntryMachine;
  /** Requests after which the caller opens a new channel. */
  readonly requestsPerChannel: number;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeBudgetMilliseconds: number;
  readonly pauseMilliseconds: number;
  readonly record: EventRecord;
}

export class KeptChannelCaller {
  readonly attempts: CallerAttempt[] = [];
  readonly #options: KeptChannelCallerOptions;
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #entry: EntryMachine;
  #count = 0;
  #requestsOnChannel = 0;
  #isStopped = false;

  constructor(options: KeptChannelCallerOptions) {
    this.#options = options;
    this.#entry = options.chooseEntry();
  }

  /** Sends one request after the other until `stop`. */
  async run(): Promise<void> {
    const { pauseMilliseconds, requestsPerChannel } = this.#options;
    while (!this.#isStopped) {
      const attempt = await this.#attempt();
      this.attempts.push(attempt);
      this.#requestsOnChannel += 1;
      const isNewDue = attempt.status === undefined || attempt.closesChannel ||
        this.#requestsOnChannel >= requestsPerChannel;
      if (isNewDue) this.#openNewChannel();
      await delay(pauseMilliseconds * (0.5 + Math.random()));
    }
    this.#agent.destroy();
  }

  stop(): void {
    this.#isStopped = true;
  }

  #openNewChannel(): void {
    this.#agent.destroy();
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.#requestsOnChannel = 0;
  }

  #attempt(): Promise<CallerAttempt> {
    const { body, headers, host, method, name, path, record } = this.#options;
    const { timeBudgetMilliseconds } = this.#options;
    if (this.#requestsOnChannel === 0) {
      this.#entry = this.#options.chooseEntry();
    }
    const entry = this.#entry;
    this.#count += 1;
    const requestId = `${name}-${this.#count}`;
    const sentAt = performance.now();
    record.write("caller_sends", { requestId, entry: entry.index });
    return new Promise((resolve) => {
      let response: IncomingMessage | undefined;
      let text = "";
      const settle = (isComplete: boolean, reason?: string) => {
        const attempt = {
          requestId,
          entry: entry.index,
          sentAt,
          isKeptChannel: sent.reusedSocket,
          status: response?.statusCode,
          seal: headerOf(response, "x-response-seal"),
          body: text,
          isComplete,
          reason,
          closesChannel: headerOf(response, "connection") === "close",
        };
        const { body: _body, sentAt: _sentAt, ...facts } = attempt;
        record.write("caller_receives", { ...facts, bytes: text.length });
        resolve(attempt);
      };
      const sent = request({
        agent: this.#agent,
        host: entry.host,
        port: entry.callerPort,
        method,
        path,
        headers: {
          ...headers,
          host,
          "x-request-id": requestId,
          "x-deadline-ms": String(timeBudgetMilliseconds),
          ...(body !== "" && { "content-length": Buffer.byteLength(body) }),
        },
        timeout: timeBudgetMilliseconds + 1_000,
      }, (incoming) => {
        response = incoming;
        incoming.setEncoding("latin1");
        incoming.on("data", (chunk) => text += chunk);
        incoming.on("error", () => {});
        incoming.once("close", () => settle(incoming.complete));
      });
      sent.on("timeout", () => sent.destroy(new Error("time budget is over")));
      sent.on("error", (cause) => {
        if (response === undefined) settle(false, cause.message);
      });
      sent.end(body);
    });
  }
}

function headerOf(
  response: IncomingMessage | undefined,
  name: string,
): string | undefined {
  const value = response?.headers[name];
  return value === undefined ? undefined : String(value);
}
