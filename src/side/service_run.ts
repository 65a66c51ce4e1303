import type { Result } from "neverthrow";
import type {
  EndpointFailure,
  EndpointLink,
  ServiceResponse,
} from "../core/links/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  EndpointLoad,
  FailedFrame,
} from "../generated/messages.ts";
import { failureEnd } from "./attempt_run.ts";
import type { AttemptEnd } from "./attempt_run.ts";

export interface ServiceRunOptions {
  readonly timer: TimerService;
  readonly endpoint: EndpointLink;
  readonly emit: (frame: AttemptFrame) => void;
  readonly load: () => EndpointLoad;
  /** Timer time after which the answer is of no use, milliseconds. */
  readonly deadline: number;
  /** Called once when the endpoint is through with the call. */
  readonly done: (
    end: AttemptEnd,
    answer: ServiceResponse | undefined,
  ) => void;
}

/**
 * One call of a plain service. A call that may have its effect once only is
 * never cancelled at the service: an entry that goes away, or a caller that
 * no longer waits, leaves it running, and its answer is kept for a repeat.
 */
export class ServiceRun {
  readonly #attempt: AttemptRequest;
  readonly #options: ServiceRunOptions;
  readonly #deadline: Subscription;
  #silent = false;

  constructor(attempt: AttemptRequest, options: ServiceRunOptions) {
    this.#attempt = attempt;
    this.#options = options;
    const timeLeft = Math.max(0, options.deadline - options.timer.now());
    this.#deadline = options.timer.after(
      timeLeft,
      () => this.#leaveAlone("deadline"),
    );
    void options.endpoint.call(attempt).then((result) =>
      this.#onResult(result)
    );
  }

  /** The entry no longer listens; the call goes on. */
  abandon(): void {
    this.#leaveAlone("moved");
  }

  #onResult(result: Result<ServiceResponse, EndpointFailure>): void {
    this.#deadline.cancel();
    const load = this.#options.load();
    if (result.isErr()) {
      const { name } = result.error;
      const { end, frame } = failureEnd(this.#attempt, { name, load });
      this.#options.done(end, undefined);
      return this.#emit(frame);
    }
    this.#options.done("answered", result.value);
    this.#emit({
      kind: "response",
      attemptId: this.#attempt.attemptId,
      ...result.value,
      load,
    });
  }

  #leaveAlone(reason: FailedFrame["reason"]): void {
    this.#emit({ kind: "failed", attemptId: this.#attempt.attemptId, reason });
    this.#silent = true;
  }

  #emit(frame: AttemptFrame): void {
    if (!this.#silent) this.#options.emit(frame);
  }
}
