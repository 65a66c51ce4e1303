import { PlannedStop } from "../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
  Incarnation,
  ProcessId,
  RegionId,
} from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { LogService } from "../core/journal/mod.ts";
import type {
  EntryLink,
  PeerAddress,
  SideLink,
  StreamSnapshot,
  VmList,
} from "../core/links/mod.ts";
import type {
  EmitEvent,
  Logger,
  Observe,
  Tracer,
} from "../core/observation/mod.ts";
import {
  createEmitEvent,
  NOOP_LOGGER,
  NOOP_TRACER,
} from "../core/observation/mod.ts";
import { OnceCoordinator } from "../core/once/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type { AnswerSink, CallerRequest } from "../core/requests/mod.ts";
import { createScheduler, DEFAULT_POLICY } from "../core/scheduling/mod.ts";
import type { Scheduler } from "../core/scheduling/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type {
  EntryStatus,
  StatusQuestion,
  WatchAnswer,
  WatchQuestion,
} from "../generated/messages.ts";
import { Catalog } from "./catalog.ts";
import { chooseEndpoints } from "./endpoint_subset.ts";
import type { EndpointSubset } from "./endpoint_subset.ts";
import type { EntryGuardOverrides } from "./guards.ts";
import { compileConfiguration, RequestIntake } from "./request_intake.ts";
import type { ActiveConfiguration, RequestHandle } from "./request_intake.ts";
import { PeerDirectory } from "./peer_directory.ts";
import { Planner } from "./planner.ts";
import { ConfigurationRelay } from "./configuration_relay.ts";
import { RegionLog } from "./region_log.ts";
import type { RunContext } from "./run_context.ts";
import { SideDirectory } from "./side_directory.ts";

/** Limits of one entry; each of them bounds memory or waiting time. */
export interface EntryLimits {
  readonly mostQueued: number;
  readonly mostQueuedPerWorkspace: number;
  readonly mostOpenRequests: number;
  /** Time that open requests get to finish on a graceful shutdown, seconds. */
  readonly shutdownSeconds: number;
  /** Maximum endpoints per pool that this entry uses. */
  readonly mostEndpointsPerPool: number;
  /** Maximum attempts per request, including the first. */
  readonly mostAttempts: number;
}

export interface EntryTimes {
  readonly reportMilliseconds: number;
  readonly suspectMilliseconds: number;
  readonly appendDelayMilliseconds: number;
  readonly claimSilenceMilliseconds: number;
  readonly checkpointRecords: number;
  readonly planMilliseconds: number;
  /** Retention of idempotency keys, milliseconds. */
  readonly keyWindowMilliseconds: number;
  readonly vmListMilliseconds: number;
}

export interface EntryOptions {
  readonly name: ProcessId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: LogService;
  readonly sides: SideLink;
  readonly entries: EntryLink;
  /** The platform's VM list, if there is one. */
  readonly vmList?: VmList;
  /** Addresses of the region's other entries from the settings. */
  readonly peerAddresses: readonly PeerAddress[];
  /** Collision-resistant hash of a text. */
  readonly hash: (text: string) => string;
  readonly limits: EntryLimits;
  readonly times: EntryTimes;
  readonly observe?: Observe;
  readonly logger?: Logger;
  readonly tracer?: Tracer;
  readonly guards?: EntryGuardOverrides;
}

/** Interval at which a stopping entry refuses what waits for too long. */
const STOP_CHECK_MILLISECONDS = 25;

/**
 * Core of an entry: admits, queues and places callers' requests, reads the log,
 * and relays the configuration and orders in force to the sides. It owns no
 * sockets and no clock.
 */
