import {
  chooseServiceReplica,
  type DecodeChoice,
  isPrefillEngine,
  NO_PROMPT_WORK,
  type PrefilledPrompt,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
} from "../../core/identity/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { observePace } from "./response_pace.ts";
import { ResponseRelay } from "./response_relay.ts";
import { type AttemptPlan, ForwardAttempt } from "./attempt.ts";
import { ForwardContext, type ForwardTask } from "./forward_context.ts";
import {
  AT_REQUEST_LIMIT,
  Handover,
  type HandoverOutcome,
} from "./handover.ts";
import type {
  CallerSink,
  EndpointResponse,
  ForwardingRefusal,
} from "./network_interfaces.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type { AdmissionFacts } from "./prompt_admission.ts";
import {
  type CapacityOptions,
  chooseWithPermit,
  mayStillWait,
  preferCapacity,
  waitForChoice,
} from "./wait_for_choice.ts";

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
 * Longest predicted wait for a permit, as a share of the route's target; the
 * rest is for the endpoint. Routes with a short target may wait the minimum.
 */
const MAX_PERMIT_WAIT_TARGET_SHARE = 0.7;
const MIN_PERMIT_WAIT_MILLISECONDS = 50;
/**
 * Longest retry delay for a caller that is refused because of endpoints'
 * request limits, which may end at any time.
 */
const MAX_LIMIT_RETRY_AFTER_MILLISECONDS = 3_000;
/** Lowest of the priorities that engines support. */
const LOWEST_PRIORITY = 9;

/** Endpoints have crashed on requests with this digest. */
const BLOCKED = "crashes_endpoints";
/** The caller's key was removed while its request was waiting. */
const KEY_REMOVED = "key_removed";

type EndpointMatch = (endpoint: RegisteredEndpoint) => boolean;

interface ServiceChoice {
  readonly endpoint: RegisteredEndpoint;
}

/** Next step after an attempt. */
type NextStep =
  | "delivered"
  | "again"
  | "refuse"
  | "blocked"
  | "key_removed"
  | "unknown";

/** Forwards one request, from its arrival to the end of its response. */
export class RequestForwarder {
  readonly #context: ForwardContext;
  readonly #sink: CallerSink;
  readonly #handover: Handover;
  readonly #relay: ResponseRelay;
  readonly #deadline: Subscription;
  #attempt: ForwardAttempt | undefined;
  /** True once the prompt has turned out to need a separate prefill engine. */
  #needsHandover = false;
  /** Number of sends that may have started to run. */
  #runs = 0;
  /** True while a send is outstanding that may be running. */
  #mayBeRunning = false;
  /** Time of the last send. */
  #sentAt = 0;
  #firstByteAt: number | undefined;

