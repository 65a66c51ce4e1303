import {
  CrashTracker,
  DecodePace,
  EndpointAvailability,
  EndpointLimits,
  EndpointLoadReports,
  EndpointRegistry,
  type EndpointStateHolder,
  EngineEstimates,
  EnginePlacement,
  EngineSlowness,
  EventNumbering,
  ExpectedTimes,
  FleetLoad,
  FormerRoutes,
  type ForwardedRequest,
  type ForwardingConfiguration,
  HeldPromptQueue,
  LinkBacklog,
  ListedVersions,
  LoadOwners,
  OpenRequests,
  type OpenWork,
  type PauseTotals,
  PermitQueue,
  PoolShares,
  PrefixDirectory,
  type ReportedLoss,
  ResponseBuffers,
  type RetryBudgetUsage,
  ReturningCallers,
  RoleWork,
  RouteTable,
  SentRequests,
  ServiceTimes,
  SharedRetryBudget,
  StreamKeepers,
  StreamOrigins,
  TrialIssuer,
  WorkRate,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../core/identity/mod.ts";
import { stackOf } from "../../core/errors/mod.ts";
import type { PeerAddress } from "../../core/links/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { ConfigurationStatus } from "./configuration_status.ts";
import { ConfigurationSync } from "./configuration_sync.ts";
import {
  CrashExchange,
  CrashGate,
  LostRunChecks,
  TrialExchange,
} from "./crashes/mod.ts";
import { FleetContact } from "./fleet_contact.ts";
import { FleetOutcomes } from "./fleet_outcomes.ts";
import { forward } from "./forward.ts";
import type {
  ForwardingDependencies,
  OpenForward,
} from "./forwarding_dependencies.ts";
import type { ForwardingEntryOptions } from "./forwarding_entry_options.ts";
import { LoadQueries } from "./load_queries.ts";
import { LoadReportExchange } from "./load_report_exchange.ts";
import type { CallerSink } from "./network_interfaces.ts";
import {
  createNotificationHandlers,
  NotificationReceiver,
} from "./notifications/mod.ts";
import { REGISTRATIONS_METHOD } from "./notifications/registration_notification.ts";
import { ROLES_METHOD } from "./notifications/role_notification.ts";
import { USAGE_METHOD } from "./notifications/usage_notification.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { PeerStateFallback } from "./peer_state_fallback.ts";
import { PrefixCacheSurvey } from "./prefix_cache_survey.ts";
import { QueryAllowance } from "./query_allowance.ts";
import { RegistrationSync } from "./registration_sync.ts";
import { RequestPermits } from "./request_permits.ts";
import { RoleController } from "./role_controller.ts";
import { StreamOriginExchange } from "./stream_origin_exchange.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { VersionListing } from "./version_listing.ts";
import { WriterConnections } from "./writer_connections.ts";
import { type PlannedRoles, WorkRolePlanner } from "./work_role_planner.ts";

/**
 * Minimum number of entries that are assumed to share the retry budget during
 * startup and while the list of the fleet is unknown. After a restart of the
 * whole fleet each entry first sees only itself in the list and would use the
 * whole minimum budget.
 */
const MIN_ASSUMED_ENTRIES = 8;
/** Startup time after which entries that started together know each other. */
const STARTUP_MILLISECONDS = 5_000;

/** Interval at which a stopping entry refuses what waits for too long. */
const STOP_CHECK_MILLISECONDS = 25;

/** An entry that forwards requests to endpoints, which register themselves. */
export class ForwardingEntry {
  readonly registry: EndpointRegistry;
  readonly peers: PeerExchange;
  readonly configurationStatus: ConfigurationStatus;
  readonly configurationSync: ConfigurationSync;
  readonly peerStateFallback: PeerStateFallback;
  readonly registrationSync: RegistrationSync;
  readonly #options: ForwardingEntryOptions;
  readonly #dependencies: ForwardingDependencies;
  readonly #roleController: RoleController | undefined;
  readonly #workRolePlanner: WorkRolePlanner | undefined;
  readonly #usageReporter: UsageReporter | undefined;
  readonly #survey: PrefixCacheSurvey;
  readonly #loadQueries: LoadQueries;
  readonly #permits: RequestPermits;
  readonly #keepers = new StreamKeepers();
  readonly #streams: StreamOriginExchange;
  readonly #versions: VersionListing;
  readonly #formerRoutes: FormerRoutes;
  readonly #crashes: CrashExchange;
  readonly #receiver: NotificationReceiver;
  readonly #openForwards = new Set<OpenForward>();
  readonly #startedAt: number;
  #routes: RouteTable | undefined;
  #stopping = false;
  #stopChecks: Subscription | undefined;

  constructor(options: ForwardingEntryOptions) {
    this.#options = options;
    const { timer, random } = options;
    this.#startedAt = timer.now();
    this.configurationStatus = new ConfigurationStatus({
      timer,
      logger: options.logger,
      version: () => this.configuration?.version,
    });
    const load = new FleetLoad(timer);
    const prefixes = new PrefixDirectory();
    const estimates = new EngineEstimates(timer);
    const slowness = new EngineSlowness(timer);
    const pace = new DecodePace(timer, load);
    const returningCallers = new ReturningCallers(timer);
    const crashes = new CrashTracker({
      timer,
      onBlocked: (blocked, { isOwn }) => {
        const { digest, losses } = blocked;
        const endpoints = losses.map(([, endpoint]) => endpoint);
        options.logger.warn(
          { digest, endpoints },
          "Blocked a request or a part of prompts that crashes endpoints",
        );
        if (isOwn) options.persistBlocked(blocked);
      },
      onCleared: (digest) => {
        options.logger.info({ digest }, "A block ended, as an endpoint ran it");
        options.removeBlocked(digest);
      },
      onRecentProof: (digest, beganAt) => trials.offerProof(digest, beganAt),
    });
    const limits = new EndpointLimits();
    const loadReports = new EndpointLoadReports(options);
    const sentRequests = new SentRequests(timer);
    const serviceTimes = new ServiceTimes(timer);
    const self = identifier<ProcessId>(options.process);
    const owners = new LoadOwners({ self, timer });
    const contact = new FleetContact({
      timer,
      peerCount: () => this.peers.listedPeers.length,
      hasHeardPeer: (milliseconds) => owners.hasHeardOther(milliseconds),
    });
    const openRequests = new OpenRequests({
      timer,
      load,
      isLoadStale: () => this.peers.isLoadStale,
    });
    const roleWork = options.roles?.plan === "observed_work"
      ? new RoleWork(timer)
      : undefined;
    const shares = new PoolShares(timer, random);
    const connections: EndpointStateHolder = {
      forget: ({ address }) => options.onEndpointRemoved(address),
    };
    const orders: EndpointStateHolder = {
      forget: (endpoint) => this.#roleController?.forget(endpoint),
    };
    const reportState: EndpointStateHolder = {
      forget: (endpoint) => reportExchange.forget(endpoint),
    };
    const permitState: EndpointStateHolder = {
      forget: (endpoint) => this.#permits.forget(endpoint),
    };
    const outcomeState: EndpointStateHolder = {
      forget: (endpoint) => {
        availability.forget(endpoint);
        outcomes.forget(endpoint);
      },
    };
    this.registry = new EndpointRegistry({
      timer,
      stateHolders: [
        load,
        prefixes,
        outcomeState,
        slowness,
        pace,
        crashes,
        limits,
        loadReports,
        sentRequests,
        serviceTimes,
        openRequests,
        reportState,
        permitState,
        connections,
        orders,
      ],
      onChange: (change, endpoint) => {
        options.logger.info({ change, ...endpoint }, "An endpoint changed");
        this.#roleController?.onEngineChange(endpoint, change);
        if (change === "registered") this.#survey.onEngineSeen(endpoint);
        this.#streams.onEndpointChange(endpoint);
        this.#versions.onEndpointChange(endpoint);
      },
    });
    const outcomes = new FleetOutcomes({
      self,
      timer,
      registry: this.registry,
      loadReports,
      owners,
      logger: options.logger,
      broadcast: (verdicts) => this.peers.broadcastVerdicts(verdicts),
      onVerdict: (change) => options.onVerdict?.(change),
    });
    const availability = new EndpointAvailability(timer, {
      verdicts: outcomes.verdicts,
      isJudged: (endpoint) => outcomes.isJudged(endpoint),
    });
    this.#survey = new PrefixCacheSurvey({
      timer,
      random,
      logger: options.logger,
      endpointClient: options.endpointClient,
      prefixes,
      configuration: () => this.configuration,
      entries: () => this.entriesSharingLimits,
      isNeeded: !options.isFirstStart,
    });
    const reportExchange = new LoadReportExchange({
      timer,
      registry: this.registry,
      loadReports,
      entries: () => owners.liveCount,
    });
    this.#loadQueries = new LoadQueries({
      self,
      timer,
      registry: this.registry,
      load,
      owners,
      reportExchange,
      send: (peer, notification) => this.peers.sendTo(peer, notification),
      onOutcome: options.onLoadQuery,
    });
    this.#permits = new RequestPermits({
      self,
      timer,
      limits,
      registry: this.registry,
      owners,
      send: (peer, notification) => this.peers.sendTo(peer, notification),
      share: () =>
        owners.liveCount /
        Math.max(owners.liveCount, this.entriesSharingLimits),
      onOutcome: options.onPermit,
    });
    this.#streams = new StreamOriginExchange({
      self,
      timer,
      registry: this.registry,
      origins: new StreamOrigins(timer),
      keepers: this.#keepers,
      owners,
      allowance: new QueryAllowance({
        timer,
        entries: () => owners.liveCount,
        endpoints: () => this.registry.size,
      }),
      send: (peer, notification) => this.peers.sendTo(peer, notification),
      peers: () => this.peers.listedPeers,
      onOutcome: (outcome) => options.onStreamLookup?.(outcome),
      onAnswered: () => contact.recordPeerAnswer(),
      digestOf: options.streamDigestOf,
    });
    this.#formerRoutes = new FormerRoutes(timer);
    this.#versions = new VersionListing({
      self,
      timer,
      random,
      logger: options.logger,
      registry: this.registry,
      listed: new ListedVersions(),
      link: options.versions,
      registrationsFollowedSince: () => this.peerStateFallback.followedSince,
      peers: () => this.peers.listedPeers,
      ranking: (subject) => owners.liveRanking(subject),
      broadcast: (notification) => this.peers.broadcast(notification),
      send: (peer, notification) => this.peers.sendTo(peer, notification),
    });
    this.#usageReporter = options.usage && new UsageReporter({
      ...options.usage,
      self,
      incarnation: options.incarnation,
      timer,
      logger: options.logger,
      isFirstStart: options.isFirstStart,
      ranking: () => owners.liveRanking(USAGE_METHOD),
      listedPeers: () => this.peers.listedPeers,
      send: (peer, notification) => this.peers.sendTo(peer, notification),
      broadcast: (notification) => this.peers.broadcast(notification),
    });
    const clock = this.#usageReporter?.clock;
    this.peers = new PeerExchange({
      ...options,
      ...(clock &&
        { onClock: (peer, time) => clock.recordPeerClock(peer, time) }),
      registry: this.registry,
      load,
      owners,
      reportExchange,
      prefixes,
      estimates,
      returningCallers,
      crashes,
      limits,
      outcomes,
      roleWork,
      shares,
      version: () => this.configuration?.version,
      onPeersChanged: (peers) => this.#keepers.setPeers(peers),
      onPeerStart: (peer) => {
        this.#crashes.onPeerStart(peer);
        this.#versions.onPeerStart(peer);
        this.#streams.onPeerStart(peer);
      },
      onVersion: (peer, version) =>
        this.configurationSync.onPeerVersion(peer, version),
    });
    this.#crashes = new CrashExchange({
      timer,
      crashes,
      broadcast: (notification) => this.peers.broadcast(notification),
      send: (peer, notification) => this.peers.sendTo(peer, notification),
    });
    const trials = new TrialExchange({
      self,
      incarnation: options.incarnation,
      timer,
      issuer: new TrialIssuer(timer),
      crashes,
      owners,
      send: (peer, notification) => this.peers.sendTo(peer, notification),
    });
    this.configurationSync = new ConfigurationSync({
      process: options.process,
      timer,
      random,
      status: this.configurationStatus,
      version: () => this.configuration?.version,
      entries: () => this.peers.fleetSize ?? 1,
      broadcast: (notification) => this.peers.broadcast(notification),
      onConfirmed: options.onConfigurationConfirmed,
      checkStore: options.checkConfiguration,
      fetchFrom: (peer) => this.peerStateFallback.fetchConfiguration(peer),
    });
    this.peerStateFallback = new PeerStateFallback({
      ...options.peerStateFallback,
      timer,
      random,
      logger: options.logger,
      registry: this.registry,
      contact,
      configuration: () => this.configuration,
      configurationStatus: this.configurationStatus,
      applyConfiguration: (configuration, peer) => {
        this.applyConfiguration(configuration, { peer });
      },
      adoptEndpoints: (endpoints) =>
        this.registrationSync.adoptPeerState(endpoints),
    });
    this.registrationSync = new RegistrationSync({
      registry: this.registry,
      recordPeerRead: options.recordPeerRead,
      onStoreReached: () => this.peerStateFallback.onStoreRead(),
      broadcast: (params) =>
        this.peers.broadcast({ method: REGISTRATIONS_METHOD, params }),
    });
    this.#workRolePlanner = roleWork && new WorkRolePlanner({
      timer,
      registry: this.registry,
      load,
      logger: options.logger,
      roleWork,
      loadReports,
      endpointClient: options.endpointClient,
      isPlanner: () => this.peers.isRolePlanner,
      maxPauseMilliseconds: (pool) =>
        this.#routes?.pauseBound(pool)?.maxPauseMilliseconds,
      speedOf: (engine) => slowness.speed(engine),
    });
    this.#roleController = options.roles === undefined
      ? undefined
      : new RoleController({
        ...options.roles,
        self: `${options.process}#${options.incarnation}`,
        timer,
        random,
        registry: this.registry,
        load,
        logger: options.logger,
        pools: () => this.configuration?.pools.values() ?? [],
        hasResumableStreams: (pool) =>
          this.#routes?.hasResumableStreams(pool) ?? false,
        broadcastOrders: (orders) =>
          this.peers.broadcast({ method: ROLES_METHOD, params: { orders } }),
        workPlanner: this.#workRolePlanner,
      });
    this.#receiver = new NotificationReceiver({
      logger: options.logger,
      peerAt: (address) => this.peers.peerAt(address),
      onDropped: (dropped) => options.onDroppedNotification?.(dropped),
      handlers: createNotificationHandlers({
        configurationSync: this.configurationSync,
        crashes: this.#crashes,
        loadQueries: this.#loadQueries,
        peers: this.peers,
        permits: this.#permits,
        registrationSync: this.registrationSync,
        roleController: this.#roleController,
        streams: this.#streams,
        trials,
        usageReporter: this.#usageReporter,
        versions: this.#versions,
      }),
    });
    this.#dependencies = {
      timer,
      random,
      availabilityZone: options.availabilityZone,
      registry: this.registry,
      load,
      prefixes,
      availability,
      outcomes,
      placement: new EnginePlacement({
        availabilityZone: options.availabilityZone,
        load,
        prefixes,
        availability,
        estimates,
        slowness,
        pace,
        random,
      }),
      estimates,
      slowness,
      pace,
      retryBudget: new SharedRetryBudget({
        timer,
        ...options.retry,
        entries: () => this.entriesSharingLimits,
      }),
      returningCallers,
      crashes,
      crashGate: new CrashGate({ timer, crashes, trials }),
      lostRunChecks: new LostRunChecks({
        ...options,
        crashes,
        registry: this.registry,
        healthPathOf: (pool) => this.configuration?.pools.get(pool)?.healthPath,
      }),
      writerConnections: new WriterConnections(options.endpointClient, timer),
      eventNumbering: new EventNumbering(),
      limits,
      loadReports,
      sentRequests,
      serviceTimes,
      expectedTimes: new ExpectedTimes({
        timer,
        loadReports,
        openRequests,
        sentRequests,
        serviceTimes,
      }),
      roleWork,
      permits: this.#permits,
      permitQueue: new PermitQueue(),
      onTimeWork: new WorkRate(timer),
      held: new HeldPromptQueue(timer),
      shares,
      entries: () => this.peers.fleetSize ?? 1,
      responseBuffers: new ResponseBuffers(options.responseBufferBytes ?? 0),
      link: new LinkBacklog(timer, options.linkMegabitsPerSecond),
      loopDelayMilliseconds: options.loopDelayMilliseconds,
      readDelayMilliseconds: options.readDelayMilliseconds,
      refreshLoad: (endpoints) => this.#loadQueries.refresh(endpoints),
      isLoadStale: () => this.peers.isLoadStale,
      queryAllowance: new QueryAllowance({
        timer,
        entries: () => owners.liveCount,
        endpoints: () => this.registry.size,
      }),
      plannedStop: options.plannedStop,
      openForwards: this.#openForwards,
      endpointClient: options.endpointClient,
      streams: this.#streams,
      versions: this.#versions,
      contact,
      digestOf: options.digestOf,
      partDigestOf: options.partDigestOf,
      observe: options.observe,
      routes: () => this.#routes,
      formerRoutes: this.#formerRoutes,
      configurationStatus: this.configurationStatus,
      reportLeaving: (run) => this.registrationSync.reportLeaving(run),
      noteStarted: (workspace, at) =>
        this.#usageReporter?.noteStarted(workspace, at),
      isChanging: (endpoint) => this.isChanging(endpoint),
    };
  }

  /** The configuration in force; undefined until one is known. */
  get configuration(): ForwardingConfiguration | undefined {
    return this.#routes?.configuration;
  }

  /**
   * Number of entries that share the fleet-wide limits. While the list of the
   * fleet is unknown, peers that can't be reached may exist: without the
   * assumption, each of them would use the whole minimum of the retry budget.
   */
  get entriesSharingLimits(): number {
    const known = this.peers.fleetSize;
    if (known === undefined) return MIN_ASSUMED_ENTRIES;
    const age = this.#options.timer.now() - this.#startedAt;
    return age < STARTUP_MILLISECONDS
      ? Math.max(known, MIN_ASSUMED_ENTRIES)
      : known;
  }

  /** Handles that the store was restored from an older copy. */
  onStoreRestored(): void {
    this.registry.storeFailed();
    this.#versions.onStoreRestored();
    this.#roleController?.onStoreRestored();
  }

  /** Roles planned by observed work, by pool, as planned by this entry. */
  get plannedRoles(): Iterable<PlannedRoles> {
    return this.#workRolePlanner?.planned ?? [];
  }

  /** Use of this entry's share of the retry budget, by pool. */
  retryBudgetUses(): RetryBudgetUsage[] {
    return this.#dependencies.retryBudget.usageByPool();
  }

  /** Measured and predicted pauses of the streams of this entry, by pool. */
  pauseTotals(): PauseTotals[] {
    return this.#dependencies.pace.totals();
  }

  /** Number of requests and parts that are blocked for crashing endpoints. */
  get blockedSuspects(): number {
    return this.#dependencies.crashes.blocked;
  }

  /** Number of requests and parts that may run once at a time. */
  get heldSuspects(): number {
    return this.#dependencies.crashes.held;
  }

  /** The workspaces with the most recent work in each pool. */
  largestShares(count: number): ReturnType<PoolShares["largest"]> {
    return this.#dependencies.shares.largest(count);
  }

  /** Number of streams whose origin is kept here. */
  get keptStreams(): number {
    return this.#streams.size;
  }

  /** Number of endpoints with a request limit in force, as known here. */
  get limitedEndpoints(): number {
    return this.#dependencies.limits.size;
  }

  /** True while a verdict on the endpoint is in force here. */
  isTakenOut(endpoint: EndpointId): boolean {
    return this.#dependencies.outcomes.verdicts.isTakenOut(endpoint);
  }

  /** True for an engine that was ordered to change its role. */
  isChanging(endpoint: EndpointId): boolean {
    return this.#roleController?.isChanging(endpoint) ?? false;
  }

  /** Number of verdicts on endpoints that are in force here. */
  get endpointsTakenOut(): number {
    return this.#dependencies.outcomes.verdicts.size;
  }

  /**
   * Fencing token of this entry's usage reports; absent if another entry
   * reports.
   */
  get usageFencing(): number | undefined {
    return this.#usageReporter?.fencing;
  }

  /** Open work of all entries at the endpoint. */
  openWorkAt(endpoint: EndpointId): OpenWork {
    return this.#dependencies.load.total(endpoint);
  }

  /** Bytes of responses that callers have not read yet. */
  get bufferedResponseBytes(): number {
    return this.#dependencies.responseBuffers.totalBytes;
  }

  /** True while the load balancer should send callers here. */
  get isReady(): boolean {
    return this.#routes !== undefined && this.registry.size > 0 &&
      !this.#stopping;
  }

  start(): void {
    this.peers.start();
    this.#versions.start();
    this.#roleController?.start();
    this.#usageReporter?.start();
    this.peerStateFallback.start();
  }

  /**
   * Reports the entry as not ready and stops role orders; open requests
   * continue as long as they may end in time.
   */
  stop(): void {
    const { plannedStop, timer } = this.#options;
    plannedStop.request();
    this.#stopping = true;
    this.#stopChecks = timer.every(STOP_CHECK_MILLISECONDS, () => {
      for (const open of [...this.#openForwards]) open.refuseIfTooLate();
    });
    this.#streams.handOn();
    this.#roleController?.stop();
  }

  /** Answers all open requests, as far as a response has not begun. */
  endOpenRequests(): void {
    this.#stopChecks?.cancel();
    const { logger, plannedStop } = this.#options;
    plannedStop.close();
    const { graceMilliseconds } = plannedStop;
    for (const open of [...this.#openForwards]) {
      const { stopFacts } = open;
      if (stopFacts !== undefined) {
        logger.warn(
          { ...stopFacts, graceMilliseconds },
          "A request is cut at the end of a planned stop",
        );
      }
      open.endAtStop();
    }
  }

  close(): void {
    this.#stopChecks?.cancel();
    this.#usageReporter?.stop();
    this.#versions.stop();
    this.#streams.flush();
    this.#crashes.stop();
    this.peers.stop();
    this.peerStateFallback.stop();
    this.configurationSync.stop();
  }

  /**
   * Puts a configuration in force. Versions that are not newer are ignored: a
   * late read would otherwise revert what callers have already seen. With a
   * peer, the configuration was read from that peer instead of the store.
   */
  applyConfiguration(
    configuration: ForwardingConfiguration,
    { peer }: { readonly peer?: PeerAddress } = {},
  ): boolean {
    const known = this.configuration?.version ?? -Infinity;
    if (configuration.version <= known) return false;
    const { ageMilliseconds, behindMilliseconds } = this.configurationStatus;
    const routes = new RouteTable(configuration);
    if (this.#routes !== undefined) {
      this.#formerRoutes.record(this.#routes, routes);
    }
    this.#routes = routes;
    this.configurationSync.onApplied();
    this.#options.logger.info({
      version: configuration.version,
      replaces: Number.isFinite(known) ? known : null,
      routes: configuration.routes.length,
      source: peer ?? "store",
      behindMilliseconds: Math.round(behindMilliseconds),
      ageMilliseconds: ageMilliseconds && Math.round(ageMilliseconds),
    }, "A configuration is in force");
    return true;
  }

  /** Restores a persisted block; false if it has expired. */
  restoreBlocked(
    losses: readonly ReportedLoss[],
    options: { readonly ageMilliseconds: number },
  ): boolean {
    return this.#dependencies.crashes.restore(losses, options);
  }

  /** Handles a notification from the peer at an address. */
  onNotification(
    method: string,
    params: unknown,
    { from }: { readonly from: string } = { from: "" },
  ): void {
    this.#receiver.receive(method, params, { from });
  }

  /** Handles a datagram that is no notification. */
  onUnreadableDatagram(bytes: number, from: string): void {
    this.#receiver.receiveUnreadable(bytes, from);
  }

  handle(request: ForwardedRequest, sink: CallerSink): void {
    forward(this.#dependencies, { request, sink }).catch((cause) => {
      const { id } = request;
      this.#options.logger.error(
        {
          requestId: id,
          problem: stackOf(cause),
        },
        "The handling of a request has thrown",
      );
      sink.refuse({ status: 502, reason: "internal_error" });
    });
  }
}
