import {
  chooseService,
  type DecodeChoice,
  type EngineRole,
  NO_PROMPT,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
} from "../../core/identity/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { ResponseRelay } from "./response_relay.ts";
import { Attempt, type AttemptPlan } from "./attempt.ts";
import { ForwardContext, type ForwardTask } from "./forward_context.ts";
import { Handover } from "./handover.ts";
import type { CallerSink, EndpointAnswer, Refusal } from "./links.ts";
import type { ForwardingParts } from "./parts.ts";
import type { AdmissionFacts } from "./prompt_admission.ts";
import {
  mayStillWait,
  preferCapacity,
  waitForChoice,
} from "./wait_for_choice.ts";

/** When a caller that found no room should come back, milliseconds. */
export const RETRY_AFTER_MILLISECONDS = 250;
/**
 * The same where only this entry is full: the caller comes back to another one,
 * which can still answer on time.
 */
const OTHER_ENTRY_RETRY_AFTER_MILLISECONDS = 20;
const OTHER_ENTRY_RETRY_SPREAD_MILLISECONDS = 30;
/** Spread of the returns, so that a refused burst does not return as one. */
const RETRY_AFTER_SPREAD_MILLISECONDS = 250;
/** Priorities that engines know, the last one for what may wait longest. */
const LOWEST_PRIORITY = 9;

/** Endpoints have crashed under requests of these bytes. */
const BLOCKED = "crashes_endpoints";
/** The caller's key was taken away while its request waited. */
const KEY_REMOVED = "key_removed";

/** What comes next after an attempt. */
type NextStep =
  | "delivered"
  | "again"
  | "refuse"
  | "blocked"
  | "key_removed"
  | "unknown";

/** One caller's request from its arrival to its answer. */
export class RequestForwarder {
  readonly #context: ForwardContext;
  readonly #sink: CallerSink;
  readonly #handover: Handover;
  readonly #relay: ResponseRelay;
  readonly #deadline: Subscription;
  #attempt: Attempt | undefined;
  /** Runs that may have begun. */
  #runs = 0;
  /** True while a send is out that may be running. */
  #mayBeRunning = false;
  /** When the send that is out was sent. */
  #sentAt = 0;
  #firstByteAt: number | undefined;

