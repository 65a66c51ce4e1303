const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];

/** Drops a byte order mark at the start of a stream that comes in chunks. */
export class ByteOrderMarkFilter {
  #markBytes = 0;

  push(chunk: Buffer): Buffer {
    if (this.#markBytes === BYTE_ORDER_MARK.length) return chunk;
    let start = 0;
    while (
      start < chunk.length && this.#markBytes < BYTE_ORDER_MARK.length
    ) {
      const isMark = chunk[start] === BYTE_ORDER_MARK[this.#markBytes];
      if (!isMark) this.#markBytes = BYTE_ORDER_MARK.length;
      else {
        this.#markBytes += 1;
        start += 1;
      }
    }
    return chunk.subarray(start);
  }
}
