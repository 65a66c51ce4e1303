/** Largest body that is held, bytes. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Limit for all held bodies together, bytes. */
const MAX_TOTAL_BYTES = 16 * 1024 * 1024;

/**
 * Pieces that are joined to one. Each piece takes some 200 bytes besides its
 * own, which do not count, and events may be smaller than that.
 */
const JOINED_PIECES = 64;

/** Memory for bodies that are held until their length is known. */
export class HeldBodies {
  #totalBytes = 0;

  /** Starts a body. */
  open(): HeldBody {
    let bytes = 0;
    let joined: Buffer[] = [];
    let pieces: Buffer[] = [];
    return {
      push: (chunk) => {
        const isTooLarge = bytes + chunk.length > MAX_BODY_BYTES ||
          this.#totalBytes + chunk.length > MAX_TOTAL_BYTES;
        if (isTooLarge) return false;
        bytes += chunk.length;
        this.#totalBytes += chunk.length;
        pieces.push(chunk);
        if (pieces.length < JOINED_PIECES) return true;
        joined.push(Buffer.concat(pieces));
        pieces = [];
        return true;
      },
      take: () => {
        const body = Buffer.concat([...joined, ...pieces]);
        joined = [];
        pieces = [];
        return body;
      },
      release: () => {
        this.#totalBytes -= bytes;
        bytes = 0;
        joined = [];
        pieces = [];
      },
    };
  }
}

/** A body that is held. */
export interface HeldBody {
  /** False if there is no memory for the chunk. */
  push(chunk: Buffer): boolean;
  /** Returns what is held. */
  take(): Buffer;
  /** Frees the memory once nothing of the body is buffered any more. */
  release(): void;
}
