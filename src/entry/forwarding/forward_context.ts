import {
  type ForwardedRequest,
  type NextSends,
  type Pool,
  type RegisteredEndpoint,
  RequestArrivals,
  type Route,
  type Workspace,
} from "../../core/forwarding/mod.ts";
import type { EndpointId, RequestDigest } from "../../core/identity/mod.ts";
import type { ForwardingDecision } from "./observer.ts";
import type { ForwardingParts } from "./parts.ts";

/**
 * Sends of one request in all, whatever the retry budget, so that one that
 * every endpoint rejects ends before its deadline.
 */
const MAX_SENDS = 4;
/**
 * Time under which another send is not worth it: the way to an endpoint and
 * back, and the shortest work there.
 */
const MIN_USEFUL_MILLISECONDS = 20;

/** What is being forwarded, and where it may go. */
export interface ForwardTask {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly pool: Pool;
  /** Absent where the caller needs no key. */
  readonly workspace?: Workspace;
}

/** One request's facts and books, shared by the steps of its run. */
export class ForwardContext {
  readonly parts: ForwardingParts;
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly pool: Pool;
  readonly workspace: Workspace | undefined;
  readonly arrived: number;
  /** Time that the caller and the route allow, milliseconds. */
  readonly allowedMilliseconds: number;
  /** How long the caller had waited before, in earlier attempts. */
  readonly waitedMilliseconds: number;
  /** What has reached the pool of this request. */
  readonly arrivals: RequestArrivals;
  /** Runs that were sent to endpoints. */
  sends = 0;
  /** True once the caller has its answer or has gone. */
  settled = false;
  readonly #rejectedBy = new Set<EndpointId>();
  #digest: RequestDigest | undefined;
  #hasStarted = false;

  constructor(parts: ForwardingParts, task: ForwardTask) {
    const { request, route } = task;
    this.parts = parts;
    this.request = request;
    this.route = route;
    this.pool = task.pool;
    this.workspace = task.workspace;
    this.arrived = parts.timer.now();
    this.arrivals = new RequestArrivals(parts.allowance, task.pool.name);
    this.allowedMilliseconds = Math.min(
      request.deadlineMilliseconds ?? Infinity,
      route.timeoutMilliseconds,
    );
    this.waitedMilliseconds = parts.returning.waited(this.#lastPartId);
  }

  /** How urgent the request is; 0 is the most urgent. */
  get rank(): number {
    return this.workspace?.rank ?? this.route.rank;
  }

  /** True once the key that let the caller in has been taken away. */
  get isKeyRemoved(): boolean {
    if (this.workspace === undefined) return false;
    const keys = this.parts.routes()?.keys;
    const { credentials } = this.request;
    return keys !== undefined && credentials.kind === "key" &&
      keys.find(credentials.digest) === undefined;
  }

  /** The part of the prompt by which its caller is known again. */
  get #lastPartId(): string | undefined {
    return this.request.prompt?.parts.at(-1)?.id;
  }

  /** How long the request is refused for crashing endpoints, milliseconds. */
  get blockedMilliseconds(): number {
    const { crashes } = this.parts;
    return crashes.size === 0 ? 0 : crashes.blockedMilliseconds(this.digest);
  }

  /** Crashes under the request one after another, as far as known here. */
  get knownCrashes(): number {
    const { crashes } = this.parts;
    return crashes.size === 0 ? 0 : crashes.crashesUnder(this.digest);
  }

  /** By what the request is known when it comes again; hashes its body. */
  get digest(): RequestDigest {
    this.#digest ??= this.parts.digestOf(this.request);
    return this.#digest;
  }

  /** The request is refused; its caller may come back to any entry. */
  noteRefusal(): void {
    const partId = this.#lastPartId;
    if (partId === undefined) return;
    const waited = this.waitedMilliseconds + this.elapsedMilliseconds;
    this.parts.returning.refused(partId, waited);
  }

  /** Time until the deadline, milliseconds. */
  get remainingMilliseconds(): number {
    return this.arrived + this.allowedMilliseconds - this.parts.timer.now();
  }

  /** Time until the caller leaves if nothing has come by then, milliseconds. */
  get remainingToFirstByteMilliseconds(): number {
    const { patienceMilliseconds = Infinity } = this.route;
    return Math.min(
      this.remainingMilliseconds,
      patienceMilliseconds - this.elapsedMilliseconds,
    );
  }

  /** Time since the request's arrival, milliseconds. */
  get elapsedMilliseconds(): number {
    return this.parts.timer.now() - this.arrived;
  }

  /** Endpoints of the pool that take new work. */
  endpoints(): RegisteredEndpoint[] {
    const { outcomes } = this.parts;
    return this.#inService().filter(({ id }) =>
      outcomes.overloadMilliseconds(id) === 0
    );
  }

  /**
   * Time until one of these takes work that has said that it is overloaded,
   * milliseconds; 0 where one does now, infinite where there is none.
   */
  overloadMilliseconds(
    matches: (endpoint: RegisteredEndpoint) => boolean = () => true,
  ): number {
    const { outcomes } = this.parts;
    const waits = this.#inService().filter(matches)
      .map(({ id }) => outcomes.overloadMilliseconds(id));
    return Math.min(Infinity, ...waits);
  }

  #inService(): RegisteredEndpoint[] {
    const { isChanging, registry } = this.parts;
    const isEnginePool = this.pool.engine !== undefined;
    return registry.inPool(this.pool.name).filter(({ id, role }) =>
      !isChanging(id) && (!isEnginePool || role !== undefined)
    );
  }

  /** The endpoint has turned this request away or lost it. */
  noteRejection(endpoint: EndpointId): void {
    this.#rejectedBy.add(endpoint);
  }

  /** Prefers endpoints that have not turned this request away. */
  preferUntried(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const others = this.withoutRejecting(endpoints);
    return others.length > 0 ? others : endpoints;
  }

  /** Endpoints that have not turned this request away. */
  withoutRejecting(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    return endpoints.filter(({ id }) => !this.#rejectedBy.has(id));
  }

  /** Asks the shared allowance, for what reaches the pool once more. */
  mayResend(reason: string, next: NextSends): boolean {
    const allowed = this.sends < MAX_SENDS &&
      this.remainingMilliseconds >= MIN_USEFUL_MILLISECONDS &&
      this.arrivals.cover(next);
    const { counted, allowed: limit } = this.parts.allowance.use(
      this.pool.name,
    );
    this.report(allowed ? "resent" : "not_resent", {
      reason,
      repeatsCounted: counted,
      repeatsAllowed: Math.floor(limit),
    });
    return allowed;
  }

  /** An endpoint began to run the request at this moment; counts once. */
  noteStarted(at: number): void {
    if (this.#hasStarted || this.workspace === undefined) return;
    this.#hasStarted = true;
    this.parts.began(this.workspace.id, at);
  }

  /** Tells of a decision on this request. */
  report(
    decision: ForwardingDecision,
    facts: Readonly<Record<string, unknown>>,
  ): void {
    this.parts.observe(decision, {
      requestId: this.request.id,
      route: this.route.name,
      ...facts,
    });
  }
}
