import { err, type Result } from "neverthrow";
import { LoadShedder, refusal } from "../admission/mod.ts";
import type { EndpointId } from "../identity/mod.ts";
import type { Observe } from "../observation/mod.ts";
import type { Random } from "../random/mod.ts";
import type { Refusal, RequestProfile } from "../requests/mod.ts";
import { RetryBudget } from "../retry/mod.ts";
import type { TimerService } from "../time/mod.ts";
import type { Inventory } from "../../generated/inventory.ts";
import type { SideReport } from "../../generated/messages.ts";
import type { Rules } from "../../generated/rules.ts";
import { DEFAULT_POLICY, type SchedulingPolicy } from "./policy.ts";
import { PoolScheduler } from "./pool_scheduler.ts";
import type { PoolDemand, Scheduler, WaitingRequest } from "./scheduler.ts";

export interface SchedulerLimits {
  /** Maximum number of requests that wait at this entry. */
  readonly mostQueued: number;
  /**
   * Maximum number of requests of one workspace that wait in a pool at this
   * entry.
   */
  readonly mostQueuedPerWorkspace: number;
}

export interface SchedulerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly availabilityZone: string;
  readonly limits: SchedulerLimits;
  /**
   * Distinguishes this entry's subset of endpoints from those of other entries.
   */
  readonly name?: string;
  /** Entries that place on the same endpoints, this one included. */
  readonly entriesSharing?: () => number;
  readonly policy?: SchedulingPolicy;
  readonly observe?: Observe;
}

/** Creates the scheduler of one entry. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  return new EntryScheduler(options);
}

class EntryScheduler implements Scheduler {
  readonly #options: SchedulerOptions;
  readonly #pools = new Map<string, PoolScheduler>();
  readonly #byEndpoint = new Map<string, PoolScheduler>();
  readonly #retryBudget = new RetryBudget();
  readonly #loadShedder = new LoadShedder();

  constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#sum((pool) => pool.waiting);
  }

  get running(): number {
    return this.#sum((pool) => pool.running);
  }

  configure(inventory: Inventory, rules: Rules): void {
    this.#byEndpoint.clear();
    for (const pool of inventory.pools) {
      const existing = this.#pools.get(pool.name);
      existing?.configure(pool, rules);
      const scheduler = existing ?? new PoolScheduler(pool, rules, {
        timer: this.#options.timer,
        random: this.#options.random,
        availabilityZone: this.#options.availabilityZone,
        salt: this.#options.name ?? this.#options.availabilityZone,
        policy: this.#options.policy ?? DEFAULT_POLICY,
        onAnswered: () => this.#retryBudget.recordSuccess(),
        entriesSharing: this.#options.entriesSharing ?? (() => 1),
      });
      this.#pools.set(pool.name, scheduler);
      for (const { id } of pool.endpoints) this.#byEndpoint.set(id, scheduler);
    }
    this.#removePoolsNotIn(inventory);
  }

  submit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    const pool = this.#pools.get(profile.pool);
    if (pool === undefined) return err(refusal("not_configured"));
    pool.recordArrival(profile);
    const rank = pool.rank(profile.className);
    if (this.#loadShedder.shouldShed(rank, pool.ranks)) {
      return err(pool.refuse(profile, "overloaded_entry"));
    }
    const { mostQueued, mostQueuedPerWorkspace } = this.#options.limits;
    if (pool.waitingForWorkspace(profile.workspace) >= mostQueuedPerWorkspace) {
      return err(pool.refuse(profile, "share_exhausted"));
    }
    if (this.waiting >= mostQueued && !pool.evictLessUrgent(profile)) {
      return err(pool.refuse(profile, "saturated"));
    }
    return pool.submit(profile);
  }

  resubmit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    const pool = this.#pools.get(profile.pool);
    if (pool === undefined) return err(refusal("not_configured"));
    if (!this.#retryBudget.tryAcquire()) {
      return err(pool.refuse(profile, "saturated"));
    }
    return pool.submit(profile);
  }

  report(report: SideReport, receivedAt: number): void {
    const pool = this.#byEndpoint.get(report.endpoint);
    const view = pool?.endpointView(report.endpoint as EndpointId);
    view?.applyReport(report, receivedAt);
    pool?.recheck();
  }

  suspect(endpoint: EndpointId, suspected: boolean): void {
    const pool = this.#byEndpoint.get(endpoint);
    pool?.endpointView(endpoint)?.setSuspected(suspected);
    pool?.recheck();
  }

  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void {
    this.#byEndpoint.get(endpoint)?.cacheEvent(endpoint, event);
  }

  loopDelay(milliseconds: number): void {
    this.#loadShedder.recordLoopDelay(milliseconds);
  }

  demand(): readonly PoolDemand[] {
    return [...this.#pools].map(([name, pool]) => pool.demand(name));
  }

  #sum(count: (pool: PoolScheduler) => number): number {
    let sum = 0;
    for (const pool of this.#pools.values()) sum += count(pool);
    return sum;
  }

  #removePoolsNotIn(inventory: Inventory): void {
    const names = new Set(inventory.pools.map((pool) => pool.name));
    for (const [name, pool] of this.#pools) {
      if (names.has(name)) continue;
      pool.refuseAll();
      this.#pools.delete(name);
    }
  }
}
