/** Simulates arrivals, entries, sides, engines and planner on virtual time. */
import {
  type AvailabilityZoneId,
  type EndpointId,
  identifier,
  type RequestId,
  type WorkClassName,
  type WorkspaceId,
} from "../src/core/identity/mod.ts";
import { seededRandom } from "../src/core/random/mod.ts";
import type { RequestProfile } from "../src/core/requests/mod.ts";
import {
  type ClassDemand,
  type RoleCounts,
  RolePlanner,
  type RolePolicy,
} from "../src/core/roles/mod.ts";
import {
  type AttemptSummary,
  createScheduler,
  type Placement,
  type Scheduler,
  type SchedulerOptions,
  type SchedulingPolicy,
  type WaitingRequest,
} from "../src/core/scheduling/mod.ts";
import { ManualTimerService } from "../src/core/time/mod.ts";
import type { Inventory, Pool } from "../src/generated/inventory.ts";
import { type LoadArrival, makeArrivals } from "./load_arrivals.ts";
import { DOCUMENT_SHARE } from "./load_bound.ts";
import type { Deployment } from "./load_deployments.ts";
import { RunStats } from "./load_stats.ts";
import { SideModel } from "./load_side.ts";

/** One policy under test. */
export interface Variant {
  readonly name: string;
  readonly scheduling?: SchedulingPolicy;
  /** Creates the scheduler of a baseline instead of the default one. */
  readonly makeScheduler?: (options: SchedulerOptions) => Scheduler;
  /** Sides use neither priorities nor a queue limit. */
  readonly fifo?: boolean;
  readonly roles: () => RolePolicy;
  readonly sideWaiting?: number;
  readonly toleratedSlowdown?: number;
}

export interface RunOptions {
  readonly seed: number;
  readonly load: number;
  readonly capacities: ReadonlyMap<string, number>;
  readonly roles: ReadonlyMap<string, RoleCounts>;
  /** Delay from a side's report to its receipt by the entries. */
  readonly reportLagMilliseconds?: number;
  readonly seconds?: number;
  readonly periodSeconds?: number;
  readonly arrivals?: readonly LoadArrival[];
  /** Called when a measured request ends. */
  readonly onRequestEnd?: (
    arrival: LoadArrival,
    result: "onTime" | "late" | "refused",
  ) => void;
  /** Called after set-up, for fault injection. */
  readonly injectFaults?: (run: LoadRun) => void;
}

const WARM_UP_SECONDS = 20;
const MEASURED_SECONDS = 200;
const REPORT_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 300;
const PLAN_MILLISECONDS = 2_000;
/** Delay from a plan to the side's receipt of the order: append and relay. */
const ORDER_DELAY_MILLISECONDS = 300;
/** One-way latency between entry and side; 1 to 2 ms between zones. */
const SAME_ZONE_LATENCY_MILLISECONDS = 0.5;
const CROSS_ZONE_LATENCY_MILLISECONDS = 1.5;
const MAX_ATTEMPTS = 3;
const DEFAULT_SIDE_WAITING = 8;

interface OpenRequest {
  readonly arrival: LoadArrival;
  readonly entry: Scheduler;
  readonly zone: string;
  readonly profile: RequestProfile;
  attempts: number;
  done: boolean;
  stop: () => void;
}

export class LoadRun {
  readonly timer = new ManualTimerService();
  readonly stats = new RunStats();
  readonly sides = new Map<string, SideModel>();
  readonly entries: Scheduler[] = [];
  /** False simulates a log outage or the loss of the planner: no plans. */
  plannerEnabled = true;
  #lastArrivalAt = 0;
  reportsEnabled = true;
  reportLagMilliseconds: number;
  readonly #deployment: Deployment;
  readonly #variant: Variant;
  readonly #options: RunOptions;
  readonly #inventory: Inventory;
  readonly #planner: RolePlanner;
  readonly #zoneByEndpoint = new Map<string, string>();
  #nextRequestNumber = 0;

