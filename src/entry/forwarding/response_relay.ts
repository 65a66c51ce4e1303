import { EventSplitter } from "../../core/forwarding/mod.ts";
import type { ForwardAttempt } from "./attempt.ts";
import type {
  BodyEnd,
  CallerSink,
  EndpointResponse,
} from "./network_interfaces.ts";

export interface ResponseRelayOptions {
  readonly sink: CallerSink;
  /** True: only whole events are passed on, so that another run can resume. */
  readonly wholeEventsOnly: boolean;
  /** Called with the number of bytes written to the caller. */
  readonly onBytes: (count: number) => void;
}

/**
 * Streams response bytes to the caller, across the runs of a resumable stream.
 * A caller that reads slowly pauses the endpoint, so that responses are not
 * buffered in the entry's memory.
 */
export class ResponseRelay {
  readonly #sink: CallerSink;
  readonly #wholeEventsOnly: boolean;
  readonly #onBytes: (count: number) => void;
  #splitter = new EventSplitter();
  #headSent = false;
  #lastEventId: string | undefined;
  #current: EndpointResponse | undefined;

  constructor(options: ResponseRelayOptions) {
    this.#sink = options.sink;
    this.#wholeEventsOnly = options.wholeEventsOnly;
    this.#onBytes = options.onBytes;
    options.sink.onDrain(() => this.#current?.resume());
  }

  get headSent(): boolean {
    return this.#headSent;
  }

  /** Id of the last event written to the caller. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Settles when the response body has ended. */
  pipe(response: EndpointResponse, attempt: ForwardAttempt): Promise<BodyEnd> {
    const { head } = response;
    // A resumed run continues under the response head of the first run.
    if (!this.#headSent) this.#sink.head(head.status, head.headers);
    this.#headSent = true;
    this.#current = response;
    this.#splitter = new EventSplitter();
    return new Promise((resolve) => {
      response.read((chunk) => this.#writeChunk(chunk), (end) => {
        if (end === "whole") this.#flushPending();
        this.#current = undefined;
        attempt.onEnd(end, head.status);
        resolve(end);
      });
    });
  }

  #writeChunk(chunk: Buffer): void {
    if (!this.#wholeEventsOnly) return this.#write(chunk);
    const events = this.#splitter.push(chunk);
    if (events === undefined) return;
    this.#lastEventId = events.lastEventId ?? this.#lastEventId;
    this.#write(events.bytes);
  }

  #flushPending(): void {
    const pending = this.#splitter.pending;
    if (pending.length > 0) this.#write(pending);
  }

  #write(chunk: Buffer): void {
    this.#onBytes(chunk.length);
    if (!this.#sink.write(chunk)) this.#current?.pause();
  }
}
