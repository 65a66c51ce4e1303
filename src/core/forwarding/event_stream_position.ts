import { ByteOrderMarkFilter } from "./byte_order_mark.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
/** Fields of which an event has at least one. */
const EVENT_FIELDS: ReadonlySet<string> = new Set(["data", "id"]);
/** Length of the longest one, and a byte that shows a longer name. */
const MAX_NAME_BYTES = 5;
/** Last bytes up to the end of an empty line, the last one in the low byte. */
const EMPTY_LINE_ENDS = {
  lineFeeds: LINE_FEED << 8 | LINE_FEED,
  carriageReturns: CARRIAGE_RETURN << 8 | CARRIAGE_RETURN,
  pairAfterLineFeed: LINE_FEED << 16 | CARRIAGE_RETURN << 8 | LINE_FEED,
  pairAfterCarriageReturn: CARRIAGE_RETURN << 16 | CARRIAGE_RETURN << 8 |
    LINE_FEED,
};
const TWO_BYTES = 0xffff;
const THREE_BYTES = 0xffffff;

/** Position in a stream of server-sent events, after the bytes so far. */
export class EventStreamPosition {
  /** The last three bytes; the start counts as the end of an event. */
  #lastBytes = EMPTY_LINE_ENDS.lineFeeds;
  readonly #mark = new ByteOrderMarkFilter();
  /** The first bytes of the line, as far as they may name a field. */
  #lineStart = "";
  #hasFields = false;

  /** False after bytes of an event that has not ended. */
  get isBetweenEvents(): boolean {
    const lastTwo = this.#lastBytes & TWO_BYTES;
    return lastTwo === EMPTY_LINE_ENDS.lineFeeds ||
      lastTwo === EMPTY_LINE_ENDS.carriageReturns ||
      this.#lastBytes === EMPTY_LINE_ENDS.pairAfterLineFeed ||
      this.#lastBytes === EMPTY_LINE_ENDS.pairAfterCarriageReturn;
  }

  /**
   * True once the data or the id of an event was received. A stream may begin
   * with other fields, such as its retry time, that are no event.
   */
  get hasFields(): boolean {
    return this.#hasFields || EVENT_FIELDS.has(this.#lineStart);
  }

  push(chunk: Buffer): void {
    const bytes = this.#mark.push(chunk);
    const { length } = bytes;
    for (let index = Math.max(0, length - 3); index < length; index++) {
      this.#lastBytes = (this.#lastBytes << 8 | bytes[index]) & THREE_BYTES;
    }
    if (!this.#hasFields) this.#findField(bytes);
  }

  #findField(bytes: Buffer): void {
    for (const byte of bytes) {
      const isLineEnd = byte === LINE_FEED || byte === CARRIAGE_RETURN;
      if (isLineEnd || byte === COLON) {
        this.#hasFields = EVENT_FIELDS.has(this.#lineStart);
        if (this.#hasFields) return;
      }
      if (isLineEnd) this.#lineStart = "";
      else if (this.#lineStart.length < MAX_NAME_BYTES) {
        this.#lineStart += String.fromCharCode(byte);
      }
    }
  }
}
