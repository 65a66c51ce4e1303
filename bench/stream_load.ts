import { connect, type Socket } from "node:net";

/** What one stream has received so far. */
export interface StreamCounts {
  /** From the request's last byte to the first token, milliseconds. */
  firstTokenMilliseconds: number;
  tokens: number;
  ended: boolean;
}

/** Counts over streams that are open at once. */
export interface LoadCounts {
  readonly streams: readonly StreamCounts[];
  /** Ages of tokens as they arrived, milliseconds; at most one a piece. */
  readonly ages: number[];
}

const TOKEN_MARK = Buffer.from('"content":"');
const END_MARK = "[DONE]";
/** Digits of a time in milliseconds with three places behind the point. */
const TIME_LENGTH = 17;

/**
 * Callers on plain sockets: an HTTP client would cost as much as the entry
 * that is measured. Tokens are counted by their mark in the bytes.
 */
export class StreamLoad {
  readonly #host: string;
  readonly #port: number;
  readonly #sockets = new Set<Socket>();
  readonly ages: number[] = [];
  /** Ages are kept while this is on. */
  keepsAges = false;
  tokens = 0;

  constructor(url: string) {
    const { hostname, port } = new URL(url);
    this.#host = hostname;
    this.#port = Number(port);
  }

  /** Opens a stream; `first` settles with its first token, `end` at its end. */
  open(mostTokens: number): {
    counts: StreamCounts;
    first: Promise<void>;
    end: Promise<void>;
  } {
    const counts = { firstTokenMilliseconds: 0, tokens: 0, ended: false };
    const socket = connect({
      host: this.#host,
      port: this.#port,
      noDelay: true,
    });
    this.#sockets.add(socket);
    let onFirst = () => {};
    const first = new Promise<void>((resolve) => onFirst = resolve);
    const end = new Promise<void>((resolve, reject) => {
      let sentAt = 0;
      socket.on("connect", () => {
        sentAt = performance.now();
        socket.write(this.#requestText(mostTokens));
      });
      socket.on("data", (piece) => {
        const tokens = this.#count(piece);
        if (tokens > 0 && counts.tokens === 0) {
          counts.firstTokenMilliseconds = performance.now() - sentAt;
          onFirst();
        }
        counts.tokens += tokens;
        if (piece.includes(END_MARK)) {
          counts.ended = true;
          socket.end();
        } else if (counts.tokens === 0 && piece.includes("problem+json")) {
          reject(new Error(`Refused: ${piece}`));
        }
      });
      socket.on("error", () => {});
      socket.on("close", () => {
        this.#sockets.delete(socket);
        resolve();
      });
    });
    return { counts, first: Promise.race([first, end]), end };
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #requestText(mostTokens: number): string {
    const body = JSON.stringify({
      model: "triage-llm",
      stream: true,
      max_tokens: mostTokens,
      messages: [{ role: "user", content: "Lorry dumping by the river" }],
    });
    return `POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n` +
      `content-type: application/json\r\nconnection: close\r\n` +
      `content-length: ${body.length}\r\n\r\n${body}`;
  }

  #count(piece: Buffer): number {
    let tokens = 0;
    let last = -1;
    for (
      let at = piece.indexOf(TOKEN_MARK);
      at >= 0;
      at = piece.indexOf(TOKEN_MARK, at + TOKEN_MARK.length)
    ) {
      tokens += 1;
      last = at;
    }
    this.tokens += tokens;
    if (this.keepsAges && last >= 0) this.#keepAge(piece, last);
    return tokens;
  }

  #keepAge(piece: Buffer, at: number): void {
    const start = at + TOKEN_MARK.length;
    const sent = Number(piece.toString("latin1", start, start + TIME_LENGTH));
    const now = performance.timeOrigin + performance.now();
    if (sent > 0) this.ages.push(now - sent);
  }
}
