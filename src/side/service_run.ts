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
import { endpointFailureOutcome } from "./generation_run.ts";
import type { ExecutionOutcome } from "./generation_run.ts";

export interface ServiceRunOptions {
  readonly timer: TimerService;
  readonly endpoint: EndpointLink;
  readonly emit: (frame: AttemptFrame) => void;
  readonly load: () => EndpointLoad;
  /** Timer time after which the answer is useless, milliseconds. */
  readonly deadline: number;
  /** Called once when the endpoint has finished the call. */
  readonly done: (
    end: ExecutionOutcome,
    answer: ServiceResponse | undefined,
  ) => void;
}

/**
 * One call of a plain service. A non-idempotent call is never cancelled at the
 * service: if the entry disconnects or the caller stops waiting, it keeps
 * running, and its answer is kept for a repeated call.
 */
export class ServiceRun {
  readonly #attempt: AttemptRequest;
  readonly #options: ServiceRunOptions;
  readonly #deadlineTimer: Subscription;
  #isDetached = false;

  constructor(attempt: AttemptRequest, options: ServiceRunOptions) {
    this.#attempt = attempt;
    this.#options = options;
    const timeLeft = Math.max(0, options.deadline - options.timer.now());
    this.#deadlineTimer = options.timer.after(
      timeLeft,
      () => this.#detach("deadline"),
    );
    options.timer.run(async () =>
      this.#onResult(await options.endpoint.call(attempt))
    );
  }

  /** Stops sending frames to the entry; the call continues. */
  detach(): void {
    this.#detach("moved");
  }

  #onResult(result: Result<ServiceResponse, EndpointFailure>): void {
    this.#deadlineTimer.cancel();
    const load = this.#options.load();
    if (result.isErr()) {
      const { name } = result.error;
      const { end, frame } = endpointFailureOutcome(this.#attempt, {
        name,
        load,
      });
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

  #detach(reason: FailedFrame["reason"]): void {
    this.#emit({ kind: "failed", attemptId: this.#attempt.attemptId, reason });
    this.#isDetached = true;
  }

  #emit(frame: AttemptFrame): void {
    if (!this.#isDetached) this.#options.emit(frame);
  }
}
