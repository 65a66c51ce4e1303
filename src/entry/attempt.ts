import type { Result } from "neverthrow";
import type { AnswerAssembler, FrameEffect } from "../core/attempts/mod.ts";
import type { EndpointId } from "../core/identity/mod.ts";
import type { AttemptCall, LinkFailure } from "../core/links/mod.ts";
import type { AttemptSummary, Placement } from "../core/scheduling/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  CacheHandover,
  FailedFrame,
  NotRunFrame,
} from "../generated/messages.ts";
import type { RunContext } from "./run_context.ts";

/**
 * How one attempt ended. `not_run`: it has certainly not started. `failed`: it
 * may have run, partly or completely.
 */
export type AttemptOutcome =
  | { readonly kind: "complete" }
  | {
    readonly kind: "not_run";
    readonly reason: NotRunFrame["reason"] | "not_sent";
  }
  | {
    readonly kind: "failed";
    readonly reason: FailedFrame["reason"] | "link_lost" | "broken";
    /**
     * Cache that the engine exported, for the engine that resumes the
     * generation.
     */
    readonly cache?: CacheHandover;
  };

export interface AttemptOptions {
  readonly context: RunContext;
  readonly request: AttemptRequest;
  readonly placement: Placement;
  readonly assembler: AnswerAssembler;
}

/**
 * One attempt of a request at one side, from sending it to the frame that ends
 * it. The placement's slot is released however the attempt ends.
 */
export class Attempt {
  readonly ended: Promise<AttemptOutcome>;
  readonly endpoint: EndpointId;
  readonly #options: AttemptOptions;
  readonly #call: AttemptCall | undefined;
  readonly #sentAt: number;
  readonly #untrackAttempt: () => void;
  #resolveEnded!: (end: AttemptOutcome) => void;
  #firstTokenAt: number | undefined;
  #tokens = 0;
  #isEnded = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.endpoint = options.placement.endpoint;
    this.#sentAt = options.context.timer.now();
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
    options.assembler.beginAttempt(options.request.attemptId);
    this.#untrackAttempt = options.context.directory.trackAttempt(
      this.endpoint,
    );
    this.#call = this.#send();
  }

  /**
   * Cancels the attempt at the side, because the caller has disconnected or the
   * deadline has passed.
   */
  cancel(): void {
    if (this.#isEnded) return;
    this.#call?.cancel();
    this.#end({ kind: "failed", reason: "cancelled" }, "cancelled");
  }

  /** Ends the attempt as lost, because its side is suspected. */
  markLost(): void {
    if (this.#isEnded) return;
    this.#call?.cancel();
    this.#end({ kind: "failed", reason: "link_lost" }, "failed");
  }

  pause(): void {
    this.#call?.pause();
  }

  resume(): void {
    this.#call?.resume();
  }

  #send(): AttemptCall | undefined {
    const { context, request } = this.#options;
    const side = context.directory.addressOf(this.endpoint);
    if (side === undefined) {
      this.#end({ kind: "not_run", reason: "not_sent" }, "not_run");
      return undefined;
    }
    const call = context.sideLink.run(
      side,
      request,
      (frame) => this.#onFrame(frame),
    );
    context.timer.run(() =>
      call.closed.then((result) => this.#onClosed(result))
    );
    return call;
  }

  #onFrame(frame: AttemptFrame): void {
    if (this.#isEnded) return;
    this.#options.context.directory.recordFrame(
      this.endpoint,
      "load" in frame ? frame.load : undefined,
    );
    if (frame.kind === "token") this.#countToken();
    this.#onEffect(this.#options.assembler.receive(frame), frame);
  }

  #countToken(): void {
    this.#firstTokenAt ??= this.#options.context.timer.now();
    this.#tokens += 1;
  }

  #onEffect(effect: FrameEffect, frame: AttemptFrame): void {
    if (effect === "complete") {
      this.#end({ kind: "complete" }, "answered");
    } else if (effect === "not_run" && frame.kind === "not_run") {
      this.#end({ kind: "not_run", reason: frame.reason }, "not_run");
    } else if (effect === "failed" && frame.kind === "failed") {
      const { reason, cache } = frame;
      this.#end({ kind: "failed", reason, cache }, "failed");
    } else if (effect === "broken") {
      this.#call?.cancel();
      this.#end({ kind: "failed", reason: "broken" }, "failed");
    }
  }

  /**
   * The stream has closed without a final frame. Only a message that was never
   * sent has certainly not run.
   */
  #onClosed(result: Result<void, LinkFailure>): void {
    if (this.#isEnded) return;
    this.#options.context.directory.onMessageLost(this.endpoint);
    const notSent = result.isErr() && result.error.name === "link_not_sent";
    if (notSent && !this.#options.assembler.attemptStarted) {
      this.#end({ kind: "not_run", reason: "not_sent" }, "not_run");
    } else {
      this.#end({ kind: "failed", reason: "link_lost" }, "failed");
    }
  }

  #end(end: AttemptOutcome, result: AttemptSummary["result"]): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#untrackAttempt();
    const now = this.#options.context.timer.now();
    this.#options.placement.release({
      result,
      tokens: this.#tokens,
      firstTokenMilliseconds: this.#firstTokenAt === undefined
        ? undefined
        : this.#firstTokenAt - this.#sentAt,
      totalMilliseconds: now - this.#sentAt,
    });
    this.#resolveEnded(end);
  }
}
