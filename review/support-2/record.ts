/** The record of a run: what was sent, answered and run, by time. */
import { writeFileSync } from "node:fs";

const MILLISECONDS_PER_SECOND = 1_000;

/** Collects the lines of `record.txt`. */
export class RunRecord {
  readonly #lines: string[] = [];
  readonly #startedAt = performance.now();

  /** Adds a line with the time since the start of the run. */
  note(text: string): void {
    const seconds = (performance.now() - this.#startedAt) /
      MILLISECONDS_PER_SECOND;
    this.#lines.push(`${seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  /** Adds a line and prints it. */
  conclude(text: string): void {
    this.note(text);
    console.log(text);
  }

  /** Writes the lines to a file. */
  write(path: string): void {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}
