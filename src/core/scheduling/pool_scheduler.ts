import PQueue from "p-queue";
import { err, ok, type Result } from "neverthrow";
import { refusal } from "../admission/mod.ts";
import type { EndpointId } from "../identity/mod.ts";
import { EndpointView, type PlacementQuery, Placer } from "../placement/mod.ts";
import { type QueueOptions, RequestQueue } from "../queueing/mod.ts";
import type { Random } from "../random/mod.ts";
import type { Refusal, RequestProfile } from "../requests/mod.ts";
import { retryAfterMilliseconds } from "../retry/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";
import type { EngineCharacteristics, Pool } from "../../generated/inventory.ts";
import type { Rules, WorkClass } from "../../generated/rules.ts";
import { DemandWindow } from "./demand_window.ts";
import {
  type CompletionEstimate,
  CompletionPredictor,
} from "./completion_predictor.ts";
import type { SchedulingPolicy } from "./policy.ts";
import { createEndpointViews } from "./pool_endpoints.ts";
import { PoolStatistics } from "./pool_statistics.ts";
import { RoleAllocator } from "./role_allocator.ts";
import type {
  AttemptSummary,
  Placement,
  PoolDemand,
  WaitingRequest,
} from "./scheduler.ts";

export interface PoolSchedulerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly availabilityZone: string;
  readonly salt: string;
  readonly policy: SchedulingPolicy;
  readonly entriesSharing: () => number;
  /** Called for every complete answer; successes refill the retry budget. */
  readonly onAnswered: () => void;
}

/** A request from its admission to the end of its attempt. */
interface AdmittedRequest {
  readonly profile: RequestProfile;
  readonly rank: number;
  readonly cost: number;
  readonly outputTokens: number;
  readonly submittedAt: number;
  /**
   * Predicted time to the complete answer, without the learned correction
   * factor.
   */
  readonly predictedMilliseconds: number;
  readonly settle: (result: Result<Placement, Refusal>) => void;
  settled: boolean;
  latestStartTimer?: Subscription;
}

/**
 * Interval at which capacity is checked while requests wait: well below the
 * time to the first token that callers expect, with few timers.
 */
const RECHECK_INTERVAL_MILLISECONDS = 50;
/** Minimum interval between two reviews of the endpoints' health. */
const MIN_REVIEW_INTERVAL_MILLISECONDS = 200;

/** Admission, queueing and placement for one pool of the inventory. */
export class PoolScheduler {
  readonly #options: PoolSchedulerOptions;
  readonly #placer: Placer;
  readonly #statistics: PoolStatistics;
  readonly #roleAllocator = new RoleAllocator();
  readonly #demandWindow = new DemandWindow();
  readonly #predictor: CompletionPredictor;
  readonly #queue: RequestQueue;
  readonly #dispatch: PQueue<RequestQueue, QueueOptions>;
  readonly #waitingById = new Map<string, AdmittedRequest>();
  #classes: readonly WorkClass[];
  #engine: EngineCharacteristics | undefined;
  #reviewedAt = -Infinity;
  #running = 0;
  #recheckScheduled = false;

