/** A model replica: prefills or decodes, and takes orders. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import { Replica, type ReplicaOptions, requestIdOf } from "./replica.ts";

/** Time that a change of the stage takes. */
const ROLE_SWITCH_MILLISECONDS = 500;
const EVENT_INTERVAL_MILLISECONDS = 15;
const MEMORY_TOKENS = 232_000;

export type Stage = "prefill" | "decode";

export interface EngineReplicaOptions extends ReplicaOptions {
  readonly stage: Stage;
  /** Events in each stream. */
  readonly events: number;
}

export class EngineReplica extends Replica {
  readonly #events: number;
  readonly #parts = new Map<string, number>();
  #stage: Stage;
  #highestFence = -1;
  #handles = 0;

  constructor(options: EngineReplicaOptions) {
    super(options);
    this.#events = options.events;
    this.#stage = options.stage;
  }

  override registration(): Record<string, unknown> {
    return {
      ...super.registration(),
      stage: this.#stage,
      models: [{ name: "m", version: 1, adapters: [] }],
    };
  }

  protected override answerCall(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): boolean {
    const path = (request.url ?? "").split("?")[0];
    if (path === "/filbertshore/order") this.#answerOrder(response, body);
    else if (path === "/filbertshore/kv-list") this.answerList(response);
    else if (path === "/filbertshore/report") this.#answerReport(response);
    else if (path.startsWith("/filbertshore/")) response.writeHead(200).end();
    else return super.answerCall(request, response, body);
    return true;
  }

  protected override async run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const isPrefill = request.headers["x-stage"] === "prefill";
    if (isPrefill !== (this.#stage === "prefill")) {
      this.ran.delete(requestIdOf(request));
      return void response.writeHead(421, { "x-not-executed": "1" }).end();
    }
    this.#cache(String(request.headers["x-prompt-prefix"] ?? ""));
    if (isPrefill) return await this.#prefill(request, response);
    await this.#stream(request, response);
  }

  /** Lists the cached parts; the call has no id that could be echoed. */
  protected answerList(response: ServerResponse): void {
    const text = this.listText();
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  protected listText(): string {
    return JSON.stringify({
      epoch: 1,
      next_token: this.#parts.size,
      held: [...this.#parts].map(([id, tokens]) => ["", id, tokens, "m"]),
    });
  }

  #answerOrder(response: ServerResponse, body: string): void {
    const order = JSON.parse(body);
    if (order.fencing_token < this.#highestFence) {
      return void response.writeHead(412).end();
    }
    this.#highestFence = order.fencing_token;
    setTimeout(() => this.#stage = order.stage, ROLE_SWITCH_MILLISECONDS);
    response.writeHead(202).end();
  }

  #answerReport(response: ServerResponse): void {
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      stage: this.#stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: 0,
      running: 0,
      kv_used: 0,
      kv_total: MEMORY_TOKENS,
      kv_handles: 0,
    }));
  }

  #cache(prefix: string): void {
    for (const entry of prefix.split(",")) {
      const [id, tokens] = entry.split(":");
      if (id !== "") this.#parts.set(id, Number(tokens));
    }
  }

  async #prefill(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    await delay(this.options.workMilliseconds);
    this.#handles += 1;
    const text = JSON.stringify({
      handle_id: `${this.id.replaceAll("-", "")}${this.#handles}`,
      tokens: 220,
      version: 1,
    });
    response.writeHead(200, {
      "x-request-id": requestIdOf(request),
      "content-type": "application/json",
    });
    response.end(text);
  }

  async #stream(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = requestIdOf(request);
    const events = Array.from(
      { length: this.#events },
      (_, index) => `id: ${index + 1}\ndata: ${requestId} ${index + 1}\n\n`,
    );
    const seal = `${this.id}.${requestId}.${this.#events}`;
    this.given.set(requestId, { seal, body: events.join("") });
    await delay(this.options.workMilliseconds);
    response.writeHead(200, {
      "x-request-id": requestId,
      "x-response-seal": seal,
      "content-type": "text/event-stream",
    });
    for (const event of events) {
      if (response.destroyed) return;
      response.write(event);
      await delay(EVENT_INTERVAL_MILLISECONDS);
    }
    response.end();
  }
}
