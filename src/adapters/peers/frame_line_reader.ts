import type { AttemptFrame } from "../../generated/messages.ts";

/** Most characters that a line may have before the sender counts as broken. */
const MAX_LINE_LENGTH = 16 * 1024 * 1024;

/** Tells that a peer's stream is not made of frames. */
export class InvalidFrameError extends Error {
  override readonly name = "BrokenFrameStream";
}

/** Cuts a peer's byte stream into frames: one JSON object per line. */
export class FrameLineReader {
  readonly #onFrame: (frame: AttemptFrame) => void;
  #partialLine = "";

  constructor(onFrame: (frame: AttemptFrame) => void) {
    this.#onFrame = onFrame;
  }

  /** Takes the next piece of text. Throws `BrokenFrameStream` on garbage. */
  push(text: string): void {
    const lines = (this.#partialLine + text).split("\n");
    this.#partialLine = lines.pop() ?? "";
    if (this.#partialLine.length > MAX_LINE_LENGTH) {
      throw new InvalidFrameError("A frame is longer than any frame can be");
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
 * Only the fields that route a frame are checked for every token; the peer is
 * of the same system, and the assembler drops what does not belong.
 */
function isFrame(value: unknown): value is AttemptFrame {
  return typeof value === "object" && value !== null && "kind" in value &&
    "attemptId" in value && typeof value.attemptId === "string";
}