export class EntryCore {
  readonly #options: EntryOptions;
  readonly #logger: Logger;
  readonly #emitEvent: EmitEvent;
  readonly #plannedStop: PlannedStop;
  readonly #peers: PeerDirectory;
  readonly #log: RegionLog;
  readonly #scheduler: Scheduler;
  readonly #directory: SideDirectory;
  readonly #relay: ConfigurationRelay;
  readonly #intake: RequestIntake;
  readonly #planner: Planner;
  #active: ActiveConfiguration | undefined;
  #subset: EndpointSubset | undefined;
  #draining = false;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#logger = options.logger ?? NOOP_LOGGER;
    this.#emitEvent = createEmitEvent({
      observe: options.observe,
      timer: options.timer,
      process: options.name,
      commonFields: {
        incarnation: options.incarnation,
      },
    });
    this.#plannedStop = new PlannedStop({
      timer: options.timer,
      graceMilliseconds: () => options.limits.shutdownSeconds * 1000,
    });
    this.#peers = new PeerDirectory({
      ...options,
      ...options.times,
      onChange: () => this.#updateSides(),
    });
    this.#log = this.#createLog();
    this.#scheduler = createScheduler({
      timer: options.timer,
      random: options.random,
      availabilityZone: options.availabilityZone,
      limits: options.limits,
      name: options.name,
      // The entry has already selected its subset of endpoints. A second
      // selection in the scheduler would leave part of a large pool unused.
      policy: {
        ...DEFAULT_POLICY,
        maxEndpoints: options.limits.mostEndpointsPerPool,
      },
      entriesSharing: () => this.#entriesPerEndpoint(),
    });
    this.#directory = this.#createDirectory();
    this.#relay = new ConfigurationRelay({
      timer: options.timer,
      availabilityZone: options.availabilityZone,
      log: this.#log,
      peers: this.#peers,
      activeConfiguration: () => this.#active,
    });
    this.#intake = this.#createIntake();
    this.#planner = this.#createPlanner();
  }

  start(): void {
    this.#emitEvent("process_started", { role: "entry" });
    this.#peers.start();
    this.#log.start();
    this.#directory.start();
    this.#planner.start();
  }

  /**
   * Graceful shutdown: refuses new requests and reports `draining` on the
   * health page at once, so that the load balancer stops sending traffic;
   * releases the claims; waits for open requests up to the limit and refuses
   * those that wait once they could no longer end, then ends the remaining ones
   * with a refusal or an unknown outcome.
   */
  async stop(): Promise<void> {
    this.#draining = true;
    this.#plannedStop.request();
    this.#intake.close();
    this.#emitEvent("entry_draining", { cause: "stop" });
    this.#relay.close();
    const { limits, timer } = this.#options;
    const limit = limits.shutdownSeconds * 1000;
    const checks = timer.every(
      STOP_CHECK_MILLISECONDS,
      () => this.#intake.abortLate("The entry is shutting down"),
    );
    await Promise.all([
      this.#log.releaseClaims(),
      this.#intake.whenIdleWithin(limit),
    ]);
    checks.cancel();
    this.#intake.abortAll("The entry is shutting down");
    this.halt();
  }

  /** Stops immediately without waiting for open requests. */
  halt(): void {
    this.#draining = true;
    this.#planner.stop();
    this.#directory.stop();
    this.#peers.stop();
    this.#relay.close();
    this.#log.stop();
    this.#emitEvent("process_stopped", {});
  }

  get state(): EntryStatus["state"] {
    if (this.#draining) return "draining";
    return this.#active === undefined ? "starting" : "serving";
  }

  /** Number of unfinished requests. */
  get openRequests(): number {
    return this.#intake.openCount;
  }

  /** Version of the active configuration; 0 if there is none. */
  get configurationVersion(): number {
    return this.#active?.version ?? 0;
  }

  /**
   * Scheduler of this entry; the embedder feeds it loop delay and cache events.
   */
  get scheduler(): Scheduler {
    return this.#scheduler;
  }

  models(): readonly string[] {
    return this.#active?.catalog.models() ?? [];
  }

  routeIsIdempotent(method: string, path: string): boolean | undefined {
    const match = this.#active?.catalog.poolOfRoute(method, path);
    return match?.isOk() ? match.value.idempotent : undefined;
  }

  /** Accepts a request. The sink gets exactly one final outcome. */
  submit(request: CallerRequest, sink: AnswerSink): RequestHandle {
    return this.#intake.submit(request, sink);
  }

  /**
   * Answers a side's long poll. Returns undefined while this entry is draining,
   * so that the side switches to another entry.
   */
  watch(question: WatchQuestion): Promise<WatchAnswer> | undefined {
    if (this.#draining) return undefined;
    this.#directory.recordReport(question.report);
    return this.#relay.watch(question);
  }

  /**
   * Status of this entry. With a cursor, lists only the sides that have changed
   * since.
   */
  status(question: StatusQuestion = {}): EntryStatus {
    const { name, incarnation, region, availabilityZone } = this.#options;
    const claim = this.#log.orders.claim;
    return {
      entry: name,
      incarnation,
      region,
      availabilityZone,
      state: this.state,
      configurationVersion: this.configurationVersion,
      ordersRead: this.#log.journals.orders.position,
      ...(claim && { claim: { offset: claim.offset, holder: claim.holder } }),
      logReachable: this.#log.journals.configuration.reachable,
      openRequests: this.#intake.openCount,
      sides: this.#directory.reports(this.#changesAfter(question)),
      change: this.#directory.change,
      demand: this.#scheduler.demand().map(({ pool, classes }) => ({
        pool,
        classes: [...classes ?? []],
      })),
    };
  }

  /**
   * The change number to report from. Change numbers restart with each
   * incarnation, so a cursor from another incarnation counts as 0.
   */
  #changesAfter({ changedSince }: StatusQuestion): number {
    const isSameIncarnation =
      changedSince?.incarnation === this.#options.incarnation;
    return isSameIncarnation ? changedSince?.change ?? 0 : 0;
  }

  /** Snapshot of a stream's state, for a peer that cannot read the log. */
  snapshot(stream: string): StreamSnapshot | undefined {
    return this.#log.snapshot(stream);
  }

  /** Activates the newest accepted configuration after a record was read. */
  #onConfigurationRecord(): void {
    const { appliedVersion, inventory, rules } = this.#log.configuration;
    if (inventory === undefined || rules === undefined) return;
    if (this.#active?.catalog.inventory === inventory) return;
    if (this.#isCatchingUp()) return;
    this.#active = compileConfiguration(new Catalog(inventory), rules, {
      version: appliedVersion,
    });
    this.#subset = chooseEndpoints(inventory, {
      entry: this.#options.name,
      availabilityZone: this.#options.availabilityZone,
      maxPerPool: this.#options.limits.mostEndpointsPerPool,
    });
    this.#scheduler.configure(this.#subset.inventory, rules);
    this.#updateSides();
    this.#relay.onConfigurationActive(this.#active.catalog);
    this.#emitEvent("configuration_in_force", { version: appliedVersion });
    this.#logger.info(
      { version: appliedVersion },
      "Configuration is in force",
    );
  }

  /**
   * True while a restarted entry is reading configurations since the last
   * checkpoint. Activating them one by one would bring superseded versions
   * back, and work would go to an endpoint that has been drained. The first
   * active configuration is therefore the newest that the log or a peer has.
   */
  #isCatchingUp(): boolean {
    const { configuration } = this.#log.journals;
    if (this.#active !== undefined) return false;
    return configuration.reachable && !configuration.caughtUp;
  }

  /**
   * Number of entries per endpoint, including this one. Where each entry uses
   * only a subset of the fleet, proportionally fewer entries share an endpoint.
   */
  #entriesPerEndpoint(): number {
    const share = this.#subset?.share ?? 1;
    return Math.max(1, this.#peers.entryCount * share);
  }

  /**
   * Updates the sides in use and their addresses after a change of the
   * inventory or the VM list.
   */
  #updateSides(): void {
    const sides = new Map<EndpointId, PeerAddress>();
    for (const [endpoint, inventoryAddress] of this.#subset?.sides ?? []) {
      sides.set(
        endpoint,
        this.#peers.sideAddress(endpoint, inventoryAddress),
      );
      this.#updateUsability(endpoint);
    }
    this.#directory.setSides(sides);
  }

  /**
   * Marks an endpoint as unusable while its side is suspected or its VM is
   * leaving.
   */
  #updateUsability(endpoint: EndpointId): void {
    const unusable = this.#directory.isSuspected(endpoint) ||
      this.#peers.isLeaving(endpoint);
    this.#scheduler.suspect(endpoint, unusable);
  }

  #onSuspicion(endpoint: EndpointId, suspected: boolean): void {
    this.#emitEvent(suspected ? "suspected" : "trusted", { endpoint });
    this.#logger.warn(
      { endpoint, suspected },
      "Suspected state of a side changed",
    );
    this.#updateUsability(endpoint);
    if (suspected) this.#intake.onSuspected(endpoint);
  }

  #createLog(): RegionLog {
    return new RegionLog({
      ...this.#options,
      peers: () => this.#peers.entries(),
      logger: this.#logger,
      emitEvent: this.#emitEvent,
      eligible: () => !this.#draining,
      onConfigurationChange: () => this.#onConfigurationRecord(),
      onOrdersChange: () => this.#relay.onLogChange(),
    });
  }

  #createDirectory(): SideDirectory {
    const { timer, sides, times } = this.#options;
    return new SideDirectory({
      timer,
      sides,
      reportMilliseconds: times.reportMilliseconds,
      suspectMilliseconds: times.suspectMilliseconds,
      accepts: (report) => this.#peers.accepts(report),
      onReport: (report, at) => this.#scheduler.report(report, at),
      onSuspicion: (endpoint, suspected) =>
        this.#onSuspicion(endpoint, suspected),
    });
  }

  #createIntake(): RequestIntake {
    const { timer, availabilityZone, hash, limits } = this.#options;
    return new RequestIntake({
      timer,
      availabilityZone,
      hash,
      mostOpenRequests: limits.mostOpenRequests,
      context: this.#createRunContext(),
      tracer: this.#options.tracer ?? NOOP_TRACER,
      activeConfiguration: () => this.#active,
      emitEvent: this.#emitEvent,
    });
  }

  #createRunContext(): RunContext {
    const { timer, sides, limits, tracer } = this.#options;
    return {
      timer,
      scheduler: this.#scheduler,
      sideLink: sides,
      directory: this.#directory,
      onceCoordinator: this.#createOnceCoordinator(),
      mostAttempts: limits.mostAttempts,
      plannedStop: this.#plannedStop,
      tracer: tracer ?? NOOP_TRACER,
      emitEvent: this.#emitEvent,
    };
  }

  #createOnceCoordinator(): OnceCoordinator {
    return new OnceCoordinator({
      fold: this.#log.once,
      append: (body) => this.#log.journals.once.append(body),
      ask: (endpoint, question) =>
        this.#options.sides.ask(this.#sideAddressOf(endpoint), question),
      timer: this.#options.timer,
    });
  }

  /**
   * Address of an endpoint's side, also for endpoints outside the subset: a
   * `once` record may name any endpoint.
   */
  #sideAddressOf(endpoint: EndpointId): PeerAddress {
    const inventoryAddress = this.#active?.catalog.sideOf(endpoint);
    return this.#peers.sideAddress(
      endpoint,
      inventoryAddress ?? UNREACHABLE_ADDRESS,
    );
  }

  #createPlanner(): Planner {
    const { timer, times, entries } = this.#options;
    return new Planner({
      timer,
      planMilliseconds: times.planMilliseconds,
      journal: this.#log.journals.orders,
      orders: this.#log.orders,
      claim: this.#log.ordersClaim,
      entries,
      peers: () => this.#peers.entries(),
      status: () => this.status(),
      active: () =>
        this.#active && {
          inventory: this.#active.catalog.inventory,
          rules: this.#active.rules,
        },
      logger: this.#logger,
    });
  }
}

/** Port 0 on the local host: connecting always fails, so nothing is sent. */
const UNREACHABLE_ADDRESS = identifier<PeerAddress>("127.0.0.1:0");
