/**
 * Cuts a stream of server-sent events into whole events. An engine may crash in
 * the middle of one, and another engine's bytes must not follow half an event.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Longest event that is kept waiting for its end, bytes. */
const MOST_EVENT_BYTES = 1024 * 1024;

/** Whole events and the id of the last of them. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastEventId: string | undefined;
}

/** Holds back the bytes of an event until it is whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event whose end has not come. */
  get pending(): Buffer {
    return this.#rest;
  }

  /** Gives the events that are whole now; undefined where none is. */
  push(piece: Buffer): WholeEvents | undefined {
    const bytes = this.#rest.length === 0
      ? piece
      : Buffer.concat([this.#rest, piece]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.#rest = bytes;
      if (bytes.length <= MOST_EVENT_BYTES) return undefined;
      this.#rest = Buffer.alloc(0);
      return { bytes, lastEventId: undefined };
    }
    const whole = bytes.subarray(0, end);
    this.#rest = bytes.subarray(end);
    return { bytes: whole, lastEventId: lastIdIn(whole) };
  }
}

/** Offset behind the last empty line, 0 where there is none. */
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

function lastIdIn(events: Buffer): string | undefined {
  const matches = events.toString("latin1").matchAll(
    /(?:^|\n)id: ?([^\r\n]*)/g,
  );
  return [...matches].at(-1)?.[1];
}
