import {
  type BufferedResponse,
  EventIdReader,
  EventIds,
  type EventNumbering,
  EventSequence,
  EventSplitter,
  EventStreamPosition,
  type RegisteredEndpoint,
  type ResponseBuffers,
  type ResponseHead,
} from "../../core/forwarding/mod.ts";
import type { ForwardAttempt } from "./attempt.ts";
import {
  EVENT_STREAM,
  isSuccess,
  mediaTypeOf,
  withoutLength,
} from "./event_stream.ts";
import type {
  BodyEnd,
  CallerSink,
  EndpointResponse,
} from "./network_interfaces.ts";

/**
 * Maximum size of the events that are held back while a run has not shown where
 * it continues, bytes.
 */
const MAX_UNVERIFIED_BYTES = 64 * 1024;

const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

/**
 * How a relayed response ended. `mismatch`: the response does not continue the
 * stream that the caller has received, and nothing of it was passed on.
 */
export type RelayEnd = BodyEnd | "mismatch";

/** Which events the caller has received from this response, for the log. */
export interface PassedEvents {
  readonly firstEventId?: string;
  readonly lastEventId?: string;
}

export interface ResponseRelayOptions {
  readonly sink: CallerSink;
  /** True: only whole events are passed on, so that another run can resume. */
  readonly wholeEventsOnly: boolean;
  /** True: a stream ends as cut where an event repeats or goes back. */
  readonly verifiesOrder: boolean;
  /** Id of the last event that the caller received before this request. */
  readonly lastEventId: string | undefined;
  /** Memory for bytes that callers have not read yet. */
  readonly buffers: ResponseBuffers;
  /** Which versions number the events of their streams. */
  readonly numbering: EventNumbering;
  /** Called with the number of bytes written to the caller. */
  readonly onBytes: (count: number) => void;
}

/**
 * Streams response bytes to the caller, across the runs of a resumable stream.
 * A caller that reads slowly pauses the endpoint once the buffers for such
 * callers are full.
 */