  constructor(
    parts: ForwardingParts,
    options: { readonly task: ForwardTask; readonly sink: CallerSink },
  ) {
    const { task, sink } = options;
    const { repeat, resumable } = task.route;
    this.#context = new ForwardContext(parts, task);
    this.#sink = sink;
    this.#handover = new Handover(
      this.#context,
      (attempt) => this.#attempt = attempt,
    );
    this.#relay = new ResponseRelay({
      sink,
      wholeEventsOnly: repeat === "stream" && resumable,
      onBytes: (count) => parts.link.sent(count),
    });
    this.#deadline = parts.timer.after(
      this.#context.allowedMilliseconds,
      () => this.#onDeadline(),
    );
    sink.onGone(() => this.#onCallerGone());
  }

  async run(): Promise<void> {
    const { parts, pool } = this.#context;
    parts.allowance.requestArrived(pool.name);
    for (;;) {
      if (this.#context.blockedMilliseconds > 0) return this.#refuse(BLOCKED);
      const plan = await this.#plan();
      if (this.#context.settled) return;
      if (plan === undefined) return this.#refuse("no_endpoint_reachable");
      const next = await this.#send(plan);
      if (this.#context.settled || next === "delivered") return;
      if (next === "refuse") return this.#refuse("endpoints_full");
      if (next === "blocked") return this.#refuse(BLOCKED);
      if (next === KEY_REMOVED) return this.#refuse(KEY_REMOVED);
      if (next === "unknown") return this.#refuseAsUnknown();
    }
  }

  async #plan(): Promise<AttemptPlan | undefined> {
    const { pool, request } = this.#context;
    const { prompt } = request;
    const isEngineWork = pool.engine !== undefined && prompt !== undefined;
    if (!isEngineWork) return await this.#planService();
    return await this.#planEngines(prompt);
  }

  get #isEngineWork(): boolean {
    const { pool, request } = this.#context;
    return pool.engine !== undefined && request.prompt !== undefined;
  }

  async #planService(): Promise<AttemptPlan | undefined> {
    const endpoint = this.#chooseService() ?? await this.#waitForService();
    if (endpoint === undefined) return undefined;
    return {
      endpoint,
      work: NO_PROMPT,
      options: {
        deadlineMilliseconds: this.#context.remainingMilliseconds,
        lastEventId: this.#resumeEventId(),
      },
    };
  }

  #chooseService(): RegisteredEndpoint | undefined {
    const { parts } = this.#context;
    const healthy = parts.outcomes.wellAmong(this.#context.endpoints());
    return chooseService(this.#context.preferUntried(healthy), parts);
  }

  /** Waits where every replica is overloaded, and one is not for much longer. */
  async #waitForService(): Promise<RegisteredEndpoint | undefined> {
    if (!this.#isOverloaded() || !this.#isWorthWaiting()) return undefined;
    return await waitForChoice(this.#context, () => this.#chooseService());
  }

  /** True where these have all said that they are overloaded. */
  #isOverloaded(
    matches?: (endpoint: RegisteredEndpoint) => boolean,
  ): boolean {
    const wait = this.#context.overloadMilliseconds(matches);
    return wait > 0 && Number.isFinite(wait);
  }

  /** False where the caller would have left before one of these takes work. */
  #isWorthWaiting(
    matches?: (endpoint: RegisteredEndpoint) => boolean,
  ): boolean {
    const wait = this.#context.overloadMilliseconds(matches);
    return mayStillWait(this.#context, wait);
  }

  /** Undefined where no engine is left, or where the request was refused. */
  async #planEngines(prompt: Prompt): Promise<AttemptPlan | undefined> {
    const { parts, pool, route } = this.#context;
    const endpoints = this.#context.endpoints();
    if (endpoints.length === 0) return undefined;
    // Reading a prompt is wasted where no engine can decode in time.
    if (this.#isOverloaded(canDecode) && !this.#isWorthWaiting(canDecode)) {
      return undefined;
    }
    const needsHandover = parts.placement.wantsHandover(prompt, {
      pool,
      targetMilliseconds: route.targetMilliseconds,
    }) &&
      endpoints.some((endpoint) => endpoint.role === "prefill");
    const handover = needsHandover
      ? await this.#handover.prefill(prompt)
      : undefined;
    if (this.#context.settled) return undefined;
    if (handover?.kind === "refused") {
      this.#refuse(handover.reason, handover.facts);
      return undefined;
    }
    const cacheZone = handover === undefined
      ? undefined
      : parts.registry.get(handover.kept.engine)?.availabilityZone;
    const choice = await this.#chooseDecoder(prompt, cacheZone);
    if (choice === undefined) return undefined;
    return {
      endpoint: choice.endpoint,
      work: choice.work,
      options: {
        deadlineMilliseconds: this.#context.remainingMilliseconds,
        priority: Math.min(LOWEST_PRIORITY, this.#context.rank),
        keptPrompt: handover?.kept,
        lastEventId: this.#resumeEventId(),
      },
    };
  }

  /** Undefined where there is none until the caller leaves. */
  async #chooseDecoder(
    prompt: Prompt,
    cacheZone: AvailabilityZoneId | undefined,
  ): Promise<DecodeChoice | undefined> {
    const { parts, pool } = this.#context;
    const refreshed = await this.#refreshDecoderLoad(cacheZone);
    if (this.#context.settled) return undefined;
    const choose = ({ withRoom } = { withRoom: false }) => {
      // The engines may have changed while the prompt was read.
      const decodeEngines = this.#context.endpoints().filter(canDecode);
      const decodeCandidates = this.#decoders(decodeEngines, withRoom);
      const withFreshLoad = decodeCandidates.filter(({ id }) =>
        refreshed.has(id)
      );
      return parts.placement.chooseDecode(
        withFreshLoad.length > 0 ? withFreshLoad : decodeCandidates,
        {
          prompt,
          pool,
          keptIn: cacheZone,
          withRoom,
        },
      );
    };
    return choose() ??
      await waitForChoice(this.#context, preferCapacity(choose));
  }

  /** Brings the load of some that may decode up to date; gives which. */
  async #refreshDecoderLoad(
    cacheZone: AvailabilityZoneId | undefined,
  ): Promise<ReadonlySet<EndpointId>> {
    const { parts } = this.#context;
    if (!parts.isLoadStale()) return new Set();
    const decodeEngines = this.#context.endpoints().filter(canDecode);
    const refreshed = parts.placement
      .decodersToAsk(this.#context.withoutRejecting(decodeEngines), {
        keptIn: cacheZone,
      })
      .map(({ id }) => id);
    await parts.refreshLoad(refreshed);
    return new Set(refreshed);
  }

  /**
   * The engines that may be asked to decode. One that has rejected the request
   * is asked again only once it has room; otherwise the request uses up its
   * retries at one full engine within milliseconds.
   */
  #decoders(
    decodeEngines: readonly RegisteredEndpoint[],
    withRoom: boolean,
  ): readonly RegisteredEndpoint[] {
    const others = this.#context.withoutRejecting(decodeEngines);
    if (others.length > 0) return others;
    return withRoom
      ? this.#context.parts.outcomes.openAmong(decodeEngines)
      : [];
  }

  async #send(plan: AttemptPlan): Promise<NextStep> {
    const { parts } = this.#context;
    const { endpoint } = plan;
    // Endpoints may have crashed under it while it waited for this one.
    if (this.#context.blockedMilliseconds > 0) return "blocked";
    if (this.#context.isKeyRemoved) return KEY_REMOVED;
    if (!this.#context.arrivals.cover({ reading: false })) return "refuse";
    this.#context.arrivals.sent();
    this.#context.sends += 1;
    this.#mayBeRunning = true;
    this.#context.report("placed", {
      step: "run",
      endpoint: endpoint.id,
      openRequests: parts.load.total(endpoint.id).requests,
      handover: plan.options.keptPrompt !== undefined,
    });
    const attempt = new Attempt(this.#context, plan);
    this.#attempt = attempt;
    this.#sentAt = parts.timer.now();
    const response = await attempt.answer;
    if (this.#context.settled) return "delivered";
    if (response.isErr()) {
      this.#context.noteRejection(endpoint.id);
      return this.#afterFailure(response.error.name);
    }
    if (response.value.head.notRun) {
      discard(response.value, attempt);
      return this.#afterNotRun(endpoint.id);
    }
    if (plan.options.keptPrompt !== undefined) {
      this.#handover.noteTransfer(endpoint, parts.timer.now() - this.#sentAt);
    }
    return await this.#deliver(response.value, attempt);
  }

  #afterFailure(name: string): NextStep {
    if (name === "exchange_not_sent") {
      // Nothing has left: it is no send, however often it happens. How often
      // an endpoint is asked that takes no connection is limited elsewhere.
      this.#context.sends -= 1;
      this.#mayBeRunning = this.#runs > 0;
      this.#context.arrivals.notArrived();
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

  /** Asked before anything of an answer that may be passed on is dropped. */
  #mayResend(reason: string): boolean {
    const reading = this.#handover.needsAnotherPrefill;
    return this.#context.mayResend(reason, { reading });
  }

  /** True where a further run does no harm and the route allows one. */
  #mayRunAgain(): boolean {
    const { mostAttempts, repeat, resumable } = this.#context.route;
    const isRepeatable = repeat === "idempotent" ||
      (repeat === "stream" && resumable);
    return isRepeatable && this.#runs < mostAttempts;
  }

  async #deliver(
    response: EndpointAnswer,
    attempt: Attempt,
  ): Promise<NextStep> {
    const { head } = response;
    this.#runs += 1;
    this.#noteStarted();
    const mayRetry = head.status >= 500 && this.#mayRunAgain() &&
      this.#mayResend(`status ${head.status}`);
    if (mayRetry) {
      discard(response, attempt);
      return "again";
    }
    this.#firstByteAt ??= this.#context.parts.timer.now();
    const end = await this.#relay.pipe(response, attempt);
    if (this.#context.settled) return "delivered";
    if (end === "whole") return this.#finish(head.status);
    return this.#afterBrokenResponse();
  }

  /** An answer has begun: the request has, too. */
  #noteStarted(): void {
    if (this.#isEngineWork) {
      this.#context.noteStarted(this.#context.parts.timer.now());
    } else this.#noteServiceStarted();
  }

  /**
   * A plain service begins a request when it arrives, and answers at its end;
   * an engine that has not answered is taken not to have begun.
   */
  #noteServiceStarted(): void {
    if (!this.#isEngineWork) this.#context.noteStarted(this.#sentAt);
  }

  /** The endpoint broke off in the middle of its answer. */
  #afterBrokenResponse(): NextStep {
    const { repeat } = this.#context.route;
    const mayResume = repeat === "stream" && this.#mayRunAgain() &&
      this.#mayResend("cut");
    if (mayResume) {
      this.#context.report("resumed", {
        lastEventId: this.#relay.lastEventId ?? "",
      });
      return "again";
    }
    this.#settle();
    this.#sink.cut();
    this.#context.report("cut", { reason: "endpoint_broke_off" });
    return "delivered";
  }

  #finish(status: number): NextStep {
    this.#settle();
    this.#sink.finish();
    const { arrived, elapsedMilliseconds: elapsed, sends } = this.#context;
    this.#context.report("answered", {
      status,
      firstByteMilliseconds: Math.round((this.#firstByteAt ?? 0) - arrived),
      milliseconds: Math.round(elapsed),
      sends,
    });
    return "delivered";
  }

  /** The caller's or the route's time is over. */
  #onDeadline(): void {
    if (this.#context.settled) return;
    this.#settle();
    if (this.#mayBeRunning) this.#noteServiceStarted();
    this.#attempt?.abort();
    if (this.#relay.headSent) {
      this.#sink.cut();
      this.#context.report("cut", { reason: "deadline" });
      return;
    }
    const status = this.#mayBeRunning || this.#runs > 0 ? 504 : 503;
    this.#respond({ status, reason: "deadline" });
  }

  #onCallerGone(): void {
    if (this.#context.settled) return;
    this.#settle();
    if (this.#mayBeRunning) this.#noteServiceStarted();
    this.#attempt?.abort();
    this.#context.report("caller_gone", { sends: this.#context.sends });
  }

  #refuse(reason: string, facts: AdmissionFacts = {}): void {
    // A run that was lost before may still be under way: then a refusal that
    // says "not run" would be a lie.
    if (this.#runs > 0) return this.#refuseAsUnknown();
    this.#settle();
    if (this.#relay.headSent) return this.#sink.cut();
    if (reason === KEY_REMOVED) return this.#respond({ status: 401, reason });
    // A caller that comes back finds it blocked at any entry.
    if (reason !== BLOCKED) this.#context.noteRefusal();
    const retryAfterMilliseconds = this.#retryAfterMilliseconds(reason);
    this.#respond({ status: 503, reason, retryAfterMilliseconds }, facts);
  }

  /** When coming back is worth it, milliseconds. */
  #retryAfterMilliseconds(reason: string): number {
    const { random } = this.#context.parts;
    if (reason === "entry_full") {
      return OTHER_ENTRY_RETRY_AFTER_MILLISECONDS +
        OTHER_ENTRY_RETRY_SPREAD_MILLISECONDS * random();
    }
    if (reason === BLOCKED) return this.#context.blockedMilliseconds;
    const overload = this.#context.overloadMilliseconds();
    const wait = Number.isFinite(overload) ? overload : 0;
    return Math.max(RETRY_AFTER_MILLISECONDS, wait) +
      RETRY_AFTER_SPREAD_MILLISECONDS * random();
  }

  #refuseAsUnknown(): void {
    this.#settle();
    if (this.#relay.headSent) {
      this.#sink.cut();
      this.#context.report("cut", { reason: "unknown" });
      return;
    }
    this.#respond({ status: 502, reason: "unknown" });
  }

  #respond(refusal: Refusal, facts: AdmissionFacts = {}): void {
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
    this.#handover.release();
    this.#context.arrivals.release();
  }

  /** A caller's own position, or that behind the last event passed on. */
  #resumeEventId(): string | undefined {
    return this.#relay.lastEventId ?? this.#context.request.lastEventId;
  }
}

/** Reads an answer that nobody gets, so that its connection can be kept. */
function discard(response: EndpointAnswer, attempt: Attempt): void {
  response.read(() => {}, (end) => attempt.onEnd(end, response.head.status));
}

function canDecode(endpoint: { readonly role?: EngineRole }): boolean {
  return endpoint.role !== "prefill";
}
