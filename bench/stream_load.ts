import { connect, type Socket } from "node:net";

/** Progress of one stream. */
export interface StreamCounts {
  /** Time from sending the request to the first token. */
  firstTokenMilliseconds: number;
  tokens: number;
  ended: boolean;
}

/** Counts over concurrent streams. */
export interface LoadCounts {
  readonly streams: readonly StreamCounts[];
  /** Latencies of tokens in milliseconds, at most one per chunk. */
  readonly tokenLatencies: number[];
}

const TOKEN_MARKER = Buffer.from('"content":"');
const END_MARKER = "[DONE]";
/** Characters of a timestamp in milliseconds with three decimal places. */
const TIMESTAMP_LENGTH = 17;

/**
 * Load generator on plain sockets, because an HTTP client would use as much CPU
 * as the entry under test. Tokens are counted by searching for a marker.
 */
export class StreamLoad {
  readonly #host: string;
  readonly #port: number;
  readonly #sockets = new Set<Socket>();
  readonly tokenLatencies: number[] = [];
  /** Whether token latencies are recorded. */
  recordsLatencies = false;
  tokens = 0;

  constructor(url: string) {
    const { hostname, port } = new URL(url);
    this.#host = hostname;
    this.#port = Number(port);
  }

  /** Opens a stream; `first` resolves at its first token, `end` at its end. */
  open(maxTokens: number): {
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
        socket.write(this.#requestText(maxTokens));
      });
      socket.on("data", (chunk) => {
        const tokens = this.#countTokens(chunk);
        if (tokens > 0 && counts.tokens === 0) {
          counts.firstTokenMilliseconds = performance.now() - sentAt;
          onFirst();
        }
        counts.tokens += tokens;
        if (chunk.includes(END_MARKER)) {
          counts.ended = true;
          socket.end();
        } else if (counts.tokens === 0 && chunk.includes("problem+json")) {
          reject(new Error(`Request was refused: ${chunk}`));
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

  #requestText(maxTokens: number): string {
    const body = JSON.stringify({
      model: "triage-llm",
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: "user", content: "Lorry dumping by the river" }],
    });
    return `POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n` +
      `content-type: application/json\r\nconnection: close\r\n` +
      `content-length: ${body.length}\r\n\r\n${body}`;
  }

  #countTokens(chunk: Buffer): number {
    let tokens = 0;
    let last = -1;
    for (
      let index = chunk.indexOf(TOKEN_MARKER);
      index >= 0;
      index = chunk.indexOf(TOKEN_MARKER, index + TOKEN_MARKER.length)
    ) {
      tokens += 1;
      last = index;
    }
    this.tokens += tokens;
    if (this.recordsLatencies && last >= 0) this.#recordLatency(chunk, last);
    return tokens;
  }

  #recordLatency(chunk: Buffer, markerIndex: number): void {
    const start = markerIndex + TOKEN_MARKER.length;
    const sentAt = Number(
      chunk.toString("latin1", start, start + TIMESTAMP_LENGTH),
    );
    const now = performance.timeOrigin + performance.now();
    if (sentAt > 0) this.tokenLatencies.push(now - sentAt);
  }
}