  constructor(deployment: Deployment, variant: Variant, options: RunOptions) {
    this.#deployment = deployment;
    this.#variant = variant;
    this.#options = options;
    this.reportLagMilliseconds = options.reportLagMilliseconds ??
      REPORT_LAG_MILLISECONDS;
    this.#inventory = withRoles(deployment.inventory, options.roles);
    this.#planner = new RolePlanner({ policy: variant.roles });
    for (const pool of this.#inventory.pools) this.#addSides(pool);
    deployment.inventory.availabilityZones.forEach((zone, index) =>
      this.#addEntry(zone, index)
    );
  }

  get measuredFrom(): number {
    return WARM_UP_SECONDS * 1_000;
  }

  async run(): Promise<RunStats> {
    const seconds = this.#options.seconds ??
      WARM_UP_SECONDS + MEASURED_SECONDS;
    const arrivals = this.#options.arrivals ??
      makeArrivals(this.#deployment, {
        ...this.#options,
        seconds,
        entries: this.entries.length,
      });
    this.#lastArrivalAt = seconds * 1_000;
    this.#scheduleArrivals(arrivals, 0);
    this.timer.every(REPORT_MILLISECONDS, () => this.#sendReports());
    this.timer.every(PLAN_MILLISECONDS, () => this.#runPlanner());
    this.#options.injectFaults?.(this);
    const longestDeadlineSeconds = Math.max(
      ...this.#deployment.rules.classes.map((workClass) =>
        workClass.deadlineSeconds
      ),
    );
    await this.timer.advance((seconds + longestDeadlineSeconds + 1) * 1_000);
    for (const side of this.sides.values()) this.stats.pauses += side.pauses;
    this.stats.runs = 1;
    return this.stats;
  }

  #addSides(pool: Pool): void {
    for (const listed of pool.endpoints) {
      this.#zoneByEndpoint.set(listed.id, listed.availabilityZone);
      this.sides.set(
        listed.id,
        new SideModel({
          timer: this.timer,
          endpoint: listed.id,
          role: listed.role ?? "mixed",
          engine: pool.engine,
          serviceSlots: this.#deployment.serviceSlots,
          fifo: this.#variant.fifo ?? false,
          mostWaiting: this.#variant.sideWaiting ?? DEFAULT_SIDE_WAITING,
          toleratedSlowdown: this.#variant.toleratedSlowdown,
        }),
      );
    }
  }

  #addEntry(zone: string, index: number): void {
    const make = this.#variant.makeScheduler ?? createScheduler;
    const entry = make({
      timer: this.timer,
      random: seededRandom(this.#options.seed * 104_729 + index),
      availabilityZone: zone,
      name: `entry-${index}`,
      limits: { mostQueued: 1_000, mostQueuedPerWorkspace: 300 },
      entriesSharing: () => this.#inventory.availabilityZones.length,
      policy: this.#variant.scheduling,
    });
    entry.configure(this.#inventory, this.#deployment.rules);
    this.entries.push(entry);
  }

  #scheduleArrivals(arrivals: readonly LoadArrival[], index: number): void {
    const arrival = arrivals[index];
    if (arrival === undefined) return;
    this.timer.after(arrival.at - this.timer.now(), () => {
      this.#scheduleArrivals(arrivals, index + 1);
      this.#submit(arrival);
    });
  }

