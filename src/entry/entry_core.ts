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
import type { Logger, Observe, Tell, Tracer } from "../core/observation/mod.ts";
import { makeTell, NO_TRACER, SILENT_LOGGER } from "../core/observation/mod.ts";
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
import type { EntryGuards } from "./guards.ts";
import { inForceOf, Intake } from "./intake.ts";
import type { InForce, RequestHandle } from "./intake.ts";
import { Neighbours } from "./neighbours.ts";
import { Planner } from "./planner.ts";
import { Relay } from "./relay.ts";
import { RegionLog } from "./region_log.ts";
import type { RunContext } from "./run_context.ts";
import { SideDirectory } from "./side_directory.ts";

/** Limits of one entry; every one of them bounds its memory or its waiting. */
export interface EntryLimits {
  readonly mostQueued: number;
  readonly mostQueuedPerWorkspace: number;
  readonly mostOpenRequests: number;
  /** Time that a planned stop leaves to open requests, seconds. */
  readonly shutdownSeconds: number;
  /** Endpoints of one pool that this entry uses. */
  readonly mostEndpointsPerPool: number;
  /** Attempts of one request, the first included. */
  readonly mostAttempts: number;
}

export interface EntryTimes {
  readonly reportMilliseconds: number;
  readonly suspectMilliseconds: number;
  readonly appendDelayMilliseconds: number;
  readonly claimSilenceMilliseconds: number;
  readonly checkpointRecords: number;
  readonly planMilliseconds: number;
  /** How long an idempotency key is remembered, milliseconds. */
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
  /** The platform's list of VMs, where there is one. */
  readonly vmList?: VmList;
  /** Other entries of the region by the settings. */
  readonly peerAddresses: readonly PeerAddress[];
  /** A hash of text on which two requests never agree by chance. */
  readonly hash: (text: string) => string;
  readonly limits: EntryLimits;
  readonly times: EntryTimes;
  readonly observe?: Observe;
  readonly logger?: Logger;
  readonly tracer?: Tracer;
  readonly guards?: EntryGuards;
}

/**
 * One entry: admits, queues and places callers' requests, reads the log, and
 * relays what is in force to the sides. It holds no socket and no clock.
 */