  constructor(
    dependencies: ForwardingDependencies,
    options: { readonly task: ForwardTask; readonly sink: CallerSink },
  ) {
    const { task, sink } = options;
    const { repeat, resumable } = task.route;
    this.#context = new ForwardContext(dependencies, task);
    this.#sink = sink;
    this.#handover = new Handover(
      this.#context,
      (attempt) => this.#attempt = attempt,
    );
    this.#relay = new ResponseRelay({
      sink,
      wholeEventsOnly: repeat === "stream" && resumable,
      lastEventId: task.request.lastEventId,
      onBytes: (count) => dependencies.link.recordSent(count),
    });
    this.#deadline = dependencies.timer.after(
      this.#context.allowedMilliseconds,
      () => this.#onDeadline(),
    );
    sink.onDisconnect(() => this.#onDisconnect());
  }

  async run(): Promise<void> {
    const { dependencies, pool } = this.#context;
    dependencies.retryBudget.recordRequest(pool.name);
    for (;;) {
      if (this.#context.blockedMilliseconds > 0) return this.#refuse(BLOCKED);
      const plan = await this.#plan();
      if (this.#context.settled) return;
      if (plan === undefined) {
        this.#noteUnplacedDemand();
        return this.#refuse(this.#unavailableReason);
      }
      const next = await this.#send(plan);
      if (this.#context.settled || next === "delivered") return;
      if (next === "refuse") return this.#refuse("endpoints_full");
      if (next === "blocked") return this.#refuse(BLOCKED);
      if (next === KEY_REMOVED) return this.#refuse(KEY_REMOVED);
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
    if (!isEngineWork) return await this.#planService();
    return await this.#planEngines(prompt);
  }

  get #isEngineWork(): boolean {
    const { pool, request } = this.#context;
    return pool.engine !== undefined && request.prompt !== undefined;
  }

  async #planService(): Promise<AttemptPlan | undefined> {
    const choice = await this.#chooseService() ?? await this.#waitForService();
    if (choice === undefined) return undefined;
    return {
      endpoint: choice.endpoint,
      work: NO_PROMPT_WORK,
      options: {
        deadlineMilliseconds: this.#context.remainingMilliseconds,
        lastEventId: this.#relay.lastEventId,
      },
    };
  }

  #chooseService(): Promise<ServiceChoice | undefined> {
    const { dependencies } = this.#context;
    return chooseWithPermit(this.#context, () => {
      const healthy = dependencies.availability.filterHealthy(
        this.#context.endpoints(),
      );
      const endpoint = chooseServiceReplica(
        this.#context.preferUntried(healthy),
        dependencies,
      );
      return endpoint && { endpoint };
    });
  }

  /** Waits if every replica is overloaded and one becomes available in time. */
  async #waitForService(): Promise<ServiceChoice | undefined> {
    const mayBecomeReady = this.#isOverloaded() ||
      this.#context.isLimited(() => true);
    if (!mayBecomeReady || !this.#isWorthWaiting()) return undefined;
    return await this.#waitInQueue({}, () => this.#chooseService());
  }

  /** Waits for a choice; in a queue if permits are what it waits for. */
  async #waitInQueue<Choice>(
    endpoint: Pick<RegisteredEndpoint, "role">,
    choose: () => Choice | undefined | Promise<Choice | undefined>,
  ): Promise<Choice | undefined> {
    const matches = (other: RegisteredEndpoint) =>
      isPrefillEngine(other) === isPrefillEngine(endpoint);
    if (!this.#context.isLimited(matches)) {
      return await waitForChoice(this.#context, choose);
    }
    const earliestMilliseconds = () =>
      this.#context.earliestMilliseconds(matches);
    return await this.#context.queueForPermit(
      endpoint,
      () => waitForChoice(this.#context, choose, { earliestMilliseconds }),
    );
  }

  /** Why there is no endpoint to send the request to. */
  get #unavailableReason(): "request_limit" | "no_endpoint_reachable" {
    const isAtLimit = this.#requiredEndpoints.some((matches) =>
      this.#context.isLimited(matches) && this.#isOverloaded(matches)
    );
    return isAtLimit ? "request_limit" : "no_endpoint_reachable";
  }

  /** The request needs one endpoint of each match. */
  get #requiredEndpoints(): readonly EndpointMatch[] {
    if (!this.#isEngineWork) return [() => true];
    const hasPrefillEngines = this.#needsHandover &&
      this.#context.overloadMilliseconds(isPrefillEngine) < Infinity;
    return hasPrefillEngines ? [isPrefillEngine, canDecode] : [canDecode];
  }

  /** True if all matching endpoints are overloaded or at their limit. */
  #isOverloaded(matches?: EndpointMatch): boolean {
    const wait = this.#context.overloadMilliseconds(matches);
    return wait > 0 && Number.isFinite(wait);
  }

  /**
   * False if the caller would give up before a matching endpoint accepts work,
   * or if a wait for a permit would make its response late. A longer queue
   * serves no more callers, and all of them late.
   */
  #isWorthWaiting(matches: EndpointMatch = () => true): boolean {
    const wait = this.#context.overloadMilliseconds(matches);
    const isForPermit = this.#context.isLimited(matches);
    return mayStillWait(this.#context, wait) &&
      (!isForPermit || wait <= this.#maxPermitWaitMilliseconds);
  }

  get #maxPermitWaitMilliseconds(): number {
    const { elapsedMilliseconds, route } = this.#context;
    const left = MAX_PERMIT_WAIT_TARGET_SHARE * route.targetMilliseconds -
      elapsedMilliseconds;
    return Math.max(MIN_PERMIT_WAIT_MILLISECONDS, left);
  }

  /** Undefined if no engine is left or the request was refused. */
  async #planEngines(prompt: Prompt): Promise<AttemptPlan | undefined> {
    const { dependencies, pool, route } = this.#context;
    const isDecodeLimited = this.#context.isLimited(canDecode);
    const hasEngine = this.#context.endpoints().length > 0;
    if (!hasEngine && !isDecodeLimited) return undefined;
    // A prefill is wasted if no engine can decode in time.
    if (this.#isOverloaded(canDecode) && !this.#isWorthWaiting(canDecode)) {
      return undefined;
    }
    this.#needsHandover = dependencies.placement.needsHandover(prompt, {
      pool,
      targetMilliseconds: route.targetMilliseconds,
    });
    const reserved = isDecodeLimited
      ? await this.#chooseDecodeEngine(prompt)
      : undefined;
    if (this.#context.settled || (isDecodeLimited && reserved === undefined)) {
      return undefined;
    }
    const handover = this.#needsHandover && this.#hasPrefillEngine
      ? await this.#prefill(prompt)
      : undefined;
    if (!this.#context.settled && handover?.kind === "refused") {
      this.#refuse(handover.reason, handover.facts);
    }
    if (this.#context.settled || handover?.kind === "refused") {
      if (reserved !== undefined) {
        this.#context.releasePermit(reserved.endpoint);
      }
      return undefined;
    }
    return await this.#planDecode(prompt, { kept: handover?.kept, reserved });
  }

  /** True if an engine prefills for others, now or after a wait for a permit. */
  get #hasPrefillEngine(): boolean {
    return this.#context.endpoints().some(isPrefillEngine) ||
      this.#context.isLimited(isPrefillEngine);
  }

  /** Plans the send to the reserved engine, or to another if it has gone. */
  async #planDecode(
    prompt: Prompt,
    { kept, reserved }: {
      readonly kept: PrefilledPrompt | undefined;
      /** Engine with a permit for the request, chosen before the prefill. */
      readonly reserved: DecodeChoice | undefined;
    },
  ): Promise<AttemptPlan | undefined> {
    const isUsable = reserved !== undefined &&
      this.#context.isInService(reserved.endpoint);
    const choice = isUsable
      ? reserved
      : await this.#chooseDecodeEngine(prompt, kept);
    if (choice === undefined) return undefined;
    const { milliseconds, tokens } = choice.work;
    if (kept === undefined) {
      this.#context.noteDemand({
        prefillMilliseconds: 0,
        inlineMilliseconds: milliseconds,
      });
    }
    return {
      endpoint: choice.endpoint,
      work: { milliseconds: kept === undefined ? milliseconds : 0, tokens },
      options: {
        deadlineMilliseconds: this.#context.remainingMilliseconds,
        priority: Math.min(LOWEST_PRIORITY, this.#context.rank),
        prefilledPrompt: kept,
        lastEventId: this.#relay.lastEventId,
      },
    };
  }

  /**
   * Prefills the prompt on a prefill engine, and waits for one while the request
   * limits of all are used up. Decode engines don't replace them: long prompts
   * would slow down the streams there.
   */
  async #prefill(prompt: Prompt): Promise<HandoverOutcome> {
    const tryPrefill = async () => {
      if (!this.#context.endpoints().some(isPrefillEngine)) return undefined;
      const outcome = await this.#handover.prefill(prompt);
      return outcome === AT_REQUEST_LIMIT ? undefined : outcome;
    };
    const outcome = await tryPrefill();
    if (outcome !== undefined || this.#context.settled) {
      return outcome ?? AT_REQUEST_LIMIT;
    }
    if (!this.#isWorthWaiting(isPrefillEngine)) return AT_REQUEST_LIMIT;
    const waited = await this.#waitInQueue({ role: "prefill" }, tryPrefill);
    return waited ?? AT_REQUEST_LIMIT;
  }

  /** Undefined if no engine becomes available before the caller gives up. */
  async #chooseDecodeEngine(
    prompt: Prompt,
    kept?: PrefilledPrompt,
  ): Promise<DecodeChoice | undefined> {
    const { dependencies, pool } = this.#context;
    const cacheZone = kept &&
      dependencies.registry.get(kept.engine)?.availabilityZone;
    const refreshed = await this.#refreshDecodeEngineLoad(cacheZone);
    if (this.#context.settled) return undefined;
    const choose = ({ requiresCapacity }: CapacityOptions) => {
      // The engines may have changed during the prefill.
      const decodeEngines = this.#context.endpoints().filter(canDecode);
      const decodeCandidates = this.#decodeCandidates(
        decodeEngines,
        requiresCapacity,
      );
      const withFreshLoad = decodeCandidates.filter(({ id }) =>
        refreshed.has(id)
      );
      return dependencies.placement.chooseDecode(
        withFreshLoad.length > 0 ? withFreshLoad : decodeCandidates,
        {
          prompt,
          pool,
          cacheZone,
          requiresCapacity,
        },
      );
    };
    const chosen = await chooseWithPermit(
      this.#context,
      () => choose({ requiresCapacity: false }),
    );
    if (chosen !== undefined || this.#context.settled) return chosen;
    if (this.#isOverloaded(canDecode) && !this.#isWorthWaiting(canDecode)) {
      return undefined;
    }
    const chooseWaiting = preferCapacity(choose);
    return await this.#waitInQueue(
      { role: "decode" },
      () => chooseWithPermit(this.#context, chooseWaiting),
    );
  }

  /** Refreshes the load of some decode engines; returns their ids. */
  async #refreshDecodeEngineLoad(
    cacheZone: AvailabilityZoneId | undefined,
  ): Promise<ReadonlySet<EndpointId>> {
    const { dependencies } = this.#context;
    if (!dependencies.isLoadStale()) return new Set();
    const decodeEngines = this.#context.endpoints().filter(canDecode);
    const refreshed = dependencies.placement
      .decodeEnginesToRefresh(this.#context.withoutRejecting(decodeEngines), {
        cacheZone,
      })
      .map(({ id }) => id);
    await dependencies.refreshLoad(refreshed);
    return new Set(refreshed);
  }

  /**
   * Engines that may be asked to decode. One that has rejected the request is
   * asked again only once it has capacity; otherwise the request uses up its
   * retries at one full engine within milliseconds.
   */
  #decodeCandidates(
    decodeEngines: readonly RegisteredEndpoint[],
    requiresCapacity: boolean,
  ): readonly RegisteredEndpoint[] {
    const others = this.#context.withoutRejecting(decodeEngines);
    if (others.length > 0) return others;
    return requiresCapacity
      ? this.#context.dependencies.availability.filterAccepting(decodeEngines)
      : [];
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
    this.#context.report("placed", {
      step: "run",
      endpoint: endpoint.id,
      openRequests: dependencies.load.total(endpoint.id).requests,
      handover: plan.options.prefilledPrompt !== undefined,
    });
    const attempt = new ForwardAttempt(this.#context, plan);
    this.#attempt = attempt;
    this.#sentAt = dependencies.timer.now();
    const response = await attempt.answer;
    if (this.#context.settled) return "delivered";
    if (response.isErr()) {
      this.#context.noteRejection(endpoint.id);
      return this.#afterFailure(response.error.name, endpoint);
    }
    if (response.value.head.notExecuted) {
      discard(response.value, attempt);
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

  /** Why the request may no longer be sent; it may have waited meanwhile. */
  get #obstacle(): NextStep | undefined {
    if (this.#context.blockedMilliseconds > 0) return "blocked";
    if (this.#context.isKeyRemoved) return KEY_REMOVED;
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
    const { mostAttempts, repeat, resumable } = this.#context.route;
    const isRepeatable = repeat === "idempotent" ||
      (repeat === "stream" && resumable);
    return isRepeatable && this.#runs < mostAttempts;
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
      discard(response, attempt);
      return "again";
    }
    this.#firstByteAt ??= this.#context.dependencies.timer.now();
    const observed = this.#observePace(response, attempt);
    const end = await this.#relay.pipe(observed, attempt);
    if (this.#context.settled) return "delivered";
    if (end === "whole") return this.#finish(head.status);
    if (end === "mismatch") this.#reportMismatch(response);
    return this.#afterBrokenResponse();
  }

  /** Learns the engine's steps from the response, in pools with work factors. */
  #observePace(
    response: EndpointResponse,
    { endpoint }: ForwardAttempt,
  ): EndpointResponse {
    const { dependencies, pool, request, route } = this.#context;
    const { load, loadReports, roleWork, timer } = dependencies;
    const asked = request.prompt?.mostOutputTokens ?? 0;
    const isObserved = this.#isEngineWork && route.repeat === "stream" &&
      response.head.status === 200 && loadReports.hasWorkFactor(pool.name);
    if (!isObserved) return response;
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
    if (response.head.status >= 500) discard(response, attempt);
    else attempt.abort();
    return this.#afterBrokenResponse();
  }

  #reportMismatch({ head }: EndpointResponse): void {
    this.#context.report("stream_mismatch", {
      status: head.status,
      lastEventId: this.#relay.lastEventId ?? "",
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
    const mayResume = repeat === "stream" && this.#relay.isResumable &&
      this.#mayRunAgain() && this.#mayResend("cut");
    if (mayResume) {
      this.#context.report("resumed", {
        lastEventId: this.#relay.lastEventId ?? "",
      });
      return "again";
    }
    this.#settle();
    this.#sink.abort();
    this.#context.report("cut", { reason: "endpoint_broke_off" });
    return "delivered";
  }

  #finish(status: number): NextStep {
    this.#settle();
    this.#sink.finish();
    const { arrived, elapsedMilliseconds, sends } = this.#context;
    this.#context.report("answered", {
      status,
      firstByteMilliseconds: Math.round((this.#firstByteAt ?? 0) - arrived),
      milliseconds: Math.round(elapsedMilliseconds),
      sends,
    });
    return "delivered";
  }

  /** The deadline of the caller or the route has passed. */
  #onDeadline(): void {
    if (this.#context.settled) return;
    this.#settle();
    if (this.#mayBeRunning) this.#noteServiceStarted();
    this.#attempt?.abort();
    if (this.#relay.headSent) {
      this.#sink.abort();
      this.#context.report("cut", { reason: "deadline" });
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
    this.#context.report("caller_gone", { sends: this.#context.sends });
  }

  #refuse(reason: string, facts: AdmissionFacts = {}): void {
    // A lost run may still be in progress, so a refusal that claims that the
    // request did not run could be false.
    if (this.#runs > 0) return this.#refuseAsUnknown();
    this.#settle();
    if (this.#relay.headSent) return this.#sink.abort();
    if (reason === KEY_REMOVED) return this.#respond({ status: 401, reason });
    // A blocked caller is blocked at every entry, so the refusal is not
    // recorded.
    if (reason !== BLOCKED) this.#context.noteRefusal();
    const retryAfterMilliseconds = this.#retryAfterMilliseconds(reason);
    this.#respond({ status: 503, reason, retryAfterMilliseconds }, facts);
  }

  /** When a retry is useful, in milliseconds. */
  #retryAfterMilliseconds(reason: string): number {
    const { random } = this.#context.dependencies;
    if (reason === "entry_full") {
      return OTHER_ENTRY_RETRY_AFTER_MILLISECONDS +
        OTHER_ENTRY_RETRY_SPREAD_MILLISECONDS * random();
    }
    if (reason === BLOCKED) return this.#context.blockedMilliseconds;
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
      this.#context.report("cut", { reason: "unknown" });
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
    this.#handover.release();
    this.#context.arrivals.release();
  }
}

/**
 * Reads a response to its end without using it, so that the connection can be
 * reused.
 */
function discard(response: EndpointResponse, attempt: ForwardAttempt): void {
  response.read(() => {}, (end) => attempt.onEnd(end, response.head.status));
}

function canDecode(endpoint: Pick<RegisteredEndpoint, "role">): boolean {
  return !isPrefillEngine(endpoint);
}