  constructor(
    pool: Pool,
    rules: Rules,
    options: PoolSchedulerOptions,
  ) {
    const { policy } = options;
    this.#options = options;
    this.#classes = sortByPriority(rules.classes);
    this.#statistics = new PoolStatistics(pool.kind === "service");
    this.#placer = new Placer({ ...policy, ...options });
    this.#queue = new RequestQueue({
      classes: rules.classes,
      defaultShare: policy.defaultShare,
      hasCapacity: (workClass) =>
        this.#placer.canPlace(workClass.name, {
          rank: this.#rankOf(workClass),
          now: this.#now(),
        }),
    });
    this.#predictor = new CompletionPredictor({
      ...options,
      placer: this.#placer,
      queue: this.#queue,
      statistics: this.#statistics,
    });
    this.#dispatch = new PQueue({ queueClass: queueClassFor(this.#queue) });
    this.configure(pool, rules);
  }

  get waiting(): number {
    return this.#queue.waiting;
  }

  get running(): number {
    return this.#running;
  }

  configure(pool: Pool, rules: Rules): void {
    this.#engine = pool.engine;
    this.#classes = sortByPriority(rules.classes);
    this.#queue.setClasses(this.#classes);
    this.#statistics.setInitialOutputs(this.#classes);
    this.#placer.setEndpoints(createEndpointViews(pool, {
      ...this.#options,
      ranks: this.#classes.length,
      existingView: (endpoint) => this.#placer.get(endpoint),
    }));
    this.#dispatchMore();
  }

  endpointView(endpoint: EndpointId): EndpointView | undefined {
    return this.#placer.get(endpoint);
  }

  /**
   * Reviews the endpoints and dispatches requests after a possible change of
   * capacity.
   */
  recheck(): void {
    this.#review();
    this.#dispatchMore();
  }

  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void {
    this.#placer.cacheEvent(endpoint, event);
  }

  demand(pool: string): PoolDemand {
    return this.#demandWindow.read(pool, {
      now: this.#now(),
      waiting: this.#queue.waiting,
    });
  }

  rank(className: string): number {
    const index = this.#classes.findIndex((one) => one.name === className);
    return index === -1 ? this.#classes.length - 1 : index;
  }

  get ranks(): number {
    return this.#classes.length;
  }

  waitingForWorkspace(workspace: string): number {
    return this.#queue.countForWorkspace(workspace);
  }

  /** Records the demand, whatever the outcome of the request. */
  recordArrival(profile: RequestProfile): void {
    this.#updateRoleAllocation();
    this.#demandWindow.recordArrival(this.#now(), {
      className: profile.className,
      promptTokens: this.#statistics.uncachedTokens(profile),
      outputTokens: this.#statistics.expectedOutput(profile),
    });
  }

  /**
   * Refuses the request, with a retry time derived from the queue of its class
   * and the drain rate. An impossible deadline gets no retry time.
   */
  refuse(profile: RequestProfile, reason: Refusal["reason"]): Refusal {
    this.#demandWindow.recordRefusal(this.#now());
    if (reason === "impossible_deadline") return refusal(reason);
    return refusal(
      reason,
      retryAfterMilliseconds(this.#queue.countForClass(profile.className), {
        random: this.#options.random,
        drainPerSecond: this.#predictor.drainPerSecond(
          this.#query(profile),
        ),
      }),
    );
  }

  /** Admits the request to the queue, or refuses it for good. */
  submit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    const query = this.#query(profile);
    if (!this.#placer.hasUsable(query.now)) {
      return err(this.refuse(profile, "no_endpoint"));
    }
    const estimate = this.#predictor.estimate(query);
    const decision = this.#predictor.decide(query, estimate);
    if (decision !== "admit") return err(this.refuse(profile, decision));
    return ok(this.#admit(query, estimate));
  }

  /** Refuses all waiting requests because the pool is no longer in force. */
  refuseAll(): void {
    for (const admitted of [...this.#waitingById.values()]) {
      this.#refuseWaiting(admitted, "not_configured");
    }
  }

  /**
   * Evicts a waiting request of a less urgent class; false if there is none.
   */
  evictLessUrgent(profile: RequestProfile): boolean {
    const priority = this.#classes[this.rank(profile.className)].priority;
    const id = this.#queue.findLessUrgent(priority);
    const admitted = id === undefined ? undefined : this.#waitingById.get(id);
    if (admitted === undefined) return false;
    this.#refuseWaiting(admitted, "saturated");
    return true;
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #rankOf(workClass: WorkClass): number {
    return this.#classes.indexOf(workClass);
  }

  #query(profile: RequestProfile): PlacementQuery {
    return {
      profile,
      rank: this.rank(profile.className),
      outputTokens: this.#statistics.expectedOutput(profile),
      now: this.#now(),
    };
  }

  #admit(
    query: PlacementQuery,
    estimate: CompletionEstimate,
  ): WaitingRequest {
    const { profile, now } = query;
    const { service, cost } = estimate;
    let settle!: (result: Result<Placement, Refusal>) => void;
    const placed = new Promise<Result<Placement, Refusal>>((resolve) => {
      settle = resolve;
    });
    const admitted: AdmittedRequest = {
      profile,
      rank: query.rank,
      cost,
      outputTokens: query.outputTokens,
      submittedAt: now,
      predictedMilliseconds: estimate.wait + service,
      settle,
      settled: false,
    };
    this.#waitingById.set(profile.requestId, admitted);
    const latestStart = profile.deadline - service;
    this.#predictor.recordAdmission(query, cost);
    this.#options.timer.run(() =>
      this.#dispatch.add(() => this.#run(admitted), {
        id: profile.requestId,
        className: profile.className,
        workspace: profile.workspace,
        latestStart,
        cost,
      })
    );
    if (!admitted.settled) {
      this.#scheduleRecheck();
      admitted.latestStartTimer = this.#options.timer.after(
        latestStart - now,
        () => this.#refuseWaiting(admitted, "late"),
      );
    }
    return { placed, cancel: () => this.#refuseWaiting(admitted, "late") };
  }

  /** Refuses a waiting request; has no effect on a placed one. */
  #refuseWaiting(admitted: AdmittedRequest, reason: Refusal["reason"]): void {
    if (admitted.settled) return;
    this.#queue.remove(admitted.profile.requestId);
    this.#settle(admitted, err(this.refuse(admitted.profile, reason)));
  }

  #settle(admitted: AdmittedRequest, result: Result<Placement, Refusal>): void {
    admitted.settled = true;
    admitted.latestStartTimer?.cancel();
    this.#waitingById.delete(admitted.profile.requestId);
    admitted.settle(result);
  }

  /** The job that `p-queue` runs; it ends when the slot is released. */
  #run(admitted: AdmittedRequest): Promise<void> {
    const now = this.#now();
    this.#predictor.recordDispatch(admitted.cost, now);
    const candidate = this.#placer.choose(this.#query(admitted.profile));
    if (candidate === undefined) {
      this.#settle(admitted, err(this.refuse(admitted.profile, "no_endpoint")));
      return Promise.resolve();
    }
    const { view } = candidate;
    const attempt = {
      rank: admitted.rank,
      promptTokens: candidate.promptTokens,
    };
    this.#statistics.recordPlacement(admitted.profile, candidate.promptTokens);
    view.recordAttemptStart(attempt, now);
    if (view.health.mayProbe(now)) view.health.recordProbeStart();
    this.#placer.recordPlacement(view.config.endpoint, admitted.profile);
    this.#running += 1;
    return new Promise((finishJob) => {
      let released = false;
      const release = (summary: AttemptSummary) => {
        if (released) return;
        released = true;
        this.#running -= 1;
        if (summary.result === "answered") this.#options.onAnswered();
        view.recordAttemptEnd(attempt);
        this.#statistics.recordCompletion(
          { ...admitted, candidate, summary, placedAt: now },
          this.#now(),
        );
        this.recheck();
        finishJob();
      };
      this.#settle(
        admitted,
        ok({
          endpoint: view.config.endpoint,
          priority: this.#classes[admitted.rank]?.priority ?? 0,
          release,
        }),
      );
    });
  }

  /** Allocates the classes to the roles by the demand at this entry. */
  #updateRoleAllocation(): void {
    const now = this.#now();
    const { policy } = this.#options;
    if (this.#engine === undefined || !policy.dividesByRole) return;
    if (!this.#roleAllocator.isDue(now)) return;
    const { classes = [] } = this.#demandWindow.read("", { now, waiting: 0 });
    this.#roleAllocator.allocate(this.#placer, {
      now,
      engine: this.#engine,
      classes,
      entriesSharing: Math.max(1, this.#options.entriesSharing()),
      mostUrgent: this.#classes[0].name,
    });
  }

  #review(): void {
    const now = this.#now();
    if (now - this.#reviewedAt < MIN_REVIEW_INTERVAL_MILLISECONDS) return;
    this.#reviewedAt = now;
    this.#placer.review(now);
  }

  /**
   * Capacity becomes free without an event, as prompts are processed and the
   * load of other entries decays. While reports are missing, a queue that
   * waited for one would stall in front of idle endpoints until its requests
   * are late.
   */
  #scheduleRecheck(): void {
    if (this.#recheckScheduled || this.#queue.waiting === 0) return;
    this.#recheckScheduled = true;
    this.#options.timer.after(RECHECK_INTERVAL_MILLISECONDS, () => {
      this.#recheckScheduled = false;
      this.recheck();
      this.#scheduleRecheck();
    });
  }

  /** Setting the concurrency makes `p-queue` start as many jobs as it can. */
  #dispatchMore(): void {
    this.#dispatch.concurrency = Infinity;
  }
}

function sortByPriority(classes: readonly WorkClass[]): WorkClass[] {
  return [...classes].sort((one, other) => one.priority - other.priority);
}

/**
 * `p-queue` constructs its own queue; this class makes it use the given one.
 */
function queueClassFor(queue: RequestQueue): new () => RequestQueue {
  return class {
    constructor() {
      return queue;
    }
  } as unknown as new () => RequestQueue;
}
