import type {
  AttemptFrame,
  EndFrame,
  ResponseFrame,
  TokenFrame,
} from "../../generated/messages.ts";

/** The whole answer is there. */
export type CompletedAnswer =
  | { readonly kind: "generation"; readonly frame: EndFrame }
  | { readonly kind: "service"; readonly frame: ResponseFrame };

/**
 * What a frame did. `taken`: it counted. `dropped`: it belongs to an older
 * attempt or repeats another. `held`: it came ahead of its turn and waits.
 * `complete`: the answer is whole now. `not_run` and `failed`: the attempt is
 * over. `broken`: the attempt contradicts itself and has to be given up.
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
  /** Takes each token of the answer once, in order. */
  readonly onToken: (text: string, index: number) => void;
  /** Takes the frames of every attempt; only a test passes it. */
  readonly acceptsEveryAttempt?: boolean;
}

/**
 * Load: frames that crossed on the way. Harm prevented: an attempt that has
 * lost one frame and sends on would fill memory while nothing is delivered.
 * Limit: 64 frames are two seconds at 26 ms between tokens; a hole that old
 * is a lost frame, and resuming elsewhere is quicker than waiting.
 */
const MAX_BUFFERED_FRAMES = 64;

/**
 * Puts the answer to one request together. An answer is whole only when an
 * end frame of the current attempt says how many tokens it has and all of
 * them were delivered; a connection that merely closes proves nothing, or a
 * shorter answer would look whole.
 */
export class AnswerAssembler {
  readonly #options: AnswerAssemblerOptions;
  /** Texts in order; kept, since a resume on another replica needs them. */
  readonly #delivered: string[] = [];
  /** Tokens that came ahead of their turn; made only when one does. */
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

  /** Starts a new attempt; frames of every earlier one are dropped from now. */
  begin(attemptId: string): void {
    this.#currentAttemptId = attemptId;
    this.#buffered = undefined;
    this.#endFrame = undefined;
    this.#currentAttemptStarted = false;
    this.#attemptEnded = false;
  }

  /** The whole answer's end; undefined while it is not whole. */
  get complete(): CompletedAnswer | undefined {
    return this.#complete;
  }

  /** True where the current attempt has shown that its endpoint started. */
  get started(): boolean {
    return this.#currentAttemptStarted;
  }

  /** True where any attempt of this request may have run. */
  get anyAttemptStarted(): boolean {
    return this.#anyAttemptStarted;
  }

  /** Tokens that the caller has, for an attempt that goes on behind them. */
  get deliveredTokens(): readonly string[] {
    return this.#delivered;
  }

  /** True where the attempt left a hole: frames came that can't be delivered. */
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
   * Frames of an attempt that was given up still arrive: its side may be cut
   * off from the cancellation. Without this check they mix with the resumed
   * attempt's, seen as words twice or an end that comes too early.
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

  /** "Not run" behind a start of the same attempt would be a lie. */
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
