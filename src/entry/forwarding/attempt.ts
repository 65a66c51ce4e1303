import type { Result } from "neverthrow";
import {
  type AnswerEvidence,
  type ExpectedTime,
  type ForwardAttemptOptions,
  MISDIRECTED_STATUS,
  type Prompt,
  type PromptWork,
  queueFactor,
  type RegisteredEndpoint,
  type ResponseHead,
  type SentRequestHandle,
  type StreamPauses,
  SURVIVAL_MARGIN_MILLISECONDS,
  type WorkHandle,
} from "../../core/forwarding/mod.ts";
import type { SuspectDigest } from "../../core/identity/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { BodyEndJudge, type EndFacts } from "./body_end.ts";
import type { ForwardContext } from "./forward_context.ts";
import type {
  BodyEnd,
  BodyFraming,
  EndpointResponse,
  Exchange,
  ExchangeFailure,
  ReceivedBody,
} from "./network_interfaces.ts";
import type { AttemptOutcome } from "./fleet_outcomes.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import { measurePauses } from "./measure_pauses.ts";
import { WriterWatch } from "./writer_watch.ts";

/** Approximate size of a request's head, in bytes. */
export const REQUEST_HEAD_BYTES = 700;
/** Lowest status of a response that is not the result of the work. */
const FIRST_ERROR_STATUS = 400;

/** Maximum number and length of the ids of parts that are logged. */
const MAX_LOGGED_PARTS = 8;
const MAX_LOGGED_PART_LENGTH = 64;

/** What has arrived of a response body and how it ends, for the log. */
export type BodyFacts = Partial<
  EndFacts & ReceivedBody & { readonly framing: BodyFraming }
>;

export interface AttemptPlan {
  readonly endpoint: RegisteredEndpoint;
  readonly options: Omit<ForwardAttemptOptions, "endpoint">;
  readonly work: PromptWork;
  /** Predicted pause of the engine's streams, milliseconds. */
  readonly predictedPauseMilliseconds?: number;
  /** Present if the replica was chosen by its expected time. */
  readonly expected?: ExpectedTime;
  /** Time for which the response was delayed, to shorten pauses there. */
  readonly delayMilliseconds?: number;
}

/**
 * One send of a request to one endpoint. Records the open work at the endpoint
 * and the outcome of the send, each exactly once.
 */
export class ForwardAttempt {
  readonly endpoint: RegisteredEndpoint;
  readonly answer: Promise<Result<EndpointResponse, ExchangeFailure>>;
  readonly #dependencies: ForwardingDependencies;
  readonly #context: ForwardContext;
  readonly #plan: AttemptPlan;
  readonly #sentAt: number;
  /** Crashes attributed to what the request holds when it was sent. */
  readonly #knownCrashes: ReadonlyMap<SuspectDigest, number>;
  readonly #abort: () => void;
  readonly #work: WorkHandle;
  readonly #sentRequest: SentRequestHandle | undefined;
  readonly #outcome: AttemptOutcome;
  /** Measures the response of a decode engine whose pauses are bounded. */
  #pauses: StreamPauses | undefined;
  #framing: BodyFraming | undefined;
  /** Present once the body of a run is received. */
  #end: BodyEndJudge | undefined;
  #received: ReceivedBody | undefined;
  #closed = false;
  #hasHead = false;
  /** When the first byte of the body arrived. */
  #beganAt: number | undefined;
  /** When the progress of the response was last recorded. */
  #progressAt = -Infinity;
  #survival: Subscription | undefined;

