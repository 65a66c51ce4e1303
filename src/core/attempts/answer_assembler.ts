import type {
  AttemptFrame,
  EndFrame,
  ResponseFrame,
  TokenFrame,
} from "../../generated/messages.ts";

/** End of a complete answer. */
export type CompletedAnswer =
  | { readonly kind: "generation"; readonly frame: EndFrame }
  | { readonly kind: "service"; readonly frame: ResponseFrame };

/**
 * Effect of a frame. `taken`: it was applied. `dropped`: it belongs to an older
 * attempt or is a duplicate. `held`: it arrived out of order and is buffered.
 * `complete`: the answer is complete now. `not_run` and `failed`: the attempt
 * is over. `broken`: the attempt contradicts itself and has to be abandoned.
 */
export type FrameEffect =
  | "taken"
  | "dropped"
  | "held"
  | "complete"
  | "not_run"
  | "failed"
  | "broken";

export interface AnswerAssemblerOptions {
  /** Receives each token of the answer once, in order. */
  readonly onToken: (text: string, index: number) => void;
  /** Accepts the frames of every attempt; set only by tests. */
  readonly acceptsEveryAttempt?: boolean;
}

/**
 * Maximum number of frames buffered out of order, two seconds at 26 ms between
 * tokens. A gap of that age is a lost frame, and resuming elsewhere is quicker
 * than waiting; without the bound, an attempt that has lost one frame and
 * continues would fill memory while nothing is delivered.
 */
const MAX_BUFFERED_FRAMES = 64;

/**
 * Assembles the answer to one request. An answer is complete only when an end
 * frame of the current attempt gives its number of tokens and all of them were
 * delivered. A closed connection alone proves nothing: a truncated answer would
 * look complete.
 */
export class AnswerAssembler {
  readonly #options: AnswerAssemblerOptions;
  /** Texts in order; kept because a resume on another replica needs them. */
  readonly #delivered: string[] = [];
  /** Tokens that arrived out of order; allocated only when one does. */
  #buffered: Map<number, string> | undefined;
  #currentAttemptId = "";
  #endFrame: EndFrame | undefined;
  #complete: CompletedAnswer | undefined;
  #currentAttemptStarted = false;
  #anyAttemptStarted = false;
  #attemptEnded = false;

  constructor(options: AnswerAssemblerOptions) {
    this.#options = options;
  }

  /**
   * Starts a new attempt; frames of all earlier ones are dropped from now on.
   */
  beginAttempt(attemptId: string): void {
    this.#currentAttemptId = attemptId;
    this.#buffered = undefined;
    this.#endFrame = undefined;
    this.#currentAttemptStarted = false;
    this.#attemptEnded = false;
  }

  /** End of the complete answer; undefined until it is complete. */
  get complete(): CompletedAnswer | undefined {
    return this.#complete;
  }

  /** Whether the current attempt has shown that its endpoint started. */
  get attemptStarted(): boolean {
    return this.#currentAttemptStarted;
  }

  /** Whether any attempt of this request may have run. */
  get anyAttemptStarted(): boolean {
    return this.#anyAttemptStarted;
  }

  /**
   * Tokens that the caller has received, from which another attempt continues.
   */
  get deliveredTokens(): readonly string[] {
    return this.#delivered;
  }

  /** Whether the attempt has a gap: frames arrived that can't be delivered. */
  get hasGap(): boolean {
    return (this.#buffered !== undefined &&
      this.#buffered.size > 0) ||
      (this.#endFrame !== undefined && this.#complete === undefined);
  }

  receive(frame: AttemptFrame): FrameEffect {
    if (this.#complete !== undefined || this.#isStale(frame.attemptId)) {
      return "dropped";
    }
    switch (frame.kind) {
      case "token":
        return this.#receiveToken(frame);
      case "started":
        return this.#receiveStarted();
      case "end":
        return this.#receiveEnd(frame);
      case "response":
        return this.#receiveResponse(frame);
      case "not_run":
        return this.#receiveNotRun();
      case "failed":
        this.#markStarted();
        this.#attemptEnded = true;
        return "failed";
    }
  }

  /**
   * Frames of an abandoned attempt still arrive, as its side may be cut off
   * from the cancellation. Without this check they mix with those of the
   * resumed attempt: words appear twice, or the answer ends too early.
   */
  #isStale(attemptId: string): boolean {
    if (this.#options.acceptsEveryAttempt === true) return false;
    return this.#attemptEnded || attemptId !== this.#currentAttemptId;
  }

  #markStarted(): void {
    this.#currentAttemptStarted = true;
    this.#anyAttemptStarted = true;
  }

  #receiveStarted(): FrameEffect {
    if (this.#currentAttemptStarted) return "dropped";
    this.#markStarted();
    return "taken";
  }

  #receiveToken(frame: TokenFrame): FrameEffect {
    this.#markStarted();
    const nextIndex = this.#delivered.length;
    if (frame.index < nextIndex) return "dropped";
    if (frame.index > nextIndex) return this.#bufferToken(frame);
    this.#deliver(frame.text);
    if (this.#buffered !== undefined) this.#deliverBuffered(this.#buffered);
    return this.#endFrame === undefined
      ? "taken"
      : this.#checkEnd(this.#endFrame);
  }

  #deliver(text: string): void {
    const index = this.#delivered.push(text) - 1;
    this.#options.onToken(text, index);
  }

  #deliverBuffered(buffered: Map<number, string>): void {
    for (;;) {
      const index = this.#delivered.length;
      const text = buffered.get(index);
      if (text === undefined) return;
      buffered.delete(index);
      this.#deliver(text);
    }
  }

  #bufferToken(frame: TokenFrame): FrameEffect {
    this.#buffered ??= new Map();
    if (this.#buffered.has(frame.index)) return "dropped";
    if (this.#buffered.size >= MAX_BUFFERED_FRAMES) return this.#markBroken();
    this.#buffered.set(frame.index, frame.text);
    return "held";
  }

  #receiveEnd(frame: EndFrame): FrameEffect {
    this.#markStarted();
    if (this.#endFrame !== undefined) return "dropped";
    this.#endFrame = frame;
    return this.#checkEnd(frame);
  }

  #checkEnd(frame: EndFrame): FrameEffect {
    const deliveredCount = this.#delivered.length;
    if (deliveredCount > frame.tokens) return this.#markBroken();
    if (deliveredCount < frame.tokens) return "held";
    this.#complete = { kind: "generation", frame };
    return "complete";
  }

  #receiveResponse(frame: ResponseFrame): FrameEffect {
    this.#markStarted();
    if (this.#delivered.length > 0) return this.#markBroken();
    this.#complete = { kind: "service", frame };
    return "complete";
  }

  /** "Not run" after a start of the same attempt would be false. */
  #receiveNotRun(): FrameEffect {
    if (this.#currentAttemptStarted) return this.#markBroken();
    this.#attemptEnded = true;
    return "not_run";
  }

  #markBroken(): FrameEffect {
    this.#attemptEnded = true;
    return "broken";
  }
}
