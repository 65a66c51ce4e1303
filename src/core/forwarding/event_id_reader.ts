import { ByteOrderMarkFilter } from "./byte_order_mark.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const FIELD = Buffer.from("id:");
/** Longest id that is read, bytes; a longer one counts as none. */
const MAX_ID_BYTES = 256;

/** Reads the ids of the events of a stream without buffering its events. */
export class EventIdReader {
  readonly #mark = new ByteOrderMarkFilter();
  readonly #line = Buffer.alloc(FIELD.length + MAX_ID_BYTES);
  #lineLength = 0;
  #wasCarriageReturn = false;
  /** Id of the event that has not ended. */
  #eventId: string | undefined;

  /** Returns the ids of the events that have ended with the chunk. */
  push(bytes: Buffer): readonly string[] {
    const chunk = this.#mark.push(bytes);
    const eventIds: string[] = [];
    const { length } = chunk;
    let index = 0;
    while (index < length) {
      const end = endOfLine(chunk, index);
      if (end > index) this.#pushToLine(chunk, { index, end });
      index = end + 1;
      if (end === length) break;
      const isSecondOfPair = chunk[end] === LINE_FEED &&
        this.#wasCarriageReturn && this.#lineLength === 0;
      this.#wasCarriageReturn = chunk[end] === CARRIAGE_RETURN;
      if (isSecondOfPair) continue;
      if (this.#lineLength > 0) this.#readLine();
      else if (this.#eventId !== undefined) {
        eventIds.push(this.#eventId);
        this.#eventId = undefined;
      }
      this.#lineLength = 0;
    }
    return eventIds;
  }

  /** Keeps the bytes of a line that may be an id. */
  #pushToLine(
    bytes: Buffer,
    { end, index }: { readonly index: number; readonly end: number },
  ): void {
    const line = this.#line;
    const before = this.#lineLength;
    this.#lineLength += end - index;
    this.#wasCarriageReturn = false;
    if (before === 0) line[0] = bytes[index];
    if (line[0] !== FIELD[0]) return;
    const kept = Math.min(end, index + line.length - before);
    for (let from = index; from < kept; from++) {
      line[before + from - index] = bytes[from];
    }
  }

  #readLine(): void {
    const line = this.#line;
    const length = this.#lineLength;
    const isId = length >= FIELD.length - 1 && length <= line.length &&
      line[0] === FIELD[0] && line[1] === FIELD[1] &&
      (length < FIELD.length || line[2] === FIELD[2]);
    if (!isId) return;
    const hasSpace = length > FIELD.length && line[FIELD.length] === SPACE;
    const start = Math.min(length, FIELD.length + (hasSpace ? 1 : 0));
    this.#eventId = line.toString("latin1", start, length);
  }
}

function endOfLine(bytes: Buffer, from: number): number {
  let index = from;
  while (
    index < bytes.length && bytes[index] !== LINE_FEED &&
    bytes[index] !== CARRIAGE_RETURN
  ) index += 1;
  return index;
}