  #sendReports(): void {
    if (!this.reportsEnabled) return;
    for (const side of this.sides.values()) {
      if (!side.reachable) continue;
      const report = side.report();
      this.timer.after(this.reportLagMilliseconds, () => {
        for (const entry of this.entries) {
          entry.report(report, this.timer.now() - this.reportLagMilliseconds);
        }
      });
    }
  }

  #runPlanner(): void {
    if (!this.plannerEnabled || this.timer.now() > this.#lastArrivalAt) return;
    const changes = this.#planner.plan({
      now: this.timer.now(),
      rules: this.#deployment.rules.planner ?? {},
      logAvailable: true,
      pools: this.#inventory.pools.filter((pool) => pool.engine)
        .map((pool) => this.#poolState(pool)),
    });
    for (const change of changes) {
      if (this.timer.now() >= this.measuredFrom) this.stats.roleChanges += 1;
      this.timer.after(ORDER_DELAY_MILLISECONDS, () => {
        this.sides.get(change.endpoint)?.changeRole(change.to, () => {});
      });
    }
  }

  #poolState(pool: Pool) {
    const demand = new Map<string, ClassDemand>();
    for (const entry of this.entries) {
      const found = entry.demand().find((candidate) =>
        candidate.pool === pool.name
      );
      for (const item of found?.classes ?? []) mergeDemand(demand, item);
    }
    return {
      pool: pool.name,
      engine: pool.engine as NonNullable<Pool["engine"]>,
      demand: [...demand.values()],
      demandAgeMilliseconds: 0,
      endpoints: pool.endpoints.map((listed) => {
        const side = this.sides.get(listed.id) as SideModel;
        return {
          endpoint: identifier<EndpointId>(listed.id),
          availabilityZone: listed.availabilityZone,
          role: side.currentRole,
          changingTo: side.changingTo,
          serving: side.serving,
        };
      }),
    };
  }

  #submit(arrival: LoadArrival): void {
    const { workClass } = arrival.shape;
    const index = arrival.entry;
    const zone = this.#inventory.availabilityZones[index];
    const request: OpenRequest = {
      arrival,
      entry: this.entries[index],
      zone,
      profile: this.#makeProfile(arrival, zone),
      attempts: 0,
      done: false,
      stop: () => {},
    };
    if (arrival.at >= this.measuredFrom) {
      this.stats.forClass(workClass.name).offered += 1;
    }
    const deadlineTimer = this.timer.after(
      workClass.deadlineSeconds * 1_000,
      () => {
        if (request.done) return;
        request.stop();
        this.#finish(request, "late");
      },
    );
    this.#submitAttempt(request, request.profile);
    if (request.done) deadlineTimer.cancel();
  }

  #makeProfile(arrival: LoadArrival, zone: string): RequestProfile {
    const { shape } = arrival;
    const id = `request-${this.#nextRequestNumber++}`;
    return {
      requestId: identifier<RequestId>(id),
      workspace: identifier<WorkspaceId>(arrival.workspace),
      className: identifier<WorkClassName>(shape.workClass.name),
      pool: shape.pool,
      kind: shape.callMilliseconds === undefined ? "generation" : "service",
      promptTokens: arrival.promptTokens,
      mostOutputTokens: 2_000,
      deliveredTokens: 0,
      deadline: this.timer.now() + shape.workClass.deadlineSeconds * 1_000,
      prefixHashes: arrival.document
        ? prefixHashesOf(arrival.document, id)
        : [],
      idempotent: shape.idempotent,
      excluded: new Set(),
      availabilityZone: identifier<AvailabilityZoneId>(zone),
    };
  }

  #submitAttempt(request: OpenRequest, profile: RequestProfile): void {
    const submitted = request.attempts === 0
      ? request.entry.submit(profile)
      : request.entry.resubmit(profile);
    request.attempts += 1;
    if (submitted.isErr()) return this.#finish(request, "refused");
    void this.#awaitPlacement(request, submitted.value);
  }

  async #awaitPlacement(
    request: OpenRequest,
    waiting: WaitingRequest,
  ): Promise<void> {
    request.stop = () => waiting.cancel();
    const placed = await waiting.placed;
    if (placed.isErr()) return this.#finish(request, "refused");
    if (request.done) return placed.value.release(cancelledSummary());
    this.#runAttempt(request, placed.value);
  }

  #runAttempt(request: OpenRequest, placement: Placement): void {
    const { arrival } = request;
    const side = this.sides.get(placement.endpoint) as SideModel;
    const delay = this.#zoneByEndpoint.get(placement.endpoint) === request.zone
      ? SAME_ZONE_LATENCY_MILLISECONDS
      : CROSS_ZONE_LATENCY_MILLISECONDS;
    const placedAt = this.timer.now();
    let firstTokenAt: number | undefined;
    let cancelAtSide: (() => void) | undefined;
    const attemptId = `${request.profile.requestId}/${request.attempts}`;
    request.stop = () => {
      placement.release(cancelledSummary());
      this.timer.after(delay, () => cancelAtSide?.());
      cancelAtSide ??= () => {};
    };
    this.timer.after(delay, () => {
      if (request.done) return;
      if (!side.reachable) {
        return this.timer.after(delay, () => {
          this.#onAttemptEnd(request, placement, {
            result: "failed",
            tokens: 0,
            totalMilliseconds: 2 * delay,
          });
        });
      }
      cancelAtSide = side.run({
        attemptId,
        className: request.profile.className,
        priority: arrival.shape.workClass.priority,
        mayPause: arrival.shape.workClass.mayPause ?? false,
        deadlineMilliseconds: request.profile.deadline - this.timer.now(),
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
        callMilliseconds: arrival.callMilliseconds,
        prefix: arrival.document
          ? { hash: arrival.document, share: DOCUMENT_SHARE }
          : undefined,
        onFirstToken: () => firstTokenAt = this.timer.now() + delay,
        onEnd: (result, load) => {
          this.timer.after(delay, () => {
            const now = this.timer.now();
            if (result === "answered") this.#record(request, firstTokenAt, now);
            this.#onAttemptEnd(request, placement, {
              result,
              tokens: result === "answered" ? arrival.outputTokens : 0,
              totalMilliseconds: now - placedAt,
              firstTokenMilliseconds: firstTokenAt === undefined
                ? undefined
                : firstTokenAt - placedAt,
              load,
            });
          });
        },
      });
    });
  }

  #onAttemptEnd(
    request: OpenRequest,
    placement: Placement,
    summary: AttemptSummary,
  ): void {
    if (request.done) return;
    placement.release(summary);
    if (summary.result === "answered") return this.#finish(request, "onTime");
    this.stats.failedAttempts += 1;
    const retryable = summary.result === "not_run" ||
      request.profile.idempotent;
    if (!retryable || request.attempts >= MAX_ATTEMPTS) {
      return this.#finish(request, "refused");
    }
    const excluded = new Set(request.profile.excluded);
    excluded.add(placement.endpoint);
    this.#submitAttempt(request, { ...request.profile, excluded });
  }

  #record(
    request: OpenRequest,
    firstTokenAt: number | undefined,
    now: number,
  ): void {
    const { arrival } = request;
    if (request.done || firstTokenAt === undefined) return;
    if (arrival.at < this.measuredFrom) return;
    const stats = this.stats.forClass(arrival.shape.workClass.name);
    stats.firstToken.add(firstTokenAt - arrival.at);
    stats.betweenTokens.add((now - firstTokenAt) / arrival.outputTokens);
  }

  #finish(request: OpenRequest, result: "onTime" | "late" | "refused"): void {
    if (request.done) return;
    request.done = true;
    const { arrival } = request;
    if (arrival.at < this.measuredFrom) return;
    this.#options.onRequestEnd?.(arrival, result);
    this.stats.forClass(arrival.shape.workClass.name)[result] += 1;
  }
}

