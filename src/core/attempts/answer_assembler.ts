import type {
  AttemptFrame,
  EndFrame,
  ResponseFrame,
  TokenFrame,
} from "../../generated/messages.ts";

/** The whole answer is there. */
export type AssembledEnd =
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
const MOST_HELD_FRAMES = 64;

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
  #held: Map<number, string> | undefined;
  #attempt = "";
  #end: EndFrame | undefined;
  #complete: AssembledEnd | undefined;
  #startedAttempt = false;
  #startedEver = false;
  #over = false;

  constructor(options: AnswerAssemblerOptions) {
    this.#options = options;
  }

  /** Starts a new attempt; frames of every earlier one are dropped from now. */
  begin(attemptId: string): void {
    this.#attempt = attemptId;
    this.#held = undefined;
    this.#end = undefined;
    this.#startedAttempt = false;
    this.#over = false;
  }

  /** The whole answer's end; undefined while it is not whole. */
  get complete(): AssembledEnd | undefined {
    return this.#complete;
  }

  /** True where the current attempt has shown that its endpoint started. */
  get started(): boolean {
    return this.#startedAttempt;
  }

  /** True where any attempt of this request may have run. */
  get startedEver(): boolean {
    return this.#startedEver;
  }

  /** Tokens that the caller has, for an attempt that goes on behind them. */
  get deliveredTokens(): readonly string[] {
    return this.#delivered;
  }

  /** True where the attempt left a hole: frames came that can't be delivered. */
  get hasGap(): boolean {
    return (this.#held !== undefined && this.#held.size > 0) ||
      (this.#end !== undefined && this.#complete === undefined);
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
        this.#start();
        this.#over = true;
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
    return this.#over || attemptId !== this.#attempt;
  }

  #start(): void {
    this.#startedAttempt = true;
    this.#startedEver = true;
  }

  #receiveStarted(): FrameEffect {
    if (this.#startedAttempt) return "dropped";
    this.#start();
    return "taken";
  }

  #receiveToken(frame: TokenFrame): FrameEffect {
    this.#start();
    const next = this.#delivered.length;
    if (frame.index < next) return "dropped";
    if (frame.index > next) return this.#hold(frame);
    this.#deliver(frame.text);
    if (this.#held !== undefined) this.#deliverHeld(this.#held);
    return this.#end === undefined ? "taken" : this.#checkEnd(this.#end);
  }

  #deliver(text: string): void {
    const index = this.#delivered.push(text) - 1;
    this.#options.onToken(text, index);
  }

  #deliverHeld(held: Map<number, string>): void {
    for (;;) {
      const index = this.#delivered.length;
      const text = held.get(index);
      if (text === undefined) return;
      held.delete(index);
      this.#deliver(text);
    }
  }

  #hold(frame: TokenFrame): FrameEffect {
    this.#held ??= new Map();
    if (this.#held.has(frame.index)) return "dropped";
    if (this.#held.size >= MOST_HELD_FRAMES) return this.#break();
    this.#held.set(frame.index, frame.text);
    return "held";
  }

  #receiveEnd(frame: EndFrame): FrameEffect {
    this.#start();
    if (this.#end !== undefined) return "dropped";
    this.#end = frame;
    return this.#checkEnd(frame);
  }

  #checkEnd(frame: EndFrame): FrameEffect {
    const count = this.#delivered.length;
    if (count > frame.tokens) return this.#break();
    if (count < frame.tokens) return "held";
    this.#complete = { kind: "generation", frame };
    return "complete";
  }

  #receiveResponse(frame: ResponseFrame): FrameEffect {
    this.#start();
    if (this.#delivered.length > 0) return this.#break();
    this.#complete = { kind: "service", frame };
    return "complete";
  }

  /** "Not run" behind a start of the same attempt would be a lie. */
  #receiveNotRun(): FrameEffect {
    if (this.#startedAttempt) return this.#break();
    this.#over = true;
    return "not_run";
  }

  #break(): FrameEffect {
    this.#over = true;
    return "broken";
  }
}
