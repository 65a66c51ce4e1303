import {
  type EndpointLoadReports,
  type EndpointRegistry,
  type EngineRoleChange,
  type FleetLoad,
  type ObservedWork,
  planPrefillShare,
  planRoles,
  type Pool,
  type RegisteredEndpoint,
  type RegistryChange,
  type RoleWork,
} from "../../core/forwarding/mod.ts";
import type { EndpointId, ServiceName } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import { type TimerService, withTimeout } from "../../core/time/mod.ts";
import type { EndpointClient } from "./network_interfaces.ts";

/** How long the engines must be unchanged before a plan. */
const SETTLE_MILLISECONDS = 2_000;
/**
 * How long a lost engine is expected to come back with its role. Replacing it
 * meanwhile would cost a role change, and another one when it is back.
 */
const RETURN_MILLISECONDS = 7_000;
/**
 * Limits on the requests to health paths before the first plan of a pool, one
 * after another. Unreachable engines delay the first orders by a second.
 */
const MAX_ASKED_ENGINES = 3;
const ANSWER_TIMEOUT_MILLISECONDS = 300;
/**
 * Number of times that no engine answers until a pool is planned by its slots.
 */
const MAX_UNANSWERED = 3;

/** What the planner needs to know; see `RoleControllerOptions`. */
export interface WorkRolePlannerOptions {
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly load: FleetLoad;
  readonly logger: Logger;
  readonly roleWork: RoleWork;
  readonly loadReports: EndpointLoadReports;
  readonly endpointClient: Pick<EndpointClient, "checkHealth">;
  /** True if this entry learns the work of all entries. */
  readonly isPlanner: () => boolean;
  /** Longest pause that the pool's routes allow; undefined if none names one. */
  readonly maxPauseMilliseconds: (pool: ServiceName) => number | undefined;
  /** Speed of an engine relative to its pool; undefined if unknown. */
  readonly speedOf: (engine: EndpointId) => number | undefined;
}

/** A pool's observed work and plan, for logs and metrics. */
export interface PlannedRoles extends ObservedWork {
  readonly pool: ServiceName;
  readonly plannedPrefillEngines: number;
}

/** Plans the roles of adaptive pools by their observed work. */
export class WorkRolePlanner {
  readonly #options: WorkRolePlannerOptions;
  readonly #planned = new Map<ServiceName, PlannedRoles>();
  /** Engines that were lost, and when. */
  readonly #lost = new Map<
    EndpointId,
    { readonly engine: RegisteredEndpoint; readonly at: number }
  >();
  /** Pools that have shown whether they report work factors. */
  readonly #known = new Set<ServiceName>();
  readonly #unanswered = new Map<ServiceName, number>();
  #changedAt: number;

  constructor(options: WorkRolePlannerOptions) {
    this.#options = options;
    this.#changedAt = options.timer.now();
  }

  /** The latest plan of each pool. */
  get planned(): Iterable<PlannedRoles> {
    return this.#planned.values();
  }

  /** True if the pool's roles are planned by its work. */
  isResponsibleFor({ engine, name }: Pool): boolean {
    return engine !== undefined &&
      this.#options.loadReports.isAdaptive(name);
  }

  /** Handles an engine that was added, removed or changed. */
  onEngineChange(engine: RegisteredEndpoint, change: RegistryChange): void {
    const at = this.#options.timer.now();
    this.#changedAt = at;
    const isLost = change === "removed" || change === "leaving";
    if (!isLost) this.#lost.delete(engine.id);
    else if (!this.#lost.has(engine.id)) {
      this.#lost.set(engine.id, { engine, at });
    }
  }

  /** Records the present load of the pool's decode engines. */
  sample({ name }: Pool): void {
    const { load, registry, roleWork } = this.#options;
    const responses = registry.inPool(name)
      .filter(({ role }) => role !== "prefill")
      .reduce((sum, { id }) => sum + load.total(id).requests, 0);
    roleWork.recordOpen(name, responses);
  }

