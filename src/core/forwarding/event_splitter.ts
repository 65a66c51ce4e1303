/**
 * Splits a stream of server-sent events into complete events. An engine may
 * crash in the middle of an event, and another engine's bytes must not follow a
 * partial one.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum size of an event that is buffered until it is complete, bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Maximum size of a line that is kept when its event is passed on, bytes. */
const MAX_KEPT_LINE_BYTES = 64 * 1024;
/** Longest line end; the end of the line before shows an empty line. */
const LINE_END_BYTES = 2;
const LINE_ENDS = /\r\n|\n|\r/;
const ID_FIELD = /^id(?:$|: ?(.*))/;
/** Without it, callers discard the event. */
const DATA_FIELD = /^data(?:$|:)/;
/** The byte order mark, decoded as latin1. */
const BYTE_ORDER_MARK = /^\u00ef\u00bb\u00bf/;

/** Events and the ids of those that have ended, in order. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly eventIds: readonly string[];
  /**
   * True if the last event that has ended has an id; undefined if none has
   * ended.
   */
  readonly lastHasId: boolean | undefined;
}

type EventNames = Pick<CompleteEvents, "eventIds" | "lastHasId">;

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #buffered: Buffer = Buffer.alloc(0);
  /**
   * Number of bytes at the start of the buffer that were passed on already, and
   * are kept to detect an empty line or an id that began in them.
   */
  #passedBytes = 0;
  #isInsideEvent = false;
  /** Id of the event of which a part was passed on. */
  #eventId: string | undefined;
  #hasData = false;

  /** Bytes of the incomplete event. */
  get pending(): Buffer {
    return this.#buffered.subarray(this.#passedBytes);
  }

  /** True if a part of an incomplete event was passed on. */
  get isInsideEvent(): boolean {
    return this.#isInsideEvent;
  }

  /**
   * Returns the events that are now complete; undefined if there are none. A
   * larger event than the maximum is passed on incomplete.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#buffered.length === 0
      ? chunk
      : Buffer.concat([this.#buffered, chunk]);
    const end = endOfLastEvent(bytes, this.#buffered.length);
    if (end === 0) {
      this.#buffered = bytes;
      return this.pending.length <= MAX_EVENT_BYTES
        ? undefined
        : this.#passIncomplete();
    }
    const complete = bytes.subarray(this.#passedBytes, end);
    const names = this.#readIds(bytes.subarray(0, end));
    this.#buffered = bytes.subarray(end);
    this.#passedBytes = 0;
    this.#isInsideEvent = false;
    this.#eventId = undefined;
    this.#hasData = false;
    return { bytes: complete, ...names };
  }

  /**
   * Passes the buffer on. The last line is kept too: it may be an id, or the
   * line before an empty one.
   */
  #passIncomplete(): CompleteEvents {
    const bytes = this.#buffered;
    const passed = this.pending;
    const lineStart = startOfLastLine(bytes);
    const keptFrom = bytes.length - lineStart <= MAX_KEPT_LINE_BYTES
      ? Math.max(0, lineStart - LINE_END_BYTES)
      : bytes.length - LINE_END_BYTES;
    const names = this.#readIds(bytes.subarray(0, keptFrom));
    this.#buffered = Buffer.from(bytes.subarray(keptFrom));
    this.#passedBytes = this.#buffered.length;
    this.#isInsideEvent = true;
    return { bytes: passed, ...names };
  }

  /** The last id of each event that ends in the bytes. */
  #readIds(bytes: Buffer): EventNames {
    const lines = bytes.toString("latin1").replace(BYTE_ORDER_MARK, "")
      .split(LINE_ENDS);
    // What precedes the first line end was read with the part before it, and
    // what follows the last one is not a line yet.
    const first = this.#isInsideEvent ? 1 : 0;
    const eventIds: string[] = [];
    let lastHasId: boolean | undefined;
    for (const line of lines.slice(first, -1)) {
      if (line !== "") {
        const id = ID_FIELD.exec(line);
        if (id !== null) this.#eventId = id[1] ?? "";
        else if (DATA_FIELD.test(line)) this.#hasData = true;
        continue;
      }
      if (this.#eventId !== undefined) {
        eventIds.push(this.#eventId);
        lastHasId = true;
      } else if (this.#hasData) lastHasId = false;
      this.#eventId = undefined;
      this.#hasData = false;
    }
    return { eventIds, lastHasId };
  }
}

/**
 * Offset after the last empty line that ends at `from` or behind; 0 if there is
 * none. The bytes of an incomplete event are not searched again with each chunk.
 */
function endOfLastEvent(bytes: Buffer, from: number): number {
  for (let index = bytes.length - 1; index >= Math.max(1, from); index--) {
    if (endsEmptyLine(bytes, index)) return index + 1;
  }
  return 0;
}

/** True if the byte is the last one of an empty line. */
function endsEmptyLine(bytes: Buffer, index: number): boolean {
  const byte = bytes[index];
  if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) return false;
  const before = bytes[index - 1];
  if (before === byte) return true;
  if (byte !== LINE_FEED || before !== CARRIAGE_RETURN || index < 2) {
    return false;
  }
  const lineBefore = bytes[index - 2];
  return lineBefore === LINE_FEED || lineBefore === CARRIAGE_RETURN;
}

function startOfLastLine(bytes: Buffer): number {
  const lineEnd = Math.max(
    bytes.lastIndexOf(LINE_FEED),
    bytes.lastIndexOf(CARRIAGE_RETURN),
  );
  return lineEnd + 1;
}
