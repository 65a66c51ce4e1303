/** Writes what was sent, answered and run, one JSON object a line. */
import { createWriteStream, type WriteStream } from "node:fs";

export class EventRecord {
  readonly #startedAt = performance.now();
  readonly #stream: WriteStream;

  constructor(path: string) {
    this.#stream = createWriteStream(path);
  }

  write(event: string, facts: Readonly<Record<string, unknown>> = {}): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.#stream.write(`${JSON.stringify({ at, event, ...facts })}\n`);
  }

  /** Writes the verdict here and to standard output, and ends the record. */
  close(verdict: Readonly<Record<string, unknown>>): Promise<void> {
    this.write("verdict", verdict);
    console.log(JSON.stringify(verdict));
    return new Promise((resolve) => this.#stream.end(resolve));
  }
}
