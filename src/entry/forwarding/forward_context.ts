import {
  type ForwardedRequest,
  isResumable,
  type NextAttempt,
  type PauseBound,
  type Pool,
  type PromptDemand,
  type RegisteredEndpoint,
  RequestArrivals,
  RequestShare,
  type Route,
  type RouteTimeHandle,
  type SendStep,
  type StreamOrigin,
  type Workspace,
} from "../../core/forwarding/mod.ts";
import type {
  EndpointId,
  PartDigest,
  RequestDigest,
  SuspectDigest,
} from "../../core/identity/mod.ts";
import type { Admission, CrashPass } from "./crashes/mod.ts";
import type { ForwardingDecision } from "./observer.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import { LimitAdmission } from "./limit_admission.ts";
import { StreamWriter } from "./stream_writer.ts";

/**
 * Maximum number of sends of one request regardless of the retry budget, so
 * that a request that every endpoint rejects ends before its deadline.
 */
const MAX_SENDS = 4;
/**
 * Remaining time below which another send is pointless: the network round trip
 * plus the shortest processing time of an endpoint.
 */
const MIN_USEFUL_MILLISECONDS = 20;

const NO_CRASHES: ReadonlyMap<SuspectDigest, number> = new Map();

/**
 * Returns a callback that ends its request if the given one throws. A throw in
 * a callback of a socket or a timer would otherwise end the process.
 */
export type Guard = <Values extends unknown[]>(
  callback: (...values: Values) => void,
) => (...values: Values) => void;

/** A request to forward, with its route and pool. */
export interface ForwardTask {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly pool: Pool;
  /** Absent where the caller needs no key. */
  readonly workspace?: Workspace;
  /** When the request arrived, unread or not. */
  readonly arrived: number;
  /** What has begun the stream that the caller takes up, if it takes up one. */
  readonly origin?: StreamOrigin;
}

/** State of one request, shared by the steps that forward it. */
export class ForwardContext {
  readonly dependencies: ForwardingDependencies;
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly pool: Pool;
  readonly workspace: Workspace | undefined;
  readonly arrived: number;
  /** Time that the caller and the route allow, in milliseconds. */
  readonly allowedMilliseconds: number;
  /** Time that the caller spent waiting in earlier, refused attempts. */
  readonly waitedMilliseconds: number;
  /** Arrivals of this request at its pool, counted for the retry budget. */
  readonly arrivals: RequestArrivals;
  /** Absent unless the pool has fair shares and the caller a workspace. */
  readonly share: RequestShare | undefined;
  /** Which replicas may write the response. */
  readonly writer: StreamWriter;
  /** Number of sends to endpoints that run the request. */
  sends = 0;
  /** True once the caller has its response or has disconnected. */
  settled = false;
  /** True once an endpoint may have crashed with the request. */
  hasLostRun = false;
  /** Ends the request if the callback throws, and nothing else. */
  readonly guard: Guard;
  /** Trials of the request. */
  readonly crashPass: CrashPass;
  readonly #rejectedBy = new Set<EndpointId>();
  /** Addresses to which the request was sent, for a prefill or a run. */
  readonly #sentTo = new Set<string>();
  readonly #admission: LimitAdmission;
  /** Sends whose time is being measured. */
  readonly #times = new Map<SendStep, RouteTimeHandle>();
  #digest: RequestDigest | undefined;
  #partDigests: readonly PartDigest[] | undefined;
  #hasStarted = false;
  #hasNotedDemand = false;

