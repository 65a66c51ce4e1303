const ID_LINE = /(?<=^|[\r\n])id: ?([^\r\n]*)(?=[\r\n])/;
const ID_LINES = new RegExp(ID_LINE.source, "g");
/** Longest id that is kept; a longer one is shortened. */
const MAX_ID_LENGTH = 64;

/**
 * The ids of the first and the last event in a stream, for the log. The bytes
 * of the last event are only searched when its id is read.
 */
export class EventIds {
  #first: string | undefined;
  /** The last bytes in which an id may be. */
  #recent: Buffer = Buffer.alloc(0);
  #beforeRecent: Buffer = Buffer.alloc(0);

  get first(): string | undefined {
    return this.#first;
  }

  get last(): string | undefined {
    const text = Buffer.concat([this.#beforeRecent, this.#recent])
      .toString("latin1");
    const id = [...text.matchAll(ID_LINES)].at(-1)?.[1] ?? this.#first;
    return id?.slice(0, MAX_ID_LENGTH);
  }

  push(chunk: Buffer): void {
    if (this.#first === undefined) {
      const id = ID_LINE.exec(chunk.toString("latin1"))?.[1];
      this.#first = id?.slice(0, MAX_ID_LENGTH);
    }
    this.#beforeRecent = this.#recent;
    this.#recent = chunk;
  }
}
