import type { ServerResponse } from "node:http";
import type { AnswerSink, Outcome } from "../../core/requests/mod.ts";
import { CoalescingWriter } from "../coalescing_writer/mod.ts";
import { createProblem, sendProblem } from "./problem.ts";
import { sendWhole } from "./whole_response.ts";

/** Fields that every response to a chat completion repeats. */
export interface CompletionMetadata {
  readonly id: string;
  /** Seconds since the Unix epoch. */
  readonly created: number;
  readonly model: string;
}

/**
 * Sends a generation as server-sent events. The response headers are sent with
 * the first token, so that a refusal before it can have its own status.
 *
 * A generation that fails after its first token ends with an `error` event and
 * without `[DONE]`. Otherwise a caller could not distinguish a truncated
 * generation from a complete one.
 */
export class EventStreamSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #metadata: CompletionMetadata;
  readonly #chunkPrefix: string;
  readonly #writer: CoalescingWriter;

  constructor(response: ServerResponse, metadata: CompletionMetadata) {
    this.#response = response;
    this.#writer = new CoalescingWriter(response);
    this.#metadata = metadata;
    // Only the token's text differs between the events of a stream.
    const chunk = JSON.stringify({
      id: metadata.id,
      object: "chat.completion.chunk",
      created: metadata.created,
      model: metadata.model,
    });
    this.#chunkPrefix = `data: ${
      chunk.slice(0, -1)
    },"choices":[{"index":0,"finish_reason":null,"delta":{"content":`;
  }

  token(text: string): boolean {
    this.#sendHeaders();
    this.#writer.write(`${this.#chunkPrefix}${JSON.stringify(text)}}}]}\n\n`);
    return !this.#response.writableNeedDrain;
  }

  response(serviceResponse: { body: string }): void {
    this.token(serviceResponse.body);
  }

  finish(outcome: Outcome): void {
    if (outcome.kind === "answered") {
      this.#sendHeaders();
      this.#writer.end(`${this.#finalChunk(outcome.reason)}data: [DONE]\n\n`);
      return;
    }
    if (!this.#response.headersSent) {
      sendProblem(this.#response, outcome);
      return;
    }
    this.#writer.end(
      `event: error\ndata: ${JSON.stringify(createProblem(outcome))}\n\n`,
    );
  }

  #finalChunk(reason: string): string {
    const chunk = {
      id: this.#metadata.id,
      object: "chat.completion.chunk",
      created: this.#metadata.created,
      model: this.#metadata.model,
      choices: [{ index: 0, finish_reason: reason, delta: {} }],
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }

  #sendHeaders(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-store",
    });
  }
}

/** Buffers a generation and sends it as one JSON object when it is complete. */
export class JsonCompletionSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #metadata: CompletionMetadata;
  readonly #tokens: string[] = [];

  constructor(response: ServerResponse, metadata: CompletionMetadata) {
    this.#response = response;
    this.#metadata = metadata;
  }

  token(text: string): boolean {
    this.#tokens.push(text);
    return true;
  }

  response(serviceResponse: { body: string }): void {
    this.#tokens.push(serviceResponse.body);
  }

  finish(outcome: Outcome): void {
    if (outcome.kind !== "answered") {
      sendProblem(this.#response, outcome);
      return;
    }
    const content = this.#tokens.join("");
    const headers = { "content-type": "application/json" };
    const body = JSON.stringify({
      id: this.#metadata.id,
      object: "chat.completion",
      created: this.#metadata.created,
      model: this.#metadata.model,
      choices: [{
        index: 0,
        finish_reason: outcome.reason,
        message: { role: "assistant", content },
      }],
      usage: { completion_tokens: outcome.tokens },
    });
    sendWhole(this.#response, { status: 200, headers, body });
  }
}

/** Forwards the response of a plain service unchanged. */
export class ServiceResponseSink implements AnswerSink {
  readonly #response: ServerResponse;
  #reply: { status: number; contentType: string; body: string } | undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  token(): boolean {
    return true;
  }

  response(
    serviceResponse: { status: number; contentType: string; body: string },
  ): void {
    this.#reply = serviceResponse;
  }

  finish(outcome: Outcome): void {
    if (outcome.kind !== "answered") {
      sendProblem(this.#response, outcome);
      return;
    }
    const { status = 204, contentType = "text/plain", body = "" } =
      this.#reply ?? {};
    const headers = { "content-type": contentType };
    sendWhole(this.#response, { status, headers, body, encoding: "latin1" });
  }
}