  constructor(
    dependencies: ForwardingDependencies,
    task: ForwardTask & { readonly guard: Guard },
  ) {
    const { request, route } = task;
    this.dependencies = dependencies;
    this.request = request;
    this.route = route;
    this.pool = task.pool;
    this.workspace = task.workspace;
    this.guard = task.guard;
    this.writer = new StreamWriter(dependencies, task);
    this.crashPass = dependencies.crashGate.createPass();
    this.arrived = task.arrived;
    this.arrivals = new RequestArrivals(
      dependencies.retryBudget,
      task.pool.name,
    );
    this.allowedMilliseconds = Math.min(
      request.deadlineMilliseconds ?? Infinity,
      route.timeoutMilliseconds,
    );
    this.#admission = new LimitAdmission(dependencies, {
      pool: task.pool.name,
      rank: this.rank,
    });
    this.waitedMilliseconds = dependencies.returningCallers
      .elapsedSinceFirstAttempt(
        this.#lastPartId,
      );
    this.share = this.#makeShare();
  }

  #makeShare(): RequestShare | undefined {
    const { dependencies, pool, request, workspace } = this;
    const hasShares = workspace !== undefined && pool.engine !== undefined &&
      request.prompt !== undefined &&
      dependencies.loadReports.isAdaptive(pool.name);
    if (!hasShares) return undefined;
    return new RequestShare(dependencies.shares.forPool(pool.name), {
      workspace: workspace.id,
      rank: this.rank,
      isReturning: this.waitedMilliseconds > 0,
      isDue: dependencies.returningCallers.isDue(this.#lastPartId),
    });
  }

  /** Priority of the request; 0 is the most urgent. */
  get rank(): number {
    return this.workspace?.rank ?? this.route.rank;
  }

  /**
   * True once the key that authenticated the caller is no longer configured.
   */
  get isKeyRemoved(): boolean {
    if (this.workspace === undefined) return false;
    const keys = this.dependencies.routes()?.keys;
    const { credentials } = this.request;
    return keys !== undefined && credentials.kind === "key" &&
      keys.find(credentials.digest) === undefined;
  }

  /**
   * Bound on the pauses in the streams of the pool; undefined where placement
   * does not bound them.
   */
  get pauseBound(): PauseBound | undefined {
    const { loadReports, routes } = this.dependencies;
    const isBounded = this.route.maxPauseMilliseconds !== undefined &&
      loadReports.isAdaptive(this.pool.name);
    return isBounded ? routes()?.pauseBound(this.pool.name) : undefined;
  }

  /** Id of the last part of the prompt, which identifies a returning caller. */
  get #lastPartId(): string | undefined {
    return this.request.prompt?.parts.at(-1)?.id;
  }

  /**
   * Time for which the request is blocked, as it or a part of its prompt crashes
   * endpoints, in milliseconds.
   */
  get blockedMilliseconds(): number {
    const { crashes } = this.dependencies;
    return crashes.size === 0 ? 0 : crashes.blockedMilliseconds(this.suspects);
  }

  /** Settles when the request may be sent, as far as crashes are concerned. */
  async admit(): Promise<Admission> {
    if (this.dependencies.crashes.size === 0) return "admitted";
    if (this.blockedMilliseconds > 0) return "blocked";
    // A trial needs an endpoint; without one the request is refused for that.
    if (this.endpoints().length === 0) return "admitted";
    return await this.crashPass.admit({
      digests: this.suspects,
      remainingMilliseconds: this.remainingToFirstByteMilliseconds,
      isSettled: () => this.settled,
    });
  }

  /** True if the request has to wait for a trial before it is sent. */
  get needsTrial(): boolean {
    const { crashes } = this.dependencies;
    return crashes.size > 0 && this.crashPass.needsTrial(this.suspects);
  }

  /** Successive crashes attributed to what the request holds, as known here. */
  knownCrashes(): ReadonlyMap<SuspectDigest, number> {
    const { crashes } = this.dependencies;
    if (crashes.size === 0) return NO_CRASHES;
    return new Map(
      this.suspects.map((digest) => [digest, crashes.crashCount(digest)]),
    );
  }

  /** What endpoints may crash on: the request itself and its shared parts. */
  get suspects(): readonly SuspectDigest[] {
    return [this.digest, ...this.partDigests];
  }

  /**
   * Digests of the parts of the prompt that other requests share. The last part
   * is the request's own, which the digest of the request covers.
   */
  get partDigests(): readonly PartDigest[] {
    const { partDigestOf } = this.dependencies;
    this.#partDigests ??= this.request.prompt?.parts.slice(0, -1)
      .map(({ id }) => partDigestOf(this.pool.name, id)) ?? [];
    return this.#partDigests;
  }

  /**
   * Digest that identifies a repeated request; hashes the body on first use.
   */
  get digest(): RequestDigest {
    this.#digest ??= this.dependencies.digestOf(this.request);
    return this.#digest;
  }

  /**
   * Records a refusal, since the caller may retry at any entry;
   * `dueInMilliseconds` is the time until its reservation, if it has one.
   */
  noteRefusal(dueInMilliseconds?: number): void {
    const partId = this.#lastPartId;
    if (partId === undefined) return;
    const waited = this.waitedMilliseconds + this.elapsedMilliseconds;
    this.dependencies.returningCallers.record(
      partId,
      waited,
      dueInMilliseconds,
    );
  }

  /** True if a stream has begun that no endpoint in service may continue. */
  get isWriterGone(): boolean {
    return this.writer.hasBegun && this.writer.isGone(this.#inService());
  }

  /** True if endpoints are in service, and all of versions not listed yet. */
  get isVersionUnlisted(): boolean {
    const { versions } = this.dependencies;
    return versions.hasUnlisted &&
      this.writer.isUnlisted(this.#allInService());
  }

  /** Time until the deadline, in milliseconds. */
  get remainingMilliseconds(): number {
    return this.arrived + this.allowedMilliseconds -
      this.dependencies.timer.now();
  }

  /**
   * Time until the caller gives up waiting for a first byte, in milliseconds.
   */
  get remainingToFirstByteMilliseconds(): number {
    const { patienceMilliseconds = Infinity } = this.route;
    return Math.min(
      this.remainingMilliseconds,
      patienceMilliseconds - this.elapsedMilliseconds,
    );
  }

  /** True if the caller can't be sent a first byte any more. */
  get isOverdue(): boolean {
    return this.remainingToFirstByteMilliseconds < MIN_USEFUL_MILLISECONDS;
  }

  /** Time since the request arrived, in milliseconds. */
  get elapsedMilliseconds(): number {
    return this.dependencies.timer.now() - this.arrived;
  }

  /** False if a stopping entry would cut the response to this send. */
  maySend(step: SendStep): boolean {
    return this.dependencies.plannedStop.maySend({
      route: this.route.name,
      step,
      boundMilliseconds: this.remainingMilliseconds,
    });
  }

  /**
   * Starts to measure a send. A prefill is measured to the end of the response
   * that its run yields.
   */
  startTime(step: SendStep): void {
    this.cancelTime(step);
    const { routeTimes } = this.dependencies.plannedStop;
    this.#times.set(step, routeTimes.start(this.route.name, step));
  }

  /** Records how long the response took, or has taken until now. */
  recordTimes(): void {
    for (const time of this.#times.values()) time.end();
  }

  /** Ends the measurement of a send that has yielded no response. */
  cancelTime(step: SendStep): void {
    this.#times.get(step)?.cancel();
  }

  /** Ends the measurement; sends that have not been recorded don't count. */
  cancelTimes(): void {
    for (const time of this.#times.values()) time.cancel();
  }

  /** Endpoints of the pool that accept new work. */
  endpoints(): RegisteredEndpoint[] {
    const { availability } = this.dependencies;
    const ready = this.#inService().filter(({ id }) =>
      availability.remainingOverloadMilliseconds(id) === 0
    );
    return this.#admission.filterAdmitting(ready);
  }

  /**
   * Time in milliseconds until one of the matching endpoints that are
   * overloaded or at their request limit accepts work; 0 if one does now,
   * infinite if there is none.
   */
  overloadMilliseconds(
    matches: (endpoint: RegisteredEndpoint) => boolean = () => true,
  ): number {
    const { availability } = this.dependencies;
    const matching = this.#inService().filter(matches);
    const limitWaits = this.#admission.predictWaits(matching);
    const waits = matching.map(({ id }, index) =>
      Math.max(
        limitWaits[index],
        availability.remainingOverloadMilliseconds(id),
      )
    );
    return Math.min(Infinity, ...waits);
  }

  /**
   * Time in milliseconds before which none of the matching endpoints accepts
   * work, however few requests wait for it; infinite if there is none.
   */
  earliestMilliseconds(
    matches: (endpoint: RegisteredEndpoint) => boolean,
  ): number {
    const { availability } = this.dependencies;
    const waits = this.#inService().filter(matches).map((endpoint) =>
      Math.max(
        this.#admission.earliestMilliseconds(endpoint),
        availability.remainingOverloadMilliseconds(endpoint.id),
      )
    );
    return Math.min(Infinity, ...waits);
  }

  /** True if all of the matching endpoints have a request limit. */
  isLimited(matches: (endpoint: RegisteredEndpoint) => boolean): boolean {
    const { limits, permits } = this.dependencies;
    if (limits.isEmpty) return false;
    const matching = this.#inService().filter(matches);
    return matching.length > 0 &&
      matching.every(({ id }) => permits.isLimited(id));
  }

  /** Takes a permit where the endpoint has a request limit. */
  takePermit(endpoint: RegisteredEndpoint): Promise<boolean> {
    return this.#admission.takePermit(endpoint);
  }

  /** Returns the permit of a request that was not sent. */
  releasePermit(endpoint: RegisteredEndpoint): void {
    this.dependencies.permits.release(endpoint);
  }

  /** True if the endpoint may get the request for which it has a permit. */
  isInService({ id, startedAt }: RegisteredEndpoint): boolean {
    const { availability } = this.dependencies;
    return availability.remainingOverloadMilliseconds(id) === 0 &&
      this.#inService().some((each) =>
        each.id === id && each.startedAt === startedAt
      );
  }

  /** Starts a new check for permits, after an earlier one was denied. */
  resetPermitDenials(): void {
    this.#admission.resetDenials();
  }

  /** Runs a wait for a permit of the matching endpoints, in order of rank. */
  queueForPermit<Outcome>(
    endpoint: Pick<RegisteredEndpoint, "role">,
    wait: () => Promise<Outcome>,
  ): Promise<Outcome> {
    return this.#admission.queue(endpoint, wait);
  }

  /** Endpoints in service that may write the response, or prefill for it. */
  #inService(): readonly RegisteredEndpoint[] {
    return this.writer.filter(this.#allInService());
  }

  #allInService(): RegisteredEndpoint[] {
    const { isChanging, registry } = this.dependencies;
    const isEnginePool = this.pool.engine !== undefined;
    return registry.inPool(this.pool.name).filter(({ id, role }) =>
      !isChanging(id) && (!isEnginePool || role !== undefined)
    );
  }

  /** Records a send; true if the request was sent to the address before. */
  recordSend(address: string): boolean {
    const isRepeated = this.#sentTo.has(address);
    this.#sentTo.add(address);
    return isRepeated;
  }

  /** Records that the endpoint rejected or lost this request. */
  noteRejection(endpoint: EndpointId): void {
    this.#rejectedBy.add(endpoint);
  }

  /**
   * Records that the endpoint failed this request. In pools whose outcomes are
   * judged across the fleet, a retry avoids it.
   */
  noteFailure(endpoint: RegisteredEndpoint): void {
    if (this.dependencies.outcomes.isInUse(endpoint)) {
      this.noteRejection(endpoint.id);
    }
  }

  /** Returns the endpoint that this request has to probe, if one is due. */
  claimProbe(
    endpoints: readonly RegisteredEndpoint[],
  ): RegisteredEndpoint | undefined {
    const { availability, outcomes } = this.dependencies;
    if (!outcomes.hasOwnVerdicts) return undefined;
    const { mostAttempts, repeat } = this.route;
    const isRepeatable = mostAttempts > 1 &&
      (repeat === "idempotent" || isResumable(this.route));
    const reachable = this.withoutRejecting(endpoints).filter((each) =>
      availability.filterHealthy([each]).length > 0
    );
    return outcomes.claimProbe(reachable, { isRepeatable });
  }

  /** Prefers endpoints that have not rejected this request. */
  preferUntried(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const others = this.withoutRejecting(endpoints);
    return others.length > 0 ? others : endpoints;
  }

  /** Endpoints that have not rejected this request. */
  withoutRejecting(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    return endpoints.filter(({ id }) => !this.#rejectedBy.has(id));
  }

  /**
   * Checks the send limit, the remaining time, a planned stop and the shared
   * retry budget before another send to the pool.
   */
  mayResend(reason: string, next: NextAttempt): boolean {
    const allowed = this.sends < MAX_SENDS &&
      this.remainingMilliseconds >= MIN_USEFUL_MILLISECONDS &&
      this.maySend(next.prefill ? "prefill" : "run") &&
      this.arrivals.reserve(next);
    const { counted, allowed: limit } = this.dependencies.retryBudget.usageOf(
      this.pool.name,
    );
    this.report(allowed ? "resent" : "not_resent", {
      reason,
      repeatsCounted: counted,
      repeatsAllowed: Math.floor(limit),
    });
    return allowed;
  }

  /** Records once when an endpoint started to run the request. */
  noteStarted(at: number): void {
    if (this.#hasStarted || this.workspace === undefined) return;
    this.#hasStarted = true;
    this.dependencies.noteStarted(this.workspace.id, at);
  }

  /** True if what the caller asks is still to be recorded. */
  get isDemandUnknown(): boolean {
    const { loadReports, roleWork } = this.dependencies;
    return roleWork !== undefined && !this.#hasNotedDemand &&
      this.waitedMilliseconds === 0 &&
      this.request.prompt !== undefined && this.pool.engine !== undefined &&
      loadReports.isAdaptive(this.pool.name);
  }

  /**
   * Records once what the caller asks of an adaptive engine pool. A caller that
   * returns after a refusal was counted then.
   */
  noteDemand(
    work: Pick<PromptDemand, "prefillMilliseconds" | "inlineMilliseconds">,
  ): void {
    const { prompt } = this.request;
    if (!this.isDemandUnknown || prompt === undefined) return;
    this.#hasNotedDemand = true;
    this.dependencies.roleWork?.recordPrompt(this.pool.name, {
      ...work,
      inputTokens: prompt.inputTokens,
      outputTokens: prompt.mostOutputTokens,
    });
  }

  /** Reports a decision on this request. */
  report(
    decision: ForwardingDecision,
    facts: Readonly<Record<string, unknown>>,
  ): void {
    this.dependencies.observe(decision, {
      requestId: this.request.id,
      route: this.route.name,
      ...facts,
    });
  }
}