export class ResponseRelay {
  readonly #sink: CallerSink;
  readonly #wholeEventsOnly: boolean;
  readonly #verifiesOrder: boolean;
  /** Ids of the events of a run that no other run continues. */
  readonly #runIds = new EventIdReader();
  readonly #runSequence: EventSequence;
  readonly #numbering: EventNumbering;
  /** True if the current run's events are numbered. */
  #isNumbered = false;
  /** True if the current run is the first one of its stream. */
  #beginsStream = false;
  /** True if the caller has events of the stream from before this request. */
  readonly #isTakenUp: boolean;
  readonly #onBytes: (count: number) => void;
  readonly #sequence: EventSequence;
  readonly #buffers: ResponseBuffers;
  readonly #buffered: BufferedResponse = {
    pause: () => this.#current?.pause(),
  };
  #splitter = new EventSplitter();
  /** True if the caller has a part of an event without its end. */
  #hasPartialEvent = false;
  /** Ids of the events that were passed on. */
  readonly #eventIds = new EventIds();
  /** The head that the caller has received. */
  #firstHead: ResponseHead | undefined;
  #isEventStream = false;
  /** True if the current run's body is one of events. */
  #hasEvents = false;
  /** Head of the current run. */
  #head: ResponseHead | undefined;
  /**
   * Events of a run that has not shown where it continues; undefined once it
   * has, and in the first run of a stream that begins.
   */
  #unverified: Buffer[] | undefined;
  /** Id of the event at which a run did not continue the stream. */
  #mismatchedEventId: string | undefined;
  /** True if that event would follow in a stream whose ids leave out others. */
  #hasGapOnly = false;
  /** How the body of the last run ended. */
  #lastEnd: BodyEnd | undefined;
  #current: EndpointResponse | undefined;

  constructor(options: ResponseRelayOptions) {
    this.#sink = options.sink;
    this.#wholeEventsOnly = options.wholeEventsOnly;
    this.#verifiesOrder = options.verifiesOrder;
    this.#numbering = options.numbering;
    this.#isTakenUp = options.lastEventId !== undefined;
    // Whether a replica goes on where no stream can be resumed is its own choice.
    this.#runSequence = new EventSequence(undefined, {
      beginsAnywhere: this.#isTakenUp,
    });
    this.#onBytes = options.onBytes;
    this.#sequence = new EventSequence(options.lastEventId);
    this.#buffers = options.buffers;
    options.sink.onDrain(() => {
      this.#buffers.drained(this.#buffered);
      this.#current?.resume();
    });
    options.sink.onClosed(() => this.#buffers.drained(this.#buffered));
  }

  get headSent(): boolean {
    return this.#firstHead !== undefined;
  }

  /** Id of the last event that the caller has received. */
  get lastEventId(): string | undefined {
    return this.#sequence.lastEventId;
  }

  /** Empty unless the response is a stream of events with ids. */
  get passedEvents(): PassedEvents {
    const { first, last } = this.#eventIds;
    return first === undefined
      ? {}
      : { firstEventId: first, lastEventId: last };
  }

  get mismatchedEventId(): string | undefined {
    return this.#mismatchedEventId;
  }

  /** False once the caller has received bytes that no other run can continue. */
  get isResumable(): boolean {
    if (this.#firstHead === undefined) return true;
    return carriesEvents(this.#firstHead) && !this.#hasPartialEvent &&
      this.#sequence.isNameable;
  }

  /**
   * True if the response may be passed on. Its status and type must be those
   * that the caller has received: the body of an error would otherwise end the
   * stream as if it were complete.
   */
  accepts(head: ResponseHead): boolean {
    const first = this.#firstHead;
    if (first === undefined) return true;
    return this.isResumable && head.status === first.status &&
      mediaTypeOf(head) === mediaTypeOf(first);
  }

  /** Settles when the response body has ended. */
  pipe(response: EndpointResponse, attempt: ForwardAttempt): Promise<RelayEnd> {
    const { head } = response;
    this.#head = head;
    this.#hasEvents = carriesEvents(head);
    this.#beginsStream = !this.#isTakenUp && this.#firstHead === undefined;
    this.#isNumbered = this.#verifiesOrder &&
      this.#numbering.isNumbered(attempt.endpoint);
    this.#unverified = this.#continuesStream(head) ? [] : undefined;
    if (this.#unverified === undefined) this.#sendHead();
    this.#current = response;
    this.#splitter = new EventSplitter();
    return new Promise((resolve) => {
      let isRejected = false;
      const reject = () => {
        isRejected = true;
        this.#recordNumbering(attempt.endpoint);
        // What it has shown may be a later event of the stream.
        this.#lastEnd = "cut";
        this.#current = undefined;
        attempt.abort();
        resolve("mismatch");
      };
      response.read((chunk) => {
        if (!isRejected && !this.#writeChunk(chunk)) reject();
      }, (end) => {
        if (isRejected) return;
        if (end === "whole" && !this.#acceptEnd()) return reject();
        if (end === "whole") this.#flushPending();
        this.#lastEnd = end;
        this.#recordNumbering(attempt.endpoint);
        this.#current = undefined;
        attempt.onEnd(end, head.status);
        resolve(end);
      });
    });
  }

  /**
   * Learns from a stream whose end, or whose lost event, was just read. One that
   * is not whole counts too: otherwise those of a pool that breaks off its sound
   * streams would be the ones with lost events only. A run that continues a
   * stream may have ignored its position, and shows nothing of how its version
   * counts.
   */
  #recordNumbering(endpoint: RegisteredEndpoint): void {
    const isFresh = this.#verifiesOrder && this.#beginsStream &&
      this.#hasEvents;
    if (!isFresh) return;
    const sequence = this.#wholeEventsOnly ? this.#sequence : this.#runSequence;
    const isRejected = this.#mismatchedEventId !== undefined;
    // Ids that repeat or go back show a fault and not how ids count.
    if (isRejected && !this.#hasGapOnly) return;
    const isNumbered = isRejected ? false : sequence.isNumbered;
    if (isNumbered === undefined) return;
    this.#numbering.record(endpoint, { isNumbered });
  }

  /** True if the caller has received events of the stream before this run. */
  #continuesStream(head: ResponseHead): boolean {
    if (this.#firstHead !== undefined) return true;
    return this.#wholeEventsOnly && this.lastEventId !== undefined &&
      carriesEvents(head);
  }

  /**
   * A further run continues under the response head of the first one, whose
   * length would not be that of both.
   */
  #sendHead(): void {
    const head = this.#head;
    if (this.#firstHead !== undefined || head === undefined) return;
    const mayGoOn = this.#wholeEventsOnly && this.#hasEvents;
    const { headers } = mayGoOn ? withoutLength(head) : head;
    this.#sink.head(head.status, headers);
    this.#firstHead = head;
    this.#isEventStream = mediaTypeOf(head) === EVENT_STREAM;
  }

  /**
   * False if the end of the run does not end the stream. A run without events
   * does, for a caller that has received them all: one that takes the stream up,
   * or one whose last run has ended in order. A run before it that was cut may
   * have shown a later event, or have had one to write.
   */
  #acceptEnd(): boolean {
    if (this.#unverified === undefined) return true;
    if (this.#lastEnd === "cut") return false;
    const bytes = Buffer.concat(this.#unverified);
    const position = new EventStreamPosition();
    position.push(bytes);
    if (position.hasFields) return false;
    this.#unverified = undefined;
    this.#sendHead();
    if (bytes.length > 0) this.#write(bytes);
    return true;
  }

  /** False if the chunk does not continue the stream. */
  #writeChunk(chunk: Buffer): boolean {
    if (!this.#wholeEventsOnly || !this.#hasEvents) {
      if (!this.#isInOrder(chunk)) return false;
      this.#write(chunk);
      return true;
    }
    const events = this.#splitter.push(chunk);
    if (events === undefined) return true;
    const { eventIds } = events;
    if (this.#unverified !== undefined) {
      this.#unverified.push(events.bytes);
      if (eventIds.length === 0) {
        return byteLength(this.#unverified) <= MAX_UNVERIFIED_BYTES;
      }
    }
    const isFurtherRun = this.#unverified !== undefined;
    if (!this.#follows(eventIds, this.#sequence, isFurtherRun)) return false;
    this.#sendHead();
    const bytes = this.#unverified === undefined
      ? events.bytes
      : withoutMark(Buffer.concat(this.#unverified));
    this.#unverified = undefined;
    this.#sequence.record(events);
    this.#hasPartialEvent = this.#splitter.isInsideEvent;
    this.#write(bytes);
    return true;
  }

  /** False if an event of the chunk does not follow the ones before it. */
  #isInOrder(chunk: Buffer): boolean {
    if (!this.#verifiesOrder || !this.#hasEvents) return true;
    const eventIds = this.#runIds.push(chunk);
    if (eventIds.length === 0) return true;
    const follows = this.#follows(eventIds, this.#runSequence, false);
    this.#runSequence.record({ eventIds, lastHasId: true });
    return follows;
  }

  #follows(
    eventIds: readonly string[],
    sequence: EventSequence,
    isFurtherRun: boolean,
  ): boolean {
    const find = (isNumbered: boolean) =>
      sequence.findMismatch(eventIds, { isFurtherRun, isNumbered });
    this.#mismatchedEventId = find(this.#isNumbered);
    this.#hasGapOnly = this.#mismatchedEventId !== undefined &&
      find(false) === undefined;
    return this.#mismatchedEventId === undefined;
  }

  #flushPending(): void {
    const pending = this.#splitter.pending;
    if (pending.length > 0) this.#write(pending);
  }

  #write(chunk: Buffer): void {
    this.#onBytes(chunk.length);
    if (this.#isEventStream) this.#eventIds.push(chunk);
    if (this.#sink.write(chunk)) return;
    this.#buffers.update(this.#buffered, this.#sink.bufferedBytes);
  }
}

/**
 * False for bodies in which lines may look like those of an event. Without a
 * media type, the answer to a request for a stream is taken for one.
 */
function carriesEvents(head: ResponseHead): boolean {
  const type = mediaTypeOf(head);
  return isSuccess(head) && (type === undefined || type === EVENT_STREAM);
}

/** A byte order mark is one at the start of a stream only. */
function withoutMark(bytes: Buffer): Buffer {
  const hasMark = bytes.subarray(0, BYTE_ORDER_MARK.length)
    .equals(BYTE_ORDER_MARK);
  return hasMark ? bytes.subarray(BYTE_ORDER_MARK.length) : bytes;
}

function byteLength(buffers: readonly Buffer[]): number {
  return buffers.reduce((sum, { length }) => sum + length, 0);
}