  /**
   * Role changes for the pool; none at entries that don't know the work of all,
   * or while the work is unknown. Engines that were just lost count as present.
   */
  plan(
    { name }: Pool,
    changing: ReadonlyMap<EndpointId, "prefill" | "decode">,
  ): EngineRoleChange[] {
    const { load, registry, roleWork, speedOf } = this.#options;
    if (!this.#options.isPlanner() || !this.#isSettled()) return [];
    const work = roleWork.observed(name);
    if (work === undefined) return [];
    const observed = {
      ...work,
      maxPauseMilliseconds: this.#options.maxPauseMilliseconds(name),
    };
    const engines = registry.inPool(name);
    const roleOf = ({ id, role }: RegisteredEndpoint) =>
      changing.get(id) ?? role;
    const lost = this.#mayReturn(name);
    const all = [...engines, ...lost];
    const share = planPrefillShare(
      observed,
      all.map((engine) => ({
        role: roleOf(engine),
        slots: engine.slots,
        speed: speedOf(engine.id),
      })),
    );
    if (share === undefined) return [];
    const plannedPrefillEngines = Math.round(share * all.length);
    this.#notePlan({ ...observed, pool: name, plannedPrefillEngines });
    const lostPrefill = lost.filter((engine) => roleOf(engine) === "prefill");
    const target = plannedPrefillEngines - lostPrefill.length;
    // The engines of a role are all lost, and may come back.
    if (lost.length > 0 && (target <= 0 || target >= engines.length)) return [];
    return planRoles({
      engines,
      openRequests: (endpoint) => load.total(endpoint).requests,
      changing,
      prefillShare: target / engines.length,
    });
  }

  /**
   * Finds out whether the pool reports work factors, before the first orders to
   * its engines. Returns false while the orders have to wait.
   */
  async mayOrderBySlots({ healthPath, name }: Pool): Promise<boolean> {
    const { loadReports } = this.#options;
    if (healthPath === undefined || this.#known.has(name)) return true;
    if (!await this.#ask(name, healthPath)) {
      const unanswered = 1 + (this.#unanswered.get(name) ?? 0);
      this.#unanswered.set(name, unanswered);
      if (unanswered < MAX_UNANSWERED) return false;
    }
    this.#known.add(name);
    return !loadReports.isAdaptive(name);
  }

  /** Asks one engine after another; false if none answers. */
  async #ask(pool: ServiceName, healthPath: string): Promise<boolean> {
    const { endpointClient, loadReports, logger, registry, timer } =
      this.#options;
    for (const engine of registry.inPool(pool).slice(0, MAX_ASKED_ENGINES)) {
      const sentAt = timer.now();
      const answer = await withTimeout(
        endpointClient.checkHealth(engine, healthPath),
        { timer, milliseconds: ANSWER_TIMEOUT_MILLISECONDS },
      );
      if (answer === undefined || !registry.isSameRun(engine)) continue;
      const { load } = answer;
      const receivedAt = timer.now();
      if (load !== undefined) {
        loadReports.record(engine, { ...load, sentAt, receivedAt });
      }
      logger.info({
        pool,
        endpoint: engine.id,
        hasWorkFactor: load?.workFactor !== undefined,
      }, "Asked an engine whether its pool reports work factors");
      return true;
    }
    return false;
  }

  #isSettled(): boolean {
    return this.#options.timer.now() - this.#changedAt >= SETTLE_MILLISECONDS;
  }

  /** Engines of the pool that were lost and may come back with their roles. */
  #mayReturn(pool: ServiceName): RegisteredEndpoint[] {
    const oldest = this.#options.timer.now() - RETURN_MILLISECONDS;
    for (const [id, { at }] of this.#lost) {
      if (at <= oldest) this.#lost.delete(id);
    }
    return [...this.#lost.values()].map(({ engine }) => engine)
      .filter((engine) => engine.pool === pool);
  }

  #notePlan(plan: PlannedRoles): void {
    const before = this.#planned.get(plan.pool)?.plannedPrefillEngines;
    this.#planned.set(plan.pool, plan);
    if (before === plan.plannedPrefillEngines) return;
    this.#options.logger.info(
      { ...plan, before },
      "Planned the roles of a pool by its observed work",
    );
  }
}
