import { EventSplitter } from "../../core/forwarding/mod.ts";
import type { Attempt } from "./attempt.ts";
import type { BodyEnd, CallerSink, EndpointAnswer } from "./links.ts";

export interface AnswerRelayOptions {
  readonly sink: CallerSink;
  /** True: only whole events are passed on, so that another run can go on. */
  readonly wholeEvents: boolean;
  /** So many bytes go out to the caller. */
  readonly onBytes: (count: number) => void;
}

/**
 * Passes an answer's bytes to the caller as they come, over one or several
 * runs of a resumable stream. A caller that reads slowly holds the endpoint
 * back, so that no answer piles up in the entry's memory.
 */
export class AnswerRelay {
  readonly #sink: CallerSink;
  readonly #wholeEvents: boolean;
  readonly #onBytes: (count: number) => void;
  #splitter = new EventSplitter();
  #headSent = false;
  #lastEventId: string | undefined;
  #current: EndpointAnswer | undefined;

  constructor(options: AnswerRelayOptions) {
    this.#sink = options.sink;
    this.#wholeEvents = options.wholeEvents;
    this.#onBytes = options.onBytes;
    options.sink.onDrain(() => this.#current?.resume());
  }

  get headSent(): boolean {
    return this.#headSent;
  }

  /** Id of the last event that the caller has got. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Settles when the answer's body has ended. */
  pass(answer: EndpointAnswer, attempt: Attempt): Promise<BodyEnd> {
    const { head } = answer;
    // A further run goes on under the head of the first one.
    if (!this.#headSent) this.#sink.head(head.status, head.headers);
    this.#headSent = true;
    this.#current = answer;
    this.#splitter = new EventSplitter();
    return new Promise((resolve) => {
      answer.read((piece) => this.#take(piece), (end) => {
        if (end === "whole") this.#passRest();
        this.#current = undefined;
        attempt.ended(end, head.status);
        resolve(end);
      });
    });
  }

  #take(piece: Buffer): void {
    if (!this.#wholeEvents) return this.#write(piece);
    const whole = this.#splitter.push(piece);
    if (whole === undefined) return;
    this.#lastEventId = whole.lastEventId ?? this.#lastEventId;
    this.#write(whole.bytes);
  }

  #passRest(): void {
    const rest = this.#splitter.pending;
    if (rest.length > 0) this.#write(rest);
  }

  #write(piece: Buffer): void {
    this.#onBytes(piece.length);
    if (!this.#sink.write(piece)) this.#current?.pause();
  }
}
