import type { AttemptFrame } from "../../generated/messages.ts";

/** Maximum length of a line, in characters. */
const MAX_LINE_LENGTH = 16 * 1024 * 1024;

/** Thrown when a peer's stream contains something other than frames. */
export class InvalidFrameError extends Error {
  override readonly name = "InvalidFrameError";
}

/** Splits a peer's stream into frames: one JSON object per line. */
export class FrameLineReader {
  readonly #onFrame: (frame: AttemptFrame) => void;
  #partialLine = "";

  constructor(onFrame: (frame: AttemptFrame) => void) {
    this.#onFrame = onFrame;
  }

  /**
   * Parses the next chunk of text. Throws `InvalidFrameError` on invalid input.
   */
  push(text: string): void {
    const lines = (this.#partialLine + text).split("\n");
    this.#partialLine = lines.pop() ?? "";
    if (this.#partialLine.length > MAX_LINE_LENGTH) {
      throw new InvalidFrameError("A frame exceeds the maximum line length");
    }
    for (const line of lines) this.#onFrame(parseFrame(line));
  }
}

function parseFrame(line: string): AttemptFrame {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    throw new InvalidFrameError("A line is not JSON");
  }
  if (!isFrame(value)) throw new InvalidFrameError("A line is not a frame");
  return value;
}

/**
 * Checks only the fields that route a frame, because it runs for every token.
 * Peers are processes of the same system, and the assembler drops frames that
 * do not belong to its attempt.
 */
function isFrame(value: unknown): value is AttemptFrame {
  return typeof value === "object" && value !== null && "kind" in value &&
    "attemptId" in value && typeof value.attemptId === "string";
}
