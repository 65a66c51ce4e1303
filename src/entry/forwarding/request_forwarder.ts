import {
  type ExpectedTime,
  isResumable,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type { LogFields } from "../../core/observation/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { observePace } from "./response_pace.ts";
import { isSuccess } from "./event_stream.ts";
import { discardBody } from "./read_body.ts";
import { type PassedEvents, ResponseRelay } from "./response_relay.ts";
import { type AttemptPlan, type BodyFacts, ForwardAttempt } from "./attempt.ts";
import {
  ForwardContext,
  type ForwardTask,
  type Guard,
} from "./forward_context.ts";
import { EnginePlanner } from "./engine_planner.ts";
import { Handover, KEY_REMOVED, STOPPING } from "./handover.ts";
import type {
  CallerSink,
  EndpointResponse,
  ForwardingRefusal,
} from "./network_interfaces.ts";
import type {
  ForwardingDependencies,
  OpenForward,
} from "./forwarding_dependencies.ts";
import { type AdmissionFacts, nextReturn } from "./prompt_admission.ts";
import { ServicePlanner } from "./service_planner.ts";
import { type EndpointMatch, isOverloaded } from "./wait_for_choice.ts";

/** Retry delay for a caller that is refused for lack of capacity. */
export const RETRY_AFTER_MILLISECONDS = 250;
/**
 * Retry delay if only this entry is full: the caller reaches another one, which
 * can still respond on time.
 */
const OTHER_ENTRY_RETRY_AFTER_MILLISECONDS = 20;
const OTHER_ENTRY_RETRY_SPREAD_MILLISECONDS = 30;
/**
 * Jitter of the retry delay, so that a refused burst is not retried at the same
 * time.
 */
const RETRY_AFTER_SPREAD_MILLISECONDS = 250;
/**
 * Longest retry delay for a caller that is refused because of endpoints'
 * request limits, which may end at any time.
 */
const MAX_LIMIT_RETRY_AFTER_MILLISECONDS = 3_000;

/** Longest text of a caller that is logged. */
const MAX_LOGGED_LENGTH = 64;

/** Endpoints have crashed on the request or on a part of its prompt. */
const BLOCKED = "crashes_endpoints";
/** What the request holds may have crashed endpoints and is tried by another. */
const SUSPECTED = "crash_suspected";
/** Retry delay of a suspect, in which its trial ends. */
const SUSPECTED_RETRY_AFTER_MILLISECONDS = 500;
/** Time in which a crash is confirmed and becomes known to all entries. */
const LOSS_KNOWN_MILLISECONDS = 100;

/** No replica of the software version that began the stream is left. */
const VERSION_GONE = "stream_version_gone";
/**
 * Neither the store nor a peer is in reach: the replicas may be other processes
 * than those that are registered here.
 */
const REPLICAS_UNCONFIRMED = "stream_replicas_unconfirmed";
/** No version that may begin the stream is listed in the store yet. */
const VERSION_UNLISTED = "stream_version_unlisted";
/** Retry delay if replicas of that version may come back. */
const VERSION_RETURN_MILLISECONDS = 1_000;

/** Retry delay of a caller that reaches another entry than the stopping one. */
const STOPPING_RETRY_AFTER_MILLISECONDS = 50;
const STOPPING_RETRY_SPREAD_MILLISECONDS = 100;

/** Refusals whose retry time comes from the calendar of the pool. */
const WAITS_FOR_ENGINES: ReadonlySet<string> = new Set([
  "above_share",
  "displaced",
  "engines_full",
  "more_urgent",
]);

/** The caller has given up, or does before it can get a first byte. */
const OVERDUE = "overdue";

/** Reason of a request whose handling has thrown. */
const FAULT = "internal_error";

/** Next step after an attempt. */
type NextStep =
  | "delivered"
  | "again"
  | "refuse"
  | "blocked"
  | "stopping"
  | "overdue"
  | "key_removed"
  | "stream_replicas_unconfirmed"
  | "unknown";

/** Forwards one request, from its arrival to the end of its response. */
export class RequestForwarder implements OpenForward {
  readonly #context: ForwardContext;
  readonly #sink: CallerSink;
  readonly #handover: Handover;
  readonly #enginePlanner: EnginePlanner;
  readonly #servicePlanner: ServicePlanner;
  readonly #relay: ResponseRelay;
  readonly #deadline: Subscription;
  #attempt: ForwardAttempt | undefined;
  /** Number of sends that may have started to run. */
  #runs = 0;
  /** True while a send is outstanding that may be running. */
  #mayBeRunning = false;
  /** True from a send to an endpoint that may run it to the end of its answer. */
  #isSending = false;
  /** Time of the last send; 0 before the first one. */
  #sentAt = 0;
  #firstByteAt: number | undefined;
  /** Measured and expected time of the last attempt at a replica. */
  #service:
    | { readonly milliseconds: number; readonly expected: ExpectedTime }
    | undefined;

  constructor(
    dependencies: ForwardingDependencies,
    options: { readonly task: ForwardTask; readonly sink: CallerSink },
  ) {
    const { task, sink } = options;
    const { repeat } = task.route;
    const guard: Guard = (callback) => (...values) => {
      try {
        callback(...values);
      } catch (cause) {
        this.#onFault(cause);
      }
    };
    this.#context = new ForwardContext(dependencies, { ...task, guard });
    this.#sink = sink;
    this.#handover = new Handover(
      this.#context,
      (attempt) => this.#attempt = attempt,
    );
    this.#relay = new ResponseRelay({
      sink,
      wholeEventsOnly: isResumable(task.route),
      verifiesOrder: repeat === "stream",
      lastEventId: task.request.lastEventId,
      buffers: dependencies.responseBuffers,
      numbering: dependencies.eventNumbering,
      onBytes: (count) => dependencies.link.recordSent(count),
    });
    this.#enginePlanner = new EnginePlanner(this.#context, {
      handover: this.#handover,
      lastEventId: () => this.#relay.lastEventId,
      onRefused: (reason, facts) => this.#refuse(reason, facts),
    });
    this.#servicePlanner = new ServicePlanner(
      this.#context,
      () => this.#relay.lastEventId,
    );
    this.#deadline = dependencies.timer.after(
      this.#context.remainingMilliseconds,
      guard(() => this.#onDeadline()),
    );
    sink.onDisconnect(guard(() => this.#onDisconnect()));
    dependencies.openForwards.add(this);
  }

  /** Settles when the request has ended; never throws. */
  async run(): Promise<void> {
    try {
      await this.#forward();
    } catch (cause) {
      this.#onFault(cause);
    }
  }

  get stopFacts(): LogFields | undefined {
    if (!this.#isSending && this.#runs === 0) return undefined;
    const { arrived, dependencies, request, route, sends } = this.#context;
    const sinceStop = (moment: number) => {
      const milliseconds = dependencies.plannedStop.sinceRequest(moment);
      return milliseconds && Math.round(milliseconds);
    };
    return {
      requestId: request.id,
      route: route.name,
      repeat: route.repeat,
      sends,
      endpoint: this.#attempt?.endpoint.id,
      arrivedSinceStopMilliseconds: sinceStop(arrived),
      sentSinceStopMilliseconds: sinceStop(this.#sentAt),
    };
  }

  refuseIfTooLate(): void {
    const mayEnd = this.#isSending || this.#context.maySend("run");
    if (!mayEnd) this.#endUnsent();
  }

  endAtStop(): void {
    if (!this.#isSending) return this.#endUnsent();
    this.#refuseAsUnknown();
    this.#attempt?.abort();
  }

  /** Refuses a request that waits; ends the prefill that it may wait for. */
  #endUnsent(): void {
    if (this.#context.settled) return;
    this.#refuse(STOPPING);
    this.#attempt?.abort();
  }

  async #forward(): Promise<void> {
    const { dependencies, pool } = this.#context;
    dependencies.retryBudget.recordRequest(pool.name);
    for (;;) {
      const admission = await this.#context.admit();
      if (this.#context.settled) return;
      if (admission === "blocked") return this.#refuse(BLOCKED);
      if (admission === "suspected") return this.#refuse(SUSPECTED);
      if (this.#context.isWriterGone) return this.#refuse(VERSION_GONE);
      if (this.#context.writer.isUnconfirmed) {
        return this.#refuse(REPLICAS_UNCONFIRMED);
      }
      if (this.#context.isVersionUnlisted) {
        return this.#refuse(VERSION_UNLISTED);
      }
      if (!this.#context.maySend("run")) return this.#refuse(STOPPING);
      if (this.#isOverdue) return this.#refuse(OVERDUE);
      const plan = await this.#plan();
      if (this.#context.settled) return;
      if (plan === undefined) {
        this.#noteUnplacedDemand();
        return this.#refuse(this.#unavailableReason);
      }
      this.#isSending = true;
      const next = await this.#send(plan);
      this.#isSending = false;
      if (this.#context.settled || next === "delivered") return;
      if (next === "refuse") {
        const isStopping = !this.#context.maySend("run");
        return this.#refuse(isStopping ? STOPPING : "endpoints_full");
      }
      if (next === "overdue") return this.#refuse(OVERDUE);
      if (next === "blocked") return this.#refuse(BLOCKED);
      if (next === STOPPING) return this.#refuse(STOPPING);
      if (next === KEY_REMOVED) return this.#refuse(KEY_REMOVED);
      if (next === REPLICAS_UNCONFIRMED) return this.#refuse(next);
      if (next === "unknown") return this.#refuseAsUnknown();
    }
  }

  /** Records what a caller asks that is refused before an engine is chosen. */
  #noteUnplacedDemand(): void {
    const { dependencies, pool, request, route } = this.#context;
    const { prompt } = request;
    if (!this.#context.isDemandUnknown || prompt === undefined) return;
    const { estimates, placement, prefixes, registry } = dependencies;
    const keptTokens = registry.inPool(pool.name).map(({ id }) =>
      prefixes.keptTokens(id, prompt.parts)
    );
    const milliseconds = estimates.forPool(pool.name).prefill
      .predictWorkMilliseconds(prompt.inputTokens, Math.max(0, ...keptTokens));
    const { targetMilliseconds } = route;
    const isHandedOver = placement.needsHandover(prompt, {
      pool,
      targetMilliseconds,
    });
    this.#context.noteDemand({
      prefillMilliseconds: isHandedOver ? milliseconds : 0,
      inlineMilliseconds: isHandedOver ? 0 : milliseconds,
    });
  }

  async #plan(): Promise<AttemptPlan | undefined> {
    const { pool, request } = this.#context;
    const { prompt } = request;
    const isEngineWork = pool.engine !== undefined && prompt !== undefined;
    if (!isEngineWork) return await this.#servicePlanner.plan();
    return await this.#enginePlanner.plan(prompt);
  }

  get #isEngineWork(): boolean {
    const { pool, request } = this.#context;
    return pool.engine !== undefined && request.prompt !== undefined;
  }

  /** Why there is no endpoint to send the request to. */
  get #unavailableReason(): string {
    if (this.#context.isWriterGone) return VERSION_GONE;
    const isAtLimit = this.#requiredEndpoints.some((matches) =>
      this.#context.isLimited(matches) && isOverloaded(this.#context, matches)
    );
    return isAtLimit ? "request_limit" : "no_endpoint_reachable";
  }

  /** The request needs one endpoint of each match. */
  get #requiredEndpoints(): readonly EndpointMatch[] {
    return this.#isEngineWork
      ? this.#enginePlanner.requiredEndpoints
      : [() => true];
  }

  async #send(plan: AttemptPlan): Promise<NextStep> {
    const { dependencies } = this.#context;
    const { endpoint } = plan;
    const obstacle = this.#obstacle;
    if (obstacle !== undefined) {
      this.#context.releasePermit(endpoint);
      return obstacle;
    }
    this.#context.arrivals.recordSend();
    this.#context.sends += 1;
    this.#mayBeRunning = true;
    this.#context.startTime("run");
    this.#context.report("placed", {
      step: "run",
      endpoint: endpoint.id,
      softwareVersion: endpoint.softwareVersion,
      resumes: this.#context.request.resumes?.slice(0, MAX_LOGGED_LENGTH),
      lastEventId: plan.options.lastEventId,
      openRequests: dependencies.load.total(endpoint.id).requests,
      handover: plan.options.prefilledPrompt !== undefined,
      ...pauseFacts(plan),
      ...(plan.expected && placementFacts(plan.expected)),
    });
    const attempt = new ForwardAttempt(this.#context, plan);
    this.#attempt = attempt;
    this.#sentAt = dependencies.timer.now();
    const response = await attempt.answer;
    const milliseconds = dependencies.timer.now() - this.#sentAt;
    this.#service = plan.expected && { milliseconds, expected: plan.expected };
    if (this.#context.settled) return "delivered";
    if (response.isErr()) {
      this.#context.cancelTime("run");
      this.#context.noteRejection(endpoint.id);
      return this.#afterFailure(response.error.name, endpoint);
    }
    if (response.value.head.notExecuted) {
      this.#context.cancelTime("run");
      discardBody(response.value, dependencies.timer);
      return this.#afterNotRun(endpoint.id);
    }
    if (plan.options.prefilledPrompt !== undefined) {
      this.#handover.noteTransfer(
        endpoint,
        dependencies.timer.now() - this.#sentAt,
      );
    }
    return await this.#deliver(response.value, attempt);
  }

  /**
   * True if no endpoint has run the request and its caller gives up before it
   * can get a first byte. A send would be aborted, and the caller left with an
   * unknown outcome or a broken-off stream instead of a refusal.
   */
  get #isOverdue(): boolean {
    return this.#runs === 0 && this.#context.isOverdue;
  }

  /** Why the request may no longer be sent; it may have waited meanwhile. */
  get #obstacle(): NextStep | undefined {
    if (this.#isOverdue) return "overdue";
    if (this.#context.blockedMilliseconds > 0) return "blocked";
    if (this.#context.needsTrial) return "again";
    if (this.#context.isKeyRemoved) return KEY_REMOVED;
    if (!this.#context.maySend("run")) return STOPPING;
    if (this.#context.writer.isUnconfirmed) return REPLICAS_UNCONFIRMED;
    const hasPermit = this.#context.arrivals.reserve({ prefill: false });
    return hasPermit ? undefined : "refuse";
  }

  #afterFailure(name: string, endpoint: RegisteredEndpoint): NextStep {
    if (name === "exchange_not_sent") {
      // No byte was sent, so this does not count as a send. Connection attempts
      // to an unreachable endpoint are limited by its recorded outcomes.
      this.#context.sends -= 1;
      this.#context.releasePermit(endpoint);
      this.#mayBeRunning = this.#runs > 0;
      this.#context.arrivals.revertSend();
      return this.#mayResend(name) ? "again" : "refuse";
    }
    this.#runs += 1;
    this.#noteServiceStarted();
    if (!this.#mayRunAgain()) return "unknown";
    return this.#mayResend(name) ? "again" : "unknown";
  }

  #afterNotRun(endpoint: EndpointId): NextStep {
    this.#mayBeRunning = this.#runs > 0;
    this.#context.noteRejection(endpoint);
    this.#handover.noteRejection();
    return this.#mayResend("not_run") ? "again" : "refuse";
  }

  /** Called before a response that could be passed on is discarded. */
  #mayResend(reason: string): boolean {
    const prefill = this.#handover.needsAnotherPrefill;
    return this.#context.mayResend(reason, { prefill });
  }

  /** True if another run is harmless and the route allows one. */
  #mayRunAgain(): boolean {
    const { route } = this.#context;
    const isRepeatable = route.repeat === "idempotent" || isResumable(route);
    return isRepeatable && this.#runs < route.mostAttempts;
  }

  async #deliver(
    response: EndpointResponse,
    attempt: ForwardAttempt,
  ): Promise<NextStep> {
    const { head } = response;
    this.#runs += 1;
    this.#noteStarted();
    if (!this.#relay.accepts(head)) {
      return this.#afterMismatch(response, attempt);
    }
    const mayRetry = head.status >= 500 && this.#mayRunAgain() &&
      this.#mayResend(`status ${head.status}`);
    if (mayRetry) {
      this.#context.noteFailure(attempt.endpoint);
      this.#discard(response, attempt);
      return "again";
    }
    this.#firstByteAt ??= this.#context.dependencies.timer.now();
    if (isSuccess(head)) this.#context.writer.record(attempt.endpoint);
    const observed = this.#observePace(response, attempt);
    const end = await this.#relay.pipe(observed, attempt);
    if (this.#context.settled) return "delivered";
    if (end === "whole") return this.#finish(head.status);
    if (end === "mismatch") this.#reportMismatch(response);
    this.#context.noteFailure(attempt.endpoint);
    return this.#afterBrokenResponse();
  }

  /** Learns the engine's steps from the response, in adaptive pools. */
  #observePace(
    response: EndpointResponse,
    { endpoint }: ForwardAttempt,
  ): EndpointResponse {
    const { dependencies, pool, request, route } = this.#context;
    const { load, loadReports, roleWork, timer } = dependencies;
    const asked = request.prompt?.mostOutputTokens ?? 0;
    const isObserved = this.#isEngineWork && route.repeat === "stream" &&
      response.head.status === 200 && loadReports.isAdaptive(pool.name);
    if (!isObserved || roleWork === undefined) return response;
    return observePace(response, {
      timer,
      openWork: () => load.total(endpoint.id),
      workFactor: () => loadReports.current(endpoint.id)?.workFactor ?? 1,
      onSteps: (sample) => roleWork.recordSteps(pool.name, sample),
      onWhole: (events) =>
        roleWork.recordResponse(pool.name, { events, asked }),
    });
  }

  /** Handles a response that can't follow what the caller has received. */
  #afterMismatch(
    response: EndpointResponse,
    attempt: ForwardAttempt,
  ): NextStep {
    this.#reportMismatch(response);
    if (response.head.status >= 500) this.#discard(response, attempt);
    else attempt.abort();
    this.#context.noteFailure(attempt.endpoint);
    return this.#afterBrokenResponse();
  }

  /** The outcome of a failure does not wait for a body that nobody gets. */
  #discard(response: EndpointResponse, attempt: ForwardAttempt): void {
    attempt.onEnd("whole", response.head.status);
    discardBody(response, this.#context.dependencies.timer);
  }

  #reportMismatch({ head }: EndpointResponse): void {
    this.#context.report("stream_mismatch", {
      status: head.status,
      lastEventId: this.#relay.lastEventId ?? "",
      foundEventId: this.#relay.mismatchedEventId?.slice(0, MAX_LOGGED_LENGTH),
    });
  }

  /** Records that the request has started, as its response has begun. */
  #noteStarted(): void {
    if (this.#isEngineWork) {
      this.#context.noteStarted(this.#context.dependencies.timer.now());
    } else this.#noteServiceStarted();
  }

  /**
   * A plain service starts a request on arrival and responds at its end; an
   * engine that has not responded is assumed not to have started.
   */
  #noteServiceStarted(): void {
    if (!this.#isEngineWork) this.#context.noteStarted(this.#sentAt);
  }

  /** Handles a response that the endpoint broke off. */
  #afterBrokenResponse(): NextStep {
    const { repeat } = this.#context.route;
    const obstacle = this.#continuationObstacle;
    const mayResume = repeat === "stream" && this.#relay.isResumable &&
      obstacle === undefined && this.#mayRunAgain() && this.#mayResend("cut");
    if (mayResume) {
      this.#context.report("resumed", {
        lastEventId: this.#relay.lastEventId ?? "",
        ...this.#bodyFacts,
      });
      return "again";
    }
    if (!this.#relay.headSent) return "unknown";
    this.#settle();
    this.#sink.abort();
    this.#context.report("cut", {
      reason: obstacle ?? "endpoint_broke_off",
      ...this.#bodyFacts,
    });
    return "delivered";
  }

  /** Why no replica may continue the stream that has begun, if so. */
  get #continuationObstacle(): string | undefined {
    if (this.#context.isWriterGone) return VERSION_GONE;
    return this.#context.writer.isUnconfirmed
      ? REPLICAS_UNCONFIRMED
      : undefined;
  }

  /** How the response has ended and what its caller has, for the log. */
  get #bodyFacts(): BodyFacts & PassedEvents {
    return { ...this.#relay.passedEvents, ...this.#attempt?.bodyFacts };
  }

  #finish(status: number): NextStep {
    const { remainingMilliseconds } = this.#context;
    this.#context.recordTimes();
    this.#settle();
    this.#sink.finish();
    if (this.#sink.bufferedBytes > 0) {
      // A caller that reads nothing more would otherwise keep the memory.
      this.#context.dependencies.timer.after(
        remainingMilliseconds,
        () => this.#sink.discardUnread(),
      );
    }
    const { arrived, elapsedMilliseconds, sends } = this.#context;
    this.#context.report("answered", {
      status,
      firstByteMilliseconds: Math.round((this.#firstByteAt ?? 0) - arrived),
      milliseconds: Math.round(elapsedMilliseconds),
      sends,
      ...this.#bodyFacts,
      ...(this.#service && {
        pool: this.#context.pool.name,
        attemptMilliseconds: Math.round(this.#service.milliseconds),
        ...placementFacts(this.#service.expected),
      }),
    });
    return "delivered";
  }

  /** The deadline of the caller or the route has passed. */
  #onDeadline(): void {
    if (this.#context.settled) return;
    this.#context.recordTimes();
    this.#settle();
    if (this.#mayBeRunning) this.#noteServiceStarted();
    this.#attempt?.abort();
    if (this.#relay.headSent) {
      this.#sink.abort();
      this.#context.report("cut", { reason: "deadline", ...this.#bodyFacts });
      return;
    }
    const status = this.#mayBeRunning || this.#runs > 0 ? 504 : 503;
    this.#respond({ status, reason: "deadline" });
  }

  #onDisconnect(): void {
    if (this.#context.settled) return;
    this.#settle();
    if (this.#mayBeRunning) this.#noteServiceStarted();
    this.#attempt?.abort();
    this.#context.report("caller_gone", {
      sends: this.#context.sends,
      ...this.#relay.passedEvents,
    });
  }

  /** Ends this request alone, whatever its handling has thrown. */
  #onFault(cause: unknown): void {
    this.#context.report("faulted", {
      reason: FAULT,
      endpoint: this.#attempt?.endpoint.id,
      problem: cause instanceof Error ? cause.stack : String(cause),
    });
    if (this.#context.settled) return;
    this.#settle();
    this.#attempt?.abort();
    if (this.#relay.headSent) return this.#sink.abort();
    this.#respond({ status: 502, reason: FAULT });
  }

  #refuse(reason: string, facts: AdmissionFacts = {}): void {
    // A lost run may still be in progress, so a refusal that claims that the
    // request did not run could be false.
    if (this.#runs > 0) return this.#refuseAsUnknown();
    this.#settle();
    if (this.#relay.headSent) return this.#sink.abort();
    if (reason === KEY_REMOVED) return this.#respond({ status: 401, reason });
    const slot = WAITS_FOR_ENGINES.has(reason)
      ? nextReturn(this.#context)
      : undefined;
    // A blocked caller is blocked at every entry, so the refusal is not
    // recorded.
    if (reason !== BLOCKED) {
      this.#context.noteRefusal(
        slot?.isReserved === true ? slot.milliseconds : undefined,
      );
    }
    const retryAfterMilliseconds = slot?.milliseconds ??
      this.#retryAfterMilliseconds(reason);
    this.#respond({ status: 503, reason, retryAfterMilliseconds }, facts);
  }

  /** When a retry is useful, in milliseconds; undefined if it never is. */
  #retryAfterMilliseconds(reason: string): number | undefined {
    const { random } = this.#context.dependencies;
    if (reason === VERSION_GONE && !this.#context.writer.mayReturn) {
      return undefined;
    }
    if (reason === VERSION_GONE) {
      return VERSION_RETURN_MILLISECONDS +
        RETRY_AFTER_SPREAD_MILLISECONDS * random();
    }
    if (reason === "entry_full") {
      return OTHER_ENTRY_RETRY_AFTER_MILLISECONDS +
        OTHER_ENTRY_RETRY_SPREAD_MILLISECONDS * random();
    }
    if (reason === STOPPING) {
      return STOPPING_RETRY_AFTER_MILLISECONDS +
        STOPPING_RETRY_SPREAD_MILLISECONDS * random();
    }
    if (reason === BLOCKED) return this.#context.blockedMilliseconds;
    if (reason === SUSPECTED) {
      return SUSPECTED_RETRY_AFTER_MILLISECONDS +
        RETRY_AFTER_SPREAD_MILLISECONDS * random();
    }
    const waits = this.#requiredEndpoints
      .map((matches) => this.#context.overloadMilliseconds(matches))
      .filter(Number.isFinite);
    const longest = reason === "request_limit"
      ? MAX_LIMIT_RETRY_AFTER_MILLISECONDS
      : Infinity;
    const wait = Math.min(longest, Math.max(0, ...waits));
    return Math.max(RETRY_AFTER_MILLISECONDS, wait) +
      RETRY_AFTER_SPREAD_MILLISECONDS * random();
  }

  #refuseAsUnknown(): void {
    this.#settle();
    if (this.#relay.headSent) {
      this.#sink.abort();
      this.#context.report("cut", { reason: "unknown", ...this.#bodyFacts });
      return;
    }
    this.#respond({ status: 502, reason: "unknown" });
  }

  #respond(refusal: ForwardingRefusal, facts: AdmissionFacts = {}): void {
    this.#sink.refuse(refusal);
    this.#context.report("refused", {
      status: refusal.status,
      reason: refusal.reason,
      ...facts,
      milliseconds: Math.round(this.#context.elapsedMilliseconds),
      sends: this.#context.sends,
    });
  }

  #settle(): void {
    this.#context.settled = true;
    this.#deadline.cancel();
    this.#context.cancelTimes();
    this.#context.dependencies.openForwards.delete(this);
    this.#handover.release();
    this.#context.arrivals.release();
    const { crashPass, hasLostRun } = this.#context;
    crashPass.release(hasLostRun ? LOSS_KNOWN_MILLISECONDS : 0);
  }
}

/** Figures for the log; empty where pauses are not predicted. */
function pauseFacts(
  { delayMilliseconds, predictedPauseMilliseconds }: AttemptPlan,
): Readonly<Record<string, number | undefined>> {
  if (predictedPauseMilliseconds === undefined) return {};
  return {
    predictedPauseMilliseconds: Math.round(predictedPauseMilliseconds),
    delayMilliseconds,
  };
}

/** Facts about the choice of a replica by its expected time. */
function placementFacts(expected: ExpectedTime): Record<string, unknown> {
  const { isLearned, milliseconds, reportAgeMilliseconds } = expected;
  return {
    ...(isLearned && { expectedMilliseconds: Math.round(milliseconds) }),
    ...(reportAgeMilliseconds !== undefined &&
      { reportAgeMilliseconds: Math.round(reportAgeMilliseconds) }),
  };
}