export class EntryCore {
  readonly #options: EntryOptions;
  readonly #logger: Logger;
  readonly #tell: Tell;
  readonly #neighbours: Neighbours;
  readonly #log: RegionLog;
  readonly #scheduler: Scheduler;
  readonly #directory: SideDirectory;
  readonly #relay: Relay;
  readonly #intake: Intake;
  readonly #planner: Planner;
  #inForce: InForce | undefined;
  #subset: EndpointSubset | undefined;
  #draining = false;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#logger = options.logger ?? SILENT_LOGGER;
    this.#tell = makeTell({
      observe: options.observe,
      timer: options.timer,
      process: options.name,
      always: {
        incarnation: options.incarnation,
      },
    });
    this.#neighbours = new Neighbours({
      ...options,
      ...options.times,
      onChange: () => this.#useSides(),
    });
    this.#log = this.#makeLog();
    this.#scheduler = createScheduler({
      timer: options.timer,
      random: options.random,
      availabilityZone: options.availabilityZone,
      limits: options.limits,
      name: options.name,
      // The entry has chosen its endpoints already; a second choice among them
      // would leave the rest of a large pool to nobody.
      policy: {
        ...DEFAULT_POLICY,
        mostEndpoints: options.limits.mostEndpointsPerPool,
      },
      entriesSharing: () => this.#entriesSharing(),
    });
    this.#directory = this.#makeDirectory();
    this.#relay = new Relay({
      timer: options.timer,
      availabilityZone: options.availabilityZone,
      log: this.#log,
      neighbours: this.#neighbours,
      inForce: () => this.#inForce,
    });
    this.#intake = this.#makeIntake();
    this.#planner = this.#makePlanner();
  }

  start(): void {
    this.#tell("process_started", { role: "entry" });
    this.#neighbours.start();
    this.#log.start();
    this.#directory.start();
    this.#planner.start();
  }

  /**
   * Graceful shutdown: new requests are refused and the health page says
   * draining at once, so that the balancer turns away; claims are handed over;
   * open requests are finished within the limit, what is left is told the
   * truth.
   */
  async stop(): Promise<void> {
    this.#draining = true;
    this.#intake.close();
    this.#tell("entry_draining", { cause: "stop" });
    this.#relay.close();
    const limit = this.#options.limits.shutdownSeconds * 1000;
    await Promise.all([
      this.#log.handOver(),
      this.#intake.idleWithin(limit),
    ]);
    this.#intake.giveUp("The entry is shutting down");
    this.halt();
  }

  /** Ends everything at once, as far as this process can. */
  halt(): void {
    this.#draining = true;
    this.#planner.stop();
    this.#directory.stop();
    this.#neighbours.stop();
    this.#relay.close();
    this.#log.stop();
    this.#tell("process_stopped", {});
  }

  get state(): EntryStatus["state"] {
    if (this.#draining) return "draining";
    return this.#inForce === undefined ? "starting" : "serving";
  }

  /** Requests that are not finished yet. */
  get openRequests(): number {
    return this.#intake.open;
  }

  /** Version of the configuration that this entry follows; 0 for none. */
  get configurationVersion(): number {
    return this.#inForce?.version ?? 0;
  }

  /** For what the embedder feeds in besides: loop delay, cache events. */
  get scheduler(): Scheduler {
    return this.#scheduler;
  }

  models(): readonly string[] {
    return this.#inForce?.catalog.models() ?? [];
  }

  routeIsIdempotent(method: string, path: string): boolean | undefined {
    const match = this.#inForce?.catalog.poolOfRoute(method, path);
    return match?.isOk() ? match.value.idempotent : undefined;
  }

  /** Takes a request; the sink gets exactly one final outcome. */
  submit(request: CallerRequest, sink: AnswerSink): RequestHandle {
    return this.#intake.submit(request, sink);
  }

  /**
   * Answers a side's long poll; nothing while this entry leaves, so that the
   * side turns to another one.
   */
  watch(question: WatchQuestion): Promise<WatchAnswer> | undefined {
    if (this.#draining) return undefined;
    this.#directory.heard(question.report);
    return this.#relay.watch(question);
  }

  /** What this entry knows; with a cursor, the sides that have changed since. */
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
      openRequests: this.#intake.open,
      sides: this.#directory.reports(this.#changesAfter(question)),
      change: this.#directory.change,
      demand: this.#scheduler.demand().map(({ pool, classes }) => ({
        pool,
        classes: [...classes ?? []],
      })),
    };
  }

  /** A cursor of an earlier run of this entry counts its changes, not ours. */
  #changesAfter({ changedSince }: StatusQuestion): number {
    const own = changedSince?.incarnation === this.#options.incarnation;
    return own ? changedSince?.change ?? 0 : 0;
  }

  /** This entry's state of a stream, for a peer that can't read the log. */
  snapshot(stream: string): StreamSnapshot | undefined {
    return this.#log.snapshot(stream);
  }

  /** A record of the configuration stream has been read. */
  #onConfiguration(): void {
    const { appliedVersion, inventory, rules } = this.#log.configuration;
    if (inventory === undefined || rules === undefined) return;
    if (this.#inForce?.catalog.inventory === inventory) return;
    if (this.#isStillReadingIn()) return;
    this.#inForce = inForceOf(new Catalog(inventory), rules, {
      version: appliedVersion,
    });
    this.#subset = chooseEndpoints(inventory, {
      entry: this.#options.name,
      availabilityZone: this.#options.availabilityZone,
      mostPerPool: this.#options.limits.mostEndpointsPerPool,
    });
    this.#scheduler.configure(this.#subset.inventory, rules);
    this.#useSides();
    this.#relay.configured(this.#inForce.catalog);
    this.#tell("configuration_in_force", { version: appliedVersion });
    this.#logger.info(
      { version: appliedVersion },
      "Configuration is in force",
    );
  }

  /**
   * A restarted entry reads every configuration since the last checkpoint.
   * Put in force one by one, a version that was replaced long ago would come
   * back, seen as work sent to an endpoint that was drained; the first one in
   * force is therefore the newest that the log or a peer knows.
   */
  #isStillReadingIn(): boolean {
    const { configuration } = this.#log.journals;
    if (this.#inForce !== undefined) return false;
    return configuration.reachable && !configuration.caughtUp;
  }

  /**
   * Entries that place work on the same endpoints, this one included: where
   * each uses a part of the fleet only, as many fewer meet at one endpoint.
   */
  #entriesSharing(): number {
    const share = this.#subset?.share ?? 1;
    return Math.max(1, this.#neighbours.entryCount * share);
  }

  /** Inventory or VM list have changed: who is used, and at which address. */
  #useSides(): void {
    const sides = new Map<EndpointId, PeerAddress>();
    for (const [endpoint, inventoried] of this.#subset?.sides ?? []) {
      sides.set(
        endpoint,
        this.#neighbours.sideAddress(endpoint, inventoried),
      );
      this.#judgeUse(endpoint);
    }
    this.#directory.use(sides);
  }

  /** New work goes to sides that this entry hears and that are not leaving. */
  #judgeUse(endpoint: EndpointId): void {
    const unusable = this.#directory.isSuspected(endpoint) ||
      this.#neighbours.isLeaving(endpoint);
    this.#scheduler.suspect(endpoint, unusable);
  }

  #onSuspicion(endpoint: EndpointId, suspected: boolean): void {
    this.#tell(suspected ? "suspected" : "trusted", { endpoint });
    this.#logger.warn({ endpoint, suspected }, "Suspicion of a side changed");
    this.#judgeUse(endpoint);
    if (suspected) this.#intake.suspect(endpoint);
  }

  #makeLog(): RegionLog {
    return new RegionLog({
      ...this.#options,
      peers: () => this.#neighbours.entries(),
      logger: this.#logger,
      tell: this.#tell,
      eligible: () => !this.#draining,
      onConfiguration: () => this.#onConfiguration(),
      onOrders: () => this.#relay.changed(),
    });
  }

  #makeDirectory(): SideDirectory {
    const { timer, sides, times } = this.#options;
    return new SideDirectory({
      timer,
      sides,
      reportMilliseconds: times.reportMilliseconds,
      suspectMilliseconds: times.suspectMilliseconds,
      accepts: (report) => this.#neighbours.accepts(report),
      onReport: (report, at) => this.#scheduler.report(report, at),
      onSuspicion: (endpoint, suspected) =>
        this.#onSuspicion(endpoint, suspected),
    });
  }

  #makeIntake(): Intake {
    const { timer, availabilityZone, hash, limits } = this.#options;
    return new Intake({
      timer,
      availabilityZone,
      hash,
      mostOpenRequests: limits.mostOpenRequests,
      context: this.#makeContext(),
      tracer: this.#options.tracer ?? NO_TRACER,
      inForce: () => this.#inForce,
      tell: this.#tell,
    });
  }

  #makeContext(): RunContext {
    const { timer, sides, limits, tracer } = this.#options;
    return {
      timer,
      scheduler: this.#scheduler,
      sides,
      directory: this.#directory,
      once: this.#makeOnce(),
      mostAttempts: limits.mostAttempts,
      tracer: tracer ?? NO_TRACER,
      tell: this.#tell,
    };
  }

  #makeOnce(): OnceCoordinator {
    return new OnceCoordinator({
      fold: this.#log.once,
      append: (body) => this.#log.journals.once.append(body),
      ask: (endpoint, question) =>
        this.#options.sides.ask(this.#sideOf(endpoint), question),
      timer: this.#options.timer,
    });
  }

  /** Also for endpoints outside the subset: a record may name any of them. */
  #sideOf(endpoint: EndpointId): PeerAddress {
    const inventoried = this.#inForce?.catalog.sideOf(endpoint);
    return this.#neighbours.sideAddress(
      endpoint,
      inventoried ?? UNKNOWN_ADDRESS,
    );
  }

  #makePlanner(): Planner {
    const { timer, times, entries } = this.#options;
    return new Planner({
      timer,
      planMilliseconds: times.planMilliseconds,
      journal: this.#log.journals.orders,
      orders: this.#log.orders,
      claim: this.#log.plannerClaim,
      entries,
      peers: () => this.#neighbours.entries(),
      status: () => this.status(),
      inForce: () =>
        this.#inForce && {
          inventory: this.#inForce.catalog.inventory,
          rules: this.#inForce.rules,
        },
      logger: this.#logger,
    });
  }
}

/** Port 0 of the own machine: nobody listens there, so nothing is sent. */
const UNKNOWN_ADDRESS = identifier<PeerAddress>("127.0.0.1:0");
