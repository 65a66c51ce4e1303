import type { Result } from "neverthrow";
import type {
  EndpointFailure,
  EndpointLink,
  GenerationCall,
} from "../core/links/mod.ts";
import { beforeDeadline } from "../core/time/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  CacheHandover,
  EndpointLoad,
  FailedFrame,
} from "../generated/messages.ts";

/**
 * How an attempt ended at its endpoint. `turned_down`: the endpoint did not
 * start it.
 */
export type AttemptEnd = "answered" | "turned_down" | FailedFrame["reason"];

export interface AttemptRunOptions {
  readonly timer: TimerService;
  readonly endpoint: EndpointLink;
  /** Gives a frame to the entry. */
  readonly emit: (frame: AttemptFrame) => void;
  /** Load that goes along with the last frame. */
  readonly load: () => EndpointLoad;
  /** Timer time after which the answer is of no use, milliseconds. */
  readonly deadline: number;
  /** Longest silence of the endpoint before the first token, milliseconds. */
  readonly firstTokenSilenceMilliseconds: number;
  /** Longest silence between two tokens, milliseconds. */
  readonly tokenSilenceMilliseconds: number;
  /** A token came; for what the side learns about the endpoint's pace. */
  readonly onToken?: () => void;
}

/** A planned move does not wait longer than this for the engine's cache. */
const EXPORT_MILLISECONDS = 1_000;
const NO_EXPORT = Promise.resolve(undefined);

/**
 * One generation that the endpoint is working on. It ends exactly once, with
 * an end frame or a failed frame, whatever the endpoint does.
 *
 * Guard against an endpoint that falls silent with its connection open: the
 * caller would hear nothing until its deadline. The silence timers turn that
 * into a failed attempt while there is time to resume it elsewhere.
 */
export class GenerationRun {
  readonly attempt: AttemptRequest;
  readonly #options: AttemptRunOptions;
  readonly #done: (end: AttemptEnd) => void;
  readonly #deadline: Subscription;
  readonly #call: GenerationCall;
  #silence: Subscription;
  #silenceLimit: number;
  #lastSign: number;
  #index: number;
  /** Tokens of this attempt; kept only where the cache may be handed over. */
  readonly #made: string[] = [];
  #ended = false;