const PREFIX_BLOCKS = 10;

/** Hashes of the prompt's blocks: the document's first, then unique ones. */
function prefixHashesOf(document: string, id: string): string[] {
  const shared = Math.round(DOCUMENT_SHARE * PREFIX_BLOCKS);
  return Array.from(
    { length: PREFIX_BLOCKS },
    (_, block) => `${block < shared ? document : id}/${block}`,
  );
}

function cancelledSummary(): AttemptSummary {
  return { result: "cancelled", tokens: 0, totalMilliseconds: 0 };
}

function mergeDemand(
  sums: Map<string, ClassDemand>,
  added: Omit<ClassDemand, "value">,
): void {
  const current = sums.get(added.className);
  if (current === undefined) {
    sums.set(added.className, { ...added, value: 1 });
    return;
  }
  const rate = current.arrivalsPerSecond + added.arrivalsPerSecond;
  const mean = (currentValue: number, addedValue: number) =>
    (currentValue * current.arrivalsPerSecond +
      addedValue * added.arrivalsPerSecond) / rate;
  sums.set(added.className, {
    ...current,
    arrivalsPerSecond: rate,
    promptTokens: mean(current.promptTokens, added.promptTokens),
    outputTokens: mean(current.outputTokens, added.outputTokens),
  });
}

/** Returns the inventory with the given roles assigned to its engines. */
function withRoles(
  inventory: Inventory,
  roles: ReadonlyMap<string, RoleCounts>,
): Inventory {
  const pools = inventory.pools.map((pool) => {
    const counts = roles.get(pool.name);
    if (counts === undefined) return pool;
    const endpointRoles = [
      ...Array(counts.prefill).fill("prefill"),
      ...Array(counts.decode).fill("decode"),
      ...Array(counts.mixed).fill("mixed"),
    ];
    const endpoints = pool.endpoints.map((endpoint, index) => ({
      ...endpoint,
      role: endpointRoles[index],
    }));
    return { ...pool, endpoints };
  });
  return { ...inventory, pools: pools as Inventory["pools"] };
}
