import type { IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { createParser, type EventSourceParser } from "eventsource-parser";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { failure } from "../../core/errors/mod.ts";
import type { EndpointFailure } from "../../core/links/mod.ts";
import { ENDPOINT_CLOSED, ENDPOINT_ERROR, ENDPOINT_GARBAGE } from "./errors.ts";

/**
 * Maximum characters of one event. A token has a few characters; an engine that
 * sends megabytes without a line break must not exhaust the side's memory.
 */
const MAX_EVENT_CHARACTERS = 256 * 1024;
const END_OF_STREAM = "[DONE]";

/** Options of a `GenerationReader`; `maxBytes` limits the whole stream. */
export interface GenerationReaderOptions {
  readonly url: string;
  readonly onToken: (text: string) => void;
  readonly maxBytes: number;
}

/** How a stream of tokens ended. */
export type GenerationEnd = Result<"stop" | "length", EndpointFailure>;

/**
 * Reads one stream of server-sent events. A stream is complete only if a finish
 * reason and then the `[DONE]` marker arrive. The connection of a killed engine
 * closes like that of an engine that is done, so without this rule a truncated
 * generation would be delivered as a complete one.
 */
export class GenerationReader {
  /** Settles when the stream has completed or failed. */
  readonly finished: Promise<GenerationEnd>;
  readonly #incoming: IncomingMessage;
  readonly #options: GenerationReaderOptions;
  readonly #parser: EventSourceParser;
  readonly #decoder = new StringDecoder("utf8");
  #settle: (end: GenerationEnd) => void = () => {};
  #isSettled = false;
  #bytesRead = 0;
  #finishReason: "stop" | "length" | undefined;

  constructor(incoming: IncomingMessage, options: GenerationReaderOptions) {
    this.#incoming = incoming;
    this.#options = options;
    this.finished = new Promise((resolve) => this.#settle = resolve);
    this.#parser = createParser({
      onEvent: (event) => this.#onEvent(event.data),
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") {
          this.#failInvalid("an event exceeds the maximum size");
        }
      },
      maxBufferSize: MAX_EVENT_CHARACTERS,
    });
    incoming.on("data", (data: Buffer) => this.#onData(data));
    const onClosed = () => this.#onClosed();
    incoming.on("end", onClosed);
    incoming.on("error", onClosed);
    incoming.on("close", onClosed);
  }

  #onData(data: Buffer): void {
    if (this.#isSettled) return;
    this.#bytesRead += data.length;
    if (this.#bytesRead > this.#options.maxBytes) {
      this.#failInvalid(`more than ${this.#options.maxBytes} bytes`);
      return;
    }
    this.#parser.feed(this.#decoder.write(data));
  }

  #onEvent(data: string): void {
    if (this.#isSettled) return;
    if (data === END_OF_STREAM) {
      if (this.#finishReason === undefined) {
        this.#failInvalid("the end marker arrived without a finish reason");
      } else this.#end(ok(this.#finishReason));
      return;
    }
    const chunk = parseChunk(data);
    if (chunk === undefined) {
      this.#failInvalid("an event is not a completion chunk");
      return;
    }
    if (chunk.error !== undefined) {
      this.#end(err(failure(ENDPOINT_ERROR, this.#errorValues(chunk.error))));
      return;
    }
    if (chunk.text !== undefined && chunk.text !== "") {
      if (this.#finishReason !== undefined) {
        this.#failInvalid("a token arrived after the finish reason");
        return;
      }
      this.#options.onToken(chunk.text);
    }
    if (chunk.reason !== undefined) this.#finishReason = chunk.reason;
  }

  #onClosed(): void {
    const reason = "the stream ended without its end marker";
    this.#end(err(failure(ENDPOINT_CLOSED, this.#errorValues(reason))));
  }

  #failInvalid(reason: string): void {
    this.#end(err(failure(ENDPOINT_GARBAGE, this.#errorValues(reason))));
    this.#incoming.destroy();
  }

  #errorValues(reason: string): { url: string; reason: string } {
    return { url: this.#options.url, reason };
  }

  #end(end: GenerationEnd): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#settle(end);
  }
}

interface CompletionChunk {
  readonly text?: string;
  readonly reason?: "stop" | "length";
  readonly error?: string;
}

/**
 * Parses the required fields of one chunk. Handwritten because it runs for
 * every token; a validator that collects problems costs several times more.
 */
function parseChunk(data: string): CompletionChunk | undefined {
  let value;
  try {
    value = JSON.parse(data);
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  if (value.error !== undefined) {
    const message = value.error?.message;
    const isText = typeof message === "string";
    return { error: isText ? message : "no reason given" };
  }
  const choice = value.choices?.[0];
  if (typeof choice !== "object" || choice === null) return undefined;
  const text = choice.delta?.content;
  if (text !== undefined && text !== null && typeof text !== "string") {
    return undefined;
  }
  const reason = choice.finish_reason ?? undefined;
  if (reason !== undefined && reason !== "stop" && reason !== "length") {
    return undefined;
  }
  return { text: text ?? undefined, reason };
}