  constructor(
    attempt: AttemptRequest,
    options: AttemptRunOptions & { done: (end: AttemptEnd) => void },
  ) {
    this.attempt = attempt;
    this.#options = options;
    this.#done = options.done;
    this.#index = attempt.deliveredTokens?.length ?? 0;
    const timeLeft = Math.max(0, options.deadline - options.timer.now());
    this.#deadline = options.timer.after(timeLeft, () => this.stop("deadline"));
    this.#silenceLimit = options.firstTokenSilenceMilliseconds;
    this.#lastSign = options.timer.now();
    this.#silence = this.#watchSilence(this.#silenceLimit);
    this.#call = options.endpoint.generate(
      attempt,
      (text) => this.#onToken(text),
    );
    void this.#call.finished.then((result) => this.#onFinished(result));
  }

  /** Ends the attempt early and cancels it at the engine. */
  stop(reason: FailedFrame["reason"], cache?: CacheHandover): void {
    if (this.#ended) return;
    this.#call.cancel();
    this.#end(reason, {
      kind: "failed",
      attemptId: this.attempt.attemptId,
      reason,
      ...(cache && { cache }),
    });
  }

  /**
   * Ends the attempt so that its entry resumes it elsewhere, with its cache
   * where taking that along is worth it. The engine goes on while the cache is
   * given out, so the caller hears no pause.
   */
  async move(): Promise<void> {
    if (this.#ended) return;
    this.stop("moved", await this.#exportCache());
  }

  async #exportCache(): Promise<CacheHandover | undefined> {
    const { endpoint, timer } = this.#options;
    const { fewestTokensToHandOver, promptTokens = 0 } = this.attempt;
    const tokens = promptTokens + this.#index;
    if (fewestTokensToHandOver === undefined) return undefined;
    if (tokens < fewestTokensToHandOver) return undefined;
    const made = [...this.attempt.deliveredTokens ?? [], ...this.#made];
    const exported = await beforeDeadline(
      endpoint.exportCache?.(this.attempt, made) ?? NO_EXPORT,
      { timer, milliseconds: EXPORT_MILLISECONDS },
    );
    if (exported === undefined || exported.isErr()) return undefined;
    const { endpoint: source } = this.attempt;
    return { source, tokens, reference: exported.value };
  }

  pause(): void {
    this.#silence.cancel();
    this.#call.pause();
  }

  resume(): void {
    if (this.#ended) return;
    this.#lastSign = this.#options.timer.now();
    this.#silence = this.#watchSilence(this.#silenceLimit);
    this.#call.resume();
  }

  /**
   * One alarm per stretch of silence instead of one per token: a token only
   * notes its time, and an alarm that finds a recent token is set again.
   */
  #watchSilence(milliseconds: number): Subscription {
    return this.#options.timer.after(milliseconds, () => {
      const silent = this.#options.timer.now() - this.#lastSign;
      if (silent >= this.#silenceLimit) this.stop("endpoint_error");
      else this.#silence = this.#watchSilence(this.#silenceLimit - silent);
    });
  }

  #onToken(text: string): void {
    if (this.#ended) return;
    this.#lastSign = this.#options.timer.now();
    this.#expectNextToken();
    if (this.attempt.fewestTokensToHandOver !== undefined) {
      this.#made.push(text);
    }
    this.#options.emit({
      kind: "token",
      attemptId: this.attempt.attemptId,
      index: this.#index++,
      text,
    });
    this.#options.onToken?.();
  }

  /** From the first token on, a shorter silence counts as a fault. */
  #expectNextToken(): void {
    const { tokenSilenceMilliseconds } = this.#options;
    if (this.#silenceLimit === tokenSilenceMilliseconds) return;
    this.#silenceLimit = tokenSilenceMilliseconds;
    this.#silence.cancel();
    this.#silence = this.#watchSilence(tokenSilenceMilliseconds);
  }

  #onFinished(result: Result<"stop" | "length", EndpointFailure>): void {
    if (this.#ended) return;
    if (result.isErr()) {
      const { end, frame } = failureEnd(this.attempt, {
        name: result.error.name,
        load: this.#options.load(),
      });
      return this.#end(end, frame);
    }
    this.#end("answered", {
      kind: "end",
      attemptId: this.attempt.attemptId,
      tokens: this.#index,
      reason: result.value,
      load: this.#options.load(),
    });
  }

  #end(end: AttemptEnd, frame: AttemptFrame): void {
    this.#ended = true;
    this.#silence.cancel();
    this.#deadline.cancel();
    this.#done(end);
    this.#options.emit(frame);
  }
}

/** What an endpoint's failure means for the attempt, and its last frame. */
export function failureEnd(
  attempt: AttemptRequest,
  failure: { name: EndpointFailure["name"]; load: EndpointLoad },
): { end: AttemptEnd; frame: AttemptFrame } {
  const { attemptId } = attempt;
  if (failure.name === "endpoint_refused") {
    const { load } = failure;
    return {
      end: "turned_down",
      frame: { kind: "not_run", attemptId, reason: "endpoint_down", load },
    };
  }
  const reason = FAILED_REASONS[failure.name];
  return { end: reason, frame: { kind: "failed", attemptId, reason } };
}

const FAILED_REASONS: Readonly<
  Record<
    Exclude<EndpointFailure["name"], "endpoint_refused">,
    FailedFrame["reason"]
  >
> = {
  endpoint_closed: "endpoint_closed",
  endpoint_unreachable: "endpoint_closed",
  endpoint_garbage: "endpoint_garbage",
  endpoint_error: "endpoint_error",
};
