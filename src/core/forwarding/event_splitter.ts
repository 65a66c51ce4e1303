/**
 * Splits a stream of server-sent events into complete events. An engine may
 * crash in the middle of an event, and another engine's bytes must not follow a
 * partial one.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum size of an event that is buffered until it is complete, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Complete events and their ids, in order. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly eventIds: readonly string[];
}

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #buffered: Buffer = Buffer.alloc(0);

  /** Bytes of the incomplete event. */
  get pending(): Buffer {
    return this.#buffered;
  }

  /**
   * Returns the events that are now complete; undefined if there are none. A
   * larger event than the maximum is passed on incomplete.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#buffered.length === 0
      ? chunk
      : Buffer.concat([this.#buffered, chunk]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.#buffered = bytes;
      if (bytes.length <= MAX_EVENT_BYTES) return undefined;
      this.#buffered = Buffer.alloc(0);
      return { bytes, eventIds: [] };
    }
    const complete = bytes.subarray(0, end);
    this.#buffered = bytes.subarray(end);
    return { bytes: complete, eventIds: eventIdsIn(complete) };
  }
}

/** Offset after the last empty line; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const hasReturn = bytes[index - 1] === CARRIAGE_RETURN;
    if (hasReturn && index > 1 && bytes[index - 2] === LINE_FEED) {
      return index + 1;
    }
  }
  return 0;
}

function eventIdsIn(events: Buffer): string[] {
  const matches = events.toString("latin1").matchAll(
    /(?:^|\n)id: ?([^\r\n]*)/g,
  );
  return [...matches].map((match) => match[1]);
}
