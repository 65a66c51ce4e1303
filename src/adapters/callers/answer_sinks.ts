import type { ServerResponse } from "node:http";
import type { AnswerSink, Outcome } from "../../core/requests/mod.ts";
import { TurnWriter } from "../turn_writer/mod.ts";
import { problemOf, sendProblem } from "./problem.ts";

/** What every answer to a chat completion names. */
export interface CompletionHeader {
  readonly id: string;
  /** Seconds since 1970. */
  readonly created: number;
  readonly model: string;
}

/**
 * Sends a generation as server-sent events. The response's head goes out
 * with the first token, so that a refusal still has its own status.
 *
 * An answer that can't be finished ends with an `error` event and without
 * `[DONE]`: a caller that saw only an end of the stream would take a cut-off
 * answer for a whole one.
 */
export class EventStreamSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #header: CompletionHeader;
  readonly #prefix: string;
  readonly #writer: TurnWriter;

  constructor(response: ServerResponse, header: CompletionHeader) {
    this.#response = response;
    this.#writer = new TurnWriter(response);
    this.#header = header;
    // All but the token's text is the same for every event of the stream.
    const chunk = JSON.stringify({
      id: header.id,
      object: "chat.completion.chunk",
      created: header.created,
      model: header.model,
    });
    this.#prefix = `data: ${
      chunk.slice(0, -1)
    },"choices":[{"index":0,"finish_reason":null,"delta":{"content":`;
  }

  token(text: string): boolean {
    this.#sendHead();
    this.#writer.write(`${this.#prefix}${JSON.stringify(text)}}}]}\n\n`);
    return !this.#response.writableNeedDrain;
  }

  response(answer: { body: string }): void {
    this.token(answer.body);
  }

  finish(outcome: Outcome): void {
    if (outcome.kind === "answered") {
      this.#sendHead();
      this.#writer.end(`${this.#lastChunk(outcome.reason)}data: [DONE]\n\n`);
      return;
    }
    if (!this.#response.headersSent) {
      sendProblem(this.#response, outcome);
      return;
    }
    this.#writer.end(
      `event: error\ndata: ${JSON.stringify(problemOf(outcome))}\n\n`,
    );
  }

  #lastChunk(reason: string): string {
    const chunk = {
      id: this.#header.id,
      object: "chat.completion.chunk",
      created: this.#header.created,
      model: this.#header.model,
      choices: [{ index: 0, finish_reason: reason, delta: {} }],
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }

  #sendHead(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-store",
    });
  }
}

/** Sends a generation as one JSON object when it is complete. */
export class WholeAnswerSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #header: CompletionHeader;
  readonly #tokens: string[] = [];

  constructor(response: ServerResponse, header: CompletionHeader) {
    this.#response = response;
    this.#header = header;
  }

  token(text: string): boolean {
    this.#tokens.push(text);
    return true;
  }

  response(answer: { body: string }): void {
    this.#tokens.push(answer.body);
  }

  finish(outcome: Outcome): void {
    if (outcome.kind !== "answered") {
      sendProblem(this.#response, outcome);
      return;
    }
    const content = this.#tokens.join("");
    this.#response.writeHead(200, { "content-type": "application/json" });
    this.#response.end(JSON.stringify({
      id: this.#header.id,
      object: "chat.completion",
      created: this.#header.created,
      model: this.#header.model,
      choices: [{
        index: 0,
        finish_reason: outcome.reason,
        message: { role: "assistant", content },
      }],
      usage: { completion_tokens: outcome.tokens },
    }));
  }
}

/** Passes a plain service's answer on as it came. */
export class ServiceAnswerSink implements AnswerSink {
  readonly #response: ServerResponse;
  #answer: { status: number; contentType: string; body: string } | undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  token(): boolean {
    return true;
  }

  response(
    answer: { status: number; contentType: string; body: string },
  ): void {
    this.#answer = answer;
  }

  finish(outcome: Outcome): void {
    if (outcome.kind !== "answered") {
      sendProblem(this.#response, outcome);
      return;
    }
    const { status = 204, contentType = "text/plain", body = "" } =
      this.#answer ?? {};
    this.#response.writeHead(status, { "content-type": contentType });
    this.#response.end(body, "latin1");
  }
}
