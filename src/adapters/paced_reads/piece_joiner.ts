/** Size from which a piece is passed on as it is, without a copy. */
const LARGE_PIECE_BYTES = 4 * 1024;

/**
 * Joins the small pieces of one read. Each piece that is passed on costs a
 * search for events, a write to the caller and memory of some hundred bytes.
 */
export class PieceJoiner {
  readonly #onJoined: (bytes: Buffer) => void;
  #pieces: Buffer[] = [];

  constructor(onJoined: (bytes: Buffer) => void) {
    this.#onJoined = onJoined;
  }

  push(piece: Buffer): void {
    if (piece.length >= LARGE_PIECE_BYTES) {
      this.flush();
      return this.#onJoined(piece);
    }
    // Runs once the bytes that were read together have been parsed.
    if (this.#pieces.length === 0) queueMicrotask(() => this.flush());
    this.#pieces.push(piece);
  }

  /** Passes on what has been pushed. */
  flush(): void {
    const pieces = this.#pieces;
    if (pieces.length === 0) return;
    this.#pieces = [];
    this.#onJoined(pieces.length === 1 ? pieces[0] : Buffer.concat(pieces));
  }
}