  constructor(context: ForwardContext, plan: AttemptPlan) {
    const { dependencies, request } = context;
    const { endpoint } = plan;
    this.#dependencies = dependencies;
    this.#context = context;
    this.#plan = plan;
    this.#sentAt = dependencies.timer.now();
    this.#knownCrashes = context.knownCrashes();
    this.endpoint = endpoint;
    this.#work = dependencies.load.started(endpoint.id, plan.work);
    this.#sentRequest = plan.expected &&
      dependencies.sentRequests.started(endpoint.id);
    dependencies.availability.started(endpoint.id);
    this.#outcome = dependencies.outcomes.started(endpoint, {
      route: context.route.name,
      isPrefill: plan.options.prefillOnly === true,
    });
    dependencies.link.recordSent(request.body.length + REQUEST_HEAD_BYTES);
    const exchange = this.#send();
    this.#abort = () => exchange.abort();
    this.answer = exchange.answer.then((result) => {
      this.#reportRejection(result, exchange.evidence);
      this.#onHead(result);
      return result.map((response) =>
        this.#measurePauses(this.#judgeEnd(this.#guardRead(response)))
      );
    });
  }

  /** How the body has ended, or where it is now. */
  get bodyFacts(): BodyFacts {
    return {
      framing: this.#framing,
      ...this.#end?.facts,
      ...this.#received,
    };
  }

  /** Records the outcome once the response body has ended. */
  onEnd(end: BodyEnd, status: number): void {
    if (this.#closed) return;
    const { availability } = this.#dependencies;
    this.#pauses?.end({ whole: end === "whole" });
    // A body that the entry ended says nothing on its endpoint's process.
    const isLost = end !== "whole" && this.#received?.exceeded === undefined;
    if (isLost) this.#recordLoss();
    else if (end === "whole" && status < 500) this.#recordCompletion();
    if (this.#isSameRun) {
      if (end === "whole" && status < 500) {
        availability.recordSuccess(this.endpoint.id);
      } else availability.failed(this.endpoint.id);
      const hasCompleted = end === "whole" && status < 500;
      const lostOrFailed = end === "whole" ? "failed" : "lost";
      this.#outcome.end(hasCompleted ? "completed" : lostOrFailed);
    }
    this.#close();
  }

  /**
   * Aborts the send for the caller or the system; the endpoint cancels its
   * work.
   */
  abort(): void {
    if (this.#closed) return;
    if (this.#isSameRun) {
      this.#dependencies.availability.recordAbandoned(this.endpoint.id);
      this.#recordAbandonedService();
    }
    this.#close();
    this.#abort();
  }

  /**
   * False once the endpoint has restarted under the same id. Connections to its
   * previous run break at that point, and counting those failures would exclude
   * the new run.
   */
  get #isSameRun(): boolean {
    return this.#dependencies.registry.isSameRun(this.endpoint);
  }

  #onHead(result: Result<EndpointResponse, ExchangeFailure>): void {
    if (this.#closed) return;
    this.#hasHead = result.isOk();
    this.#recordCrashSignals(result);
    if (result.isOk() && result.value.head.leaving) this.#reportLeaving();
    if (this.#isSameRun) {
      this.#recordOutcome(result);
      if (result.isOk()) {
        this.#recordLimit(result.value.head);
        this.#recordLoad(result.value.head);
        this.#recordServiceTime(result.value.head);
      }
    }
    if (result.isErr() || result.value.head.notExecuted) this.#close();
  }

  /** Sends the request; a throw ends the attempt, too. */
  #send(): Exchange {
    const { endpoint, options } = this.#plan;
    const { request, workspace } = this.#context;
    try {
      return this.#dependencies.endpointClient.send(request, {
        ...options,
        endpoint: endpoint.id,
        workspace: workspace?.id,
        address: endpoint.address,
        isRepeated: this.#context.recordSend(endpoint.address),
      });
    } catch (cause) {
      this.#close();
      throw cause;
    }
  }

  #guardRead(response: EndpointResponse): EndpointResponse {
    const { guard } = this.#context;
    return {
      ...response,
      read: (onChunk, onEnd) => response.read(guard(onChunk), guard(onEnd)),
    };
  }

  /** Reports what may make the entry send the request again or refuse it. */
  #reportRejection(
    result: Result<EndpointResponse, ExchangeFailure>,
    evidence: AnswerEvidence | undefined,
  ): void {
    const reason = rejectionReason(result);
    if (this.#closed || reason === undefined) return;
    this.#context.report("attempt_rejected", {
      reason,
      endpoint: this.endpoint.id,
      step: this.#plan.options.prefillOnly ? "prefill" : "run",
      ...(result.isErr() && { problem: result.error.message }),
      ...evidence,
    });
  }

  /** The handle in the response to a prefill shows whether it is whole. */
  #judgeEnd(response: EndpointResponse): EndpointResponse {
    this.#framing = response.framing;
    this.#received = response.received;
    const { options: { deadlineMilliseconds, lastEventId, prefillOnly } } =
      this.#plan;
    const context = this.#context;
    const isJudged = !this.#closed && !prefillOnly &&
      context.request.method !== "HEAD";
    if (!isJudged) return response;
    const judge = new BodyEndJudge({
      response: this.#observeProgress(response),
      isStreamRoute: context.route.repeat === "stream",
      isContinuation: lastEventId !== undefined,
      timer: this.#dependencies.timer,
      sentAt: this.#sentAt,
      allowedMilliseconds: deadlineMilliseconds,
      openWatch: () => this.#openWatch(),
      questionMilliseconds: () =>
        Math.max(0, context.remainingMilliseconds / 2),
      guard: context.guard,
    });
    this.#end = judge;
    return judge.response;
  }

  #openWatch(): WriterWatch {
    return new WriterWatch({
      dependencies: this.#dependencies,
      endpoint: this.endpoint,
      healthPath: this.#context.pool.healthPath,
    });
  }

  /** Records for how long an endpoint writes without a crash. */
  #observeProgress(response: EndpointResponse): EndpointResponse {
    return {
      ...response,
      read: (onChunk, onEnd) =>
        response.read((chunk) => {
          this.#recordProgress();
          onChunk(chunk);
        }, onEnd),
    };
  }

  #recordProgress(): void {
    // What is read of a discarded body proves nothing.
    if (this.#closed) return;
    const { crashes, timer } = this.#dependencies;
    const now = timer.now();
    if (this.#beganAt === undefined) {
      this.#beganAt = now;
      this.#progressAt = now;
      this.#survival = timer.after(
        SURVIVAL_MARGIN_MILLISECONDS,
        () => this.#recordProof(),
      );
    }
    const isDue = now - this.#progressAt >= SURVIVAL_MARGIN_MILLISECONDS;
    if (crashes.size === 0 || !isDue) return;
    this.#progressAt = now;
    crashes.recordProgress(this.#context.suspects, this.#beganAt);
  }

  /** Records that what the request holds has not crashed the endpoint. */
  #recordProof(): void {
    const { crashes } = this.#dependencies;
    const { partDigests, suspects } = this.#context;
    if (this.#beganAt === undefined) return;
    // The digest of a whole request is costly, and needed for suspects only.
    const digests = crashes.size === 0 ? partDigests : suspects;
    crashes.recordProof(digests, this.#beganAt);
  }

  /**
   * Measures the pauses of a response that decodes. From its first event on,
   * its prefill does not delay the other streams of the engine any more.
   */
  #measurePauses(response: EndpointResponse): EndpointResponse {
    const { prefillOnly } = this.#plan.options;
    const isMeasured = !this.#closed && !prefillOnly && this.#isSameRun &&
      response.head.status < 300 &&
      this.#context.pauseBound !== undefined;
    if (!isMeasured) return response;
    this.#pauses = this.#dependencies.pace.openStream(this.endpoint);
    return measurePauses(response, {
      pauses: this.#pauses,
      onBytes: () => this.#work.endPrefill(),
    });
  }

  #recordCrashSignals(result: Result<EndpointResponse, ExchangeFailure>): void {
    const { crashes } = this.#dependencies;
    if (result.isOk()) return crashes.answered(this.endpoint, this.#sentAt);
    const { name } = result.error;
    if (name === "exchange_lost") this.#recordLoss();
    if (name === "exchange_not_sent") {
      crashes.recordRefusedConnection(this.endpoint);
    }
  }

  /** Records that the endpoint broke the connection with the request open. */
  #recordLoss(): void {
    const { crashes, lostRunChecks, timer } = this.#dependencies;
    const { digest, suspects } = this.#context;
    const lasted = timer.now() - (this.#beganAt ?? timer.now());
    const [firstPart] = this.#context.partDigests;
    for (const each of suspects) {
      crashes.lost(this.endpoint, {
        digest: each,
        isFirstPart: each === firstPart,
        knownBefore: this.#knownCrashes.get(each) ?? 0,
        lasted,
        isConfirmed: false,
      });
    }
    this.#context.hasLostRun = true;
    lostRunChecks.check(this.endpoint);
    this.#context.report("endpoint_lost", {
      digest,
      crashes: Math.max(...suspects.map((each) => crashes.crashCount(each))),
      endpoint: this.endpoint.id,
      startedAt: this.endpoint.startedAt,
      step: this.#plan.options.prefillOnly ? "prefill" : "run",
      milliseconds: Math.round(timer.now() - this.#sentAt),
      writtenMilliseconds: Math.round(lasted),
      ...partFacts(this.#context.request.prompt),
    });
  }

  /**
   * A prefill alone does not run the request, so its completion does not clear
   * the request of suspicion.
   */
  #recordCompletion(): void {
    const { crashes, timer } = this.#dependencies;
    if (this.#plan.options.prefillOnly) return;
    this.#beganAt ??= timer.now();
    this.#recordProof();
    if (crashes.size === 0) return;
    crashes.recordCompletion(this.#context.suspects, this.#beganAt);
  }

  #recordOutcome(result: Result<EndpointResponse, ExchangeFailure>): void {
    const { availability } = this.#dependencies;
    const { id } = this.endpoint;
    if (result.isErr()) {
      this.#outcome.end("lost");
      if (result.error.name !== "exchange_not_sent") {
        return availability.failed(id);
      }
      return availability.recordRefusedConnection(id);
    }
    availability.recordResponse(id);
    const { notExecuted, retryAfterMilliseconds, status } = result.value.head;
    if (retryAfterMilliseconds !== undefined) {
      return this.#recordOverload(retryAfterMilliseconds);
    }
    if (!notExecuted) {
      if (status < 500) this.#outcome.recordResponse();
      return;
    }
    if (status === MISDIRECTED_STATUS) availability.recordMisdirected(id);
    else availability.recordRejection(id);
  }

  #recordLimit({ requestsPerSecondLimit }: ResponseHead): void {
    if (requestsPerSecondLimit === "unknown") return;
    const { limits, timer } = this.#dependencies;
    const change = limits.record(this.endpoint.id, {
      requestsPerSecond: requestsPerSecondLimit,
      sentAt: this.#sentAt,
      receivedAt: timer.now(),
    });
    if (change === undefined) return;
    this.#context.report("endpoint_limit_changed", {
      endpoint: this.endpoint.id,
      requestsPerSecond: change.after,
      before: change.before,
    });
  }

  #recordLoad({ load }: ResponseHead): void {
    if (load === undefined) return;
    const { loadReports, timer } = this.#dependencies;
    loadReports.record(this.endpoint, {
      ...load,
      sentAt: this.#sentAt,
      receivedAt: timer.now(),
    });
  }

  /**
   * Records how long the replica took, without the time that the request had to
   * wait for a slot. The smaller one of the two estimates of the queue is used,
   * so that an overestimate does not make the replica look fast.
   */
  #recordServiceTime({ load, status }: ResponseHead): void {
    const { expected } = this.#plan;
    if (expected === undefined) return;
    this.#sentRequest?.end();
    if (status >= FIRST_ERROR_STATUS) return;
    const { slots } = this.endpoint;
    const reported = load === undefined
      ? Infinity
      : load.running + load.waiting;
    const workAhead = Math.min(expected.workAhead, reported);
    const { serviceTimes, timer } = this.#dependencies;
    serviceTimes.record(this.endpoint, {
      milliseconds: (timer.now() - this.#sentAt) /
        queueFactor(workAhead, slots),
      workFactor: load?.workFactor ?? expected.workFactor,
    });
  }

  /** Records that the replica has not responded until now. */
  #recordAbandonedService(): void {
    const { expected } = this.#plan;
    if (expected === undefined || this.#hasHead) return;
    const { serviceTimes, timer } = this.#dependencies;
    serviceTimes.recordIncomplete(this.endpoint, {
      milliseconds: (timer.now() - this.#sentAt) /
        queueFactor(expected.workAhead, this.endpoint.slots),
      workFactor: expected.workFactor,
    });
  }

  #reportLeaving(): void {
    if (!this.#dependencies.reportLeaving(this.endpoint)) return;
    this.#context.report("endpoint_leaving", { endpoint: this.endpoint.id });
  }

  #recordOverload(milliseconds: number): void {
    this.#dependencies.availability.recordOverload(
      this.endpoint.id,
      milliseconds,
    );
    this.#context.report("endpoint_overloaded", {
      endpoint: this.endpoint.id,
      retryAfterMilliseconds: milliseconds,
    });
  }

  #close(): void {
    this.#closed = true;
    this.#end?.close();
    this.#outcome.end("inconclusive");
    if (this.#isSameRun) {
      this.#dependencies.availability.ended(this.endpoint.id);
    }
    this.#survival?.cancel();
    this.#pauses?.end({ whole: false });
    this.#sentRequest?.end();
    this.#work.end();
  }
}

/** Undefined if the answer is none that rejects the request. */
function rejectionReason(
  result: Result<EndpointResponse, ExchangeFailure>,
): string | undefined {
  if (result.isErr()) return result.error.name;
  return result.value.head.notExecuted ? "not_run" : undefined;
}

/** Parts of the prompt, for the log; requests of one failure may share one. */
function partFacts(prompt: Prompt | undefined): Record<string, unknown> {
  if (prompt === undefined) return {};
  const parts = prompt.parts.slice(0, MAX_LOGGED_PARTS)
    .map(({ id }) => id.slice(0, MAX_LOGGED_PART_LENGTH));
  return { parts };
}
