/** A caller that sends its requests on one kept channel. */
import { Agent, type IncomingMessage, request } from "node:http";
import { randomBytes } from "node:crypto";
import { HOST } from "./deployment.ts";
import type { RunRecord } from "./record.ts";

const REQUEST_ID_BYTES = 8;

/** What the caller has received in answer to one request. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly path: string;
  /** Undefined if the channel ended before an answer. */
  readonly status: number | undefined;
  readonly body: string;
  /** True if the framing says that the answer is whole. */
  readonly isComplete: boolean;
  /** True if the channel had carried a request before. */
  readonly isOnKeptChannel: boolean;
  /** Moments of the monotonic clock, milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
}

export interface CallerRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
  readonly deadlineMilliseconds: number;
  readonly headers?: Readonly<Record<string, string>>;
}

export class KeptChannelCaller {
  readonly #address: { readonly host: string; readonly port: number };
  readonly #record: RunRecord;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(
    address: { readonly host: string; readonly port: number },
    record: RunRecord,
  ) {
    this.#address = address;
    this.#record = record;
  }

  /** Sends a request; resolves when its answer or its channel has ended. */
  send(
    { body = "", deadlineMilliseconds, headers, method, path }: CallerRequest,
  ): Promise<CallerAnswer> {
    const requestId = randomBytes(REQUEST_ID_BYTES).toString("hex");
    const sentAt = performance.now();
    this.#record.note(
      `${requestId} is sent to ${this.#address.host}: ${method} ${path}`,
    );
    return new Promise((resolve) => {
      const outgoing = request({
        ...this.#address,
        agent: this.#agent,
        method,
        path,
        headers: {
          "Host": HOST,
          "X-Request-Id": requestId,
          "X-Deadline-Ms": String(deadlineMilliseconds),
          ...(method === "POST" && {
            "Content-Length": String(Buffer.byteLength(body)),
          }),
          ...headers,
        },
      });
      let incoming: IncomingMessage | undefined;
      let text = "";
      const settle = () => {
        const status = incoming?.statusCode;
        const isComplete = incoming?.complete ?? false;
        this.#record.note(
          `${requestId} gets ${status ?? "no answer"}, ` +
            `${isComplete ? "complete" : "cut"}, ${JSON.stringify(text)}`,
        );
        resolve({
          requestId,
          path,
          status,
          body: text,
          isComplete,
          isOnKeptChannel: outgoing.reusedSocket,
          sentAt,
          endedAt: performance.now(),
        });
      };
      outgoing.on("response", (response) => {
        incoming = response;
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => {});
        response.on("close", settle);
      });
      outgoing.on("error", () => {
        if (incoming === undefined) settle();
      });
      outgoing.end(body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
