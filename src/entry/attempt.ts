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
 * How one attempt ended. `not_run`: certainly nothing was started.
 * `failed`: it may have run, in part or whole.
 */
export type AttemptEnd =
  | { readonly kind: "complete" }
  | {
    readonly kind: "not_run";
    readonly reason: NotRunFrame["reason"] | "not_sent";
  }
  | {
    readonly kind: "failed";
    readonly reason: FailedFrame["reason"] | "link_lost" | "broken";
    /** What the engine made so far, for the one that goes on. */
    readonly cache?: CacheHandover;
  };

export interface AttemptOptions {
  readonly context: RunContext;
  readonly request: AttemptRequest;
  readonly placement: Placement;
  readonly assembler: AnswerAssembler;
}

/**
 * One try of a request at one side, from sending to the frame that ends it.
 * The placement's slot is given back when it ends, whatever the way.
 */
export class Attempt {
  readonly ended: Promise<AttemptEnd>;
  readonly endpoint: EndpointId;
  readonly #options: AttemptOptions;
  readonly #call: AttemptCall | undefined;
  readonly #sentAt: number;
  readonly #attemptEnds: () => void;
  #settle!: (end: AttemptEnd) => void;
  #firstTokenAt: number | undefined;
  #tokens = 0;
  #over = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.endpoint = options.placement.endpoint;
    this.#sentAt = options.context.timer.now();
    this.ended = new Promise((resolve) => this.#settle = resolve);
    options.assembler.begin(options.request.attemptId);
    this.#attemptEnds = options.context.directory.attemptBegins(this.endpoint);
    this.#call = this.#send();
  }

  /** The caller has gone or time is up; the side cancels the work. */
  cancel(): void {
    if (this.#over) return;
    this.#call?.cancel();
    this.#end({ kind: "failed", reason: "cancelled" }, "cancelled");
  }

  /** The side can't be heard any more; the attempt counts as lost. */
  giveUp(): void {
    if (this.#over) return;
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
    const call = context.sides.run(
      side,
      request,
      (frame) => this.#onFrame(frame),
    );
    void call.closed.then((result) => this.#onClosed(result));
    return call;
  }

  #onFrame(frame: AttemptFrame): void {
    if (this.#over) return;
    this.#options.context.directory.signOfLife(
      this.endpoint,
      "load" in frame ? frame.load : undefined,
    );
    if (frame.kind === "token") this.#noteToken();
    this.#onEffect(this.#options.assembler.receive(frame), frame);
  }

  #noteToken(): void {
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
   * The stream has ended without a last frame. Only a message that was never
   * sent is certain not to have run.
   */
  #onClosed(result: Result<void, LinkFailure>): void {
    if (this.#over) return;
    this.#options.context.directory.messageLost(this.endpoint);
    const notSent = result.isErr() && result.error.name === "link_not_sent";
    if (notSent && !this.#options.assembler.started) {
      this.#end({ kind: "not_run", reason: "not_sent" }, "not_run");
    } else {
      this.#end({ kind: "failed", reason: "link_lost" }, "failed");
    }
  }

  #end(end: AttemptEnd, result: AttemptSummary["result"]): void {
    if (this.#over) return;
    this.#over = true;
    this.#attemptEnds();
    const now = this.#options.context.timer.now();
    this.#options.placement.release({
      result,
      tokens: this.#tokens,
      firstTokenMilliseconds: this.#firstTokenAt === undefined
        ? undefined
        : this.#firstTokenAt - this.#sentAt,
      totalMilliseconds: now - this.#sentAt,
    });
    this.#settle(end);
  }
}
