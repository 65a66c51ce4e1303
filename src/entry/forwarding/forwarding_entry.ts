import {
  type BlockedSuspect,
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
  ExpectedTimes,
  FleetLoad,
  type ForwardedRequest,
  type ForwardingConfiguration,
  HeldPromptQueue,
  LinkBacklog,
  ListedVersions,
  LoadOwners,
  OpenRequests,
  type OpenWork,
  type PauseTotals,
  type PeerReadResult,
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
  type TopicSpan,
  TrialIssuer,
  type VerdictChange,
  WorkRate,
} from "../../core/forwarding/mod.ts";
import {
  type AvailabilityZoneId,
  type EndpointId,
  identifier,
  type PartDigest,
  type ProcessId,
  type RequestDigest,
  type ServiceName,
  type SuspectDigest,
} from "../../core/identity/mod.ts";
import type { PeerAddress } from "../../core/links/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import { ConfigurationStatus } from "./configuration_status.ts";
import {
  CONFIGURATION_METHOD,
  ConfigurationSync,
} from "./configuration_sync.ts";
import { FleetOutcomes } from "./fleet_outcomes.ts";
import { forward } from "./forward.ts";
import type { CallerSink, EndpointClient } from "./network_interfaces.ts";
import type { ObserveForwarding } from "./observer.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import { PrefixCacheSurvey } from "./prefix_cache_survey.ts";
import {
  isRegistrationNotification,
  REGISTRATIONS_METHOD,
} from "./notifications/registration_notification.ts";
import {
  isRoleNotification,
  ROLES_METHOD,
} from "./notifications/role_notification.ts";
import { RegistrationSync } from "./registration_sync.ts";
import {
  PeerStateFallback,
  type PeerStateFallbackOptions,
} from "./peer_state_fallback.ts";
import { QueryAllowance } from "./query_allowance.ts";
import { RoleController, type RoleLink } from "./role_controller.ts";
import { type PlannedRoles, WorkRolePlanner } from "./work_role_planner.ts";
import { UsageReporter, type UsageReporterOptions } from "./usage_reporter.ts";
import { USAGE_METHOD, USAGE_REPORTS_METHOD } from "./usage_notification.ts";
import {
  PeerExchange,
  type SendToPeers,
  VERDICTS_METHOD,
} from "./peer_exchange.ts";
import {
  CRASHES_METHOD,
  CrashExchange,
  CrashGate,
  LostRunChecks,
  TRIAL_ANSWER_METHOD,
  TRIAL_END_METHOD,
  TRIAL_PROOFS_METHOD,
  TRIAL_REQUEST_METHOD,
  TrialExchange,
} from "./crashes/mod.ts";
import { LoadReportExchange } from "./load_report_exchange.ts";
import {
  LOAD_ANSWER_METHOD,
  LOAD_QUERY_METHOD,
  LoadQueries,
  type LoadQueryOutcome,
} from "./load_queries.ts";
import {
  PERMIT_ANSWER_METHOD,
  PERMIT_REQUEST_METHOD,
  type PermitOutcome,
  RequestPermits,
} from "./request_permits.ts";
import { WORK_METHOD } from "./work_notification.ts";
import {
  type StreamLookupOutcome,
  StreamOriginExchange,
  type StreamOriginExchangeOptions,
} from "./stream_origin_exchange.ts";
import {
  STREAM_ANSWER_METHOD,
  STREAM_QUERY_METHOD,
  STREAMS_METHOD,
} from "./stream_notification.ts";
import {
  type VersionLink,
  VersionListing,
  VERSIONS_METHOD,
} from "./version_listing.ts";

export interface ForwardingEntryOptions {
  readonly process: string;
  readonly incarnation: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly endpointClient: EndpointClient;
  /** Digest by which a retried request is recognized. */
  readonly digestOf: (request: ForwardedRequest) => RequestDigest;
  /** Digest by which a part of prompts is recognized in a pool. */
  readonly partDigestOf: (pool: ServiceName, part: string) => PartDigest;
  readonly sendToPeers: SendToPeers;
  readonly observe: ObserveForwarding;
  readonly logger: Logger;
  /**
   * True on the first start of the whole fleet, when engines hold no cached
   * prompts.
   */
  readonly isFirstStart: boolean;
  readonly retry: {
    readonly ratio: number;
    readonly windowMilliseconds: number;
    readonly minimum: number;
  };
  /** Bandwidth of this machine's link; absent if unknown. */
  readonly linkMegabitsPerSecond: number | undefined;
  /**
   * Memory for responses that callers read slowly, in bytes; if absent, such
   * callers pause their endpoint.
   */
  readonly responseBufferBytes?: number;
  /** True if callers of this deployment compete for scarce capacity. */
  readonly isCapacityScarce?: boolean;
  /** Event loop delay of this process, in milliseconds. */
  readonly loopDelayMilliseconds: () => number;
  /** Absent: engines keep their current roles. */
  readonly roles?: {
    readonly link: RoleLink;
    readonly leaseMilliseconds: number;
    /** How the roles of adaptive pools are planned; by default by slots. */
    readonly plan?: "slots" | "observed_work";
  };
  /** Absent: usage of workspaces is not reported. */
  readonly usage?: Pick<
    UsageReporterOptions,
    | "dueMilliseconds"
    | "leaseMilliseconds"
    | "link"
    | "onOutcome"
    | "windowMilliseconds"
  >;
  /** How to query peers while the store is unreachable. */
  readonly peerStateFallback: Pick<
    PeerStateFallbackOptions,
    "addressOf" | "adoptEntries" | "ask" | "listEntries" | "peers"
  >;
  /** Called when the connections to an address are no longer needed. */
  readonly onEndpointRemoved: (address: string) => void;
  /** Records that a peer has read this span of the registrations. */
  readonly recordPeerRead: (span: TopicSpan) => PeerReadResult;
  /** Checks whether the store has a newer configuration. */
  readonly checkConfiguration: () => void;
  /** Called when the configuration in force is known to be current. */
  readonly onConfigurationConfirmed: () => void;
  /** Called with the outcome of each load query. */
  readonly onLoadQuery: (outcome: LoadQueryOutcome) => void;
  /** Called with the outcome of each request for a permit. */
  readonly onPermit: (outcome: PermitOutcome) => void;
  /** Digest by which the attempt that began a stream is known. */
  readonly streamDigestOf: StreamOriginExchangeOptions["digestOf"];
  /** Called with the outcome of each search for the origin of a stream. */
  readonly onStreamLookup?: (outcome: StreamLookupOutcome) => void;
  /** Absent: software versions are not listed in a store. */
  readonly versions?: VersionLink;
  /** Called for each change of a verdict on an endpoint formed here. */
  readonly onVerdict?: (change: VerdictChange) => void;
  /** Persists what is blocked for entries that start while no other runs. */
  readonly persistBlocked: (blocked: BlockedSuspect) => void;
  /** Removes what has run without a crash since it was persisted. */
  readonly removeBlocked: (digest: SuspectDigest) => void;
  /** Called when an entry reports that is not in the list of the fleet yet. */
  readonly onUnlistedPeer: () => void;
}

/**
 * Minimum number of entries that are assumed to share the retry budget during
 * startup. After a restart of the whole fleet each entry first sees only itself
 * in the list and would use the whole minimum budget.
 */
const ASSUMED_STARTUP_ENTRIES = 8;
/** Startup time after which entries that started together know each other. */
const STARTUP_MILLISECONDS = 5_000;

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
  readonly #crashes: CrashExchange;
  /** What each notification from a peer is applied by. */
  readonly #handlers: ReadonlyMap<string, (params: unknown) => void>;
  readonly #startedAt: number;
  #routes: RouteTable | undefined;
  #stopping = false;

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
    const estimates = new EngineEstimates();
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
      share: () => owners.liveCount / Math.max(owners.liveCount, this.#members),
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
      digestOf: options.streamDigestOf,
    });
    this.#versions = new VersionListing({
      self,
      timer,
      random,
      logger: options.logger,
      registry: this.registry,
      listed: new ListedVersions(),
      link: options.versions,
      peers: () => this.peers.listedPeers,
      ranking: (subject) => owners.liveRanking(subject),
      broadcast: (method, params) => this.peers.broadcast(method, params),
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
      broadcast: (method, params) => this.peers.broadcast(method, params),
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
      broadcast: (method, params) => this.peers.broadcast(method, params),
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
    this.#handlers = this.#makeHandlers(trials);
    this.configurationSync = new ConfigurationSync({
      process: options.process,
      timer,
      random,
      status: this.configurationStatus,
      version: () => this.configuration?.version,
      entries: () => this.peers.fleetSize ?? 1,
      broadcast: (method, params) => this.peers.broadcast(method, params),
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
      configuration: () => this.configuration,
      configurationStatus: this.configurationStatus,
      applyConfiguration: (configuration, peer) => {
        this.applyConfiguration(configuration, { peer });
      },
    });
    this.registrationSync = new RegistrationSync({
      registry: this.registry,
      recordPeerRead: options.recordPeerRead,
      onStoreReached: () => this.peerStateFallback.onStoreRead(),
      broadcast: (update) => this.peers.broadcast(REGISTRATIONS_METHOD, update),
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
          this.peers.broadcast(ROLES_METHOD, { orders }),
        workPlanner: this.#workRolePlanner,
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
      }),
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
      refreshLoad: (endpoints) => this.#loadQueries.refresh(endpoints),
      isLoadStale: () => this.peers.isLoadStale,
      queryAllowance: new QueryAllowance({
        timer,
        entries: () => owners.liveCount,
        endpoints: () => this.registry.size,
      }),
      endpointClient: options.endpointClient,
      streams: this.#streams,
      versions: this.#versions,
      digestOf: options.digestOf,
      partDigestOf: options.partDigestOf,
      observe: options.observe,
      routes: () => this.#routes,
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

  /** Number of entries that share the fleet-wide limits. */
  get entriesSharingLimits(): number {
    const known = this.peers.fleetSize ?? 1;
    const age = this.#options.timer.now() - this.#startedAt;
    return age < STARTUP_MILLISECONDS
      ? Math.max(known, ASSUMED_STARTUP_ENTRIES)
      : known;
  }

  /**
   * Number of entries among which endpoints' request limits are divided. While
   * the list of the fleet is unknown, peers that can't be reached may exist.
   */
  get #members(): number {
    return this.peers.fleetSize === undefined
      ? ASSUMED_STARTUP_ENTRIES
      : this.entriesSharingLimits;
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
   * continue.
   */
  stop(): void {
    this.#stopping = true;
    this.#streams.handOn();
    this.#roleController?.stop();
  }

  close(): void {
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
    this.#routes = new RouteTable(configuration);
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

  /** Handles a notification from a peer. */
  onNotification(method: string, params: unknown): void {
    this.#handlers.get(method)?.(params);
  }

  /** Handlers of all notifications that entries send each other. */
  #makeHandlers(
    trials: TrialExchange,
  ): ReadonlyMap<string, (params: unknown) => void> {
    const { peers } = this;
    const streamMethods = [
      STREAMS_METHOD,
      STREAM_QUERY_METHOD,
      STREAM_ANSWER_METHOD,
    ];
    const usageMethods = [USAGE_METHOD, USAGE_REPORTS_METHOD];
    return new Map<string, (params: unknown) => void>([
      [WORK_METHOD, (params) => peers.onWork(params)],
      [VERDICTS_METHOD, (params) => peers.onVerdicts(params)],
      [CRASHES_METHOD, (params) => this.#crashes.onReport(params)],
      [TRIAL_REQUEST_METHOD, (params) => trials.onRequest(params)],
      [TRIAL_ANSWER_METHOD, (params) => trials.onAnswer(params)],
      [TRIAL_END_METHOD, (params) => trials.onEnd(params)],
      [TRIAL_PROOFS_METHOD, (params) => trials.onProofs(params)],
      [
        CONFIGURATION_METHOD,
        (params) => this.configurationSync.onNotification(params),
      ],
      ...usageMethods.map((method) =>
        [
          method,
          (params: unknown) =>
            this.#usageReporter?.onNotification(method, params),
        ] as const
      ),
      [VERSIONS_METHOD, (params) => this.#versions.onNotification(params)],
      ...streamMethods.map((method) =>
        [
          method,
          (params: unknown) => this.#streams.onNotification(method, params),
        ] as const
      ),
      [PERMIT_REQUEST_METHOD, (params) => this.#permits.onRequest(params)],
      [PERMIT_ANSWER_METHOD, (params) => this.#permits.onAnswer(params)],
      [LOAD_QUERY_METHOD, (params) => this.#loadQueries.onQuery(params)],
      [LOAD_ANSWER_METHOD, (params) => this.#loadQueries.onAnswer(params)],
      [ROLES_METHOD, (params) => this.#onRoles(params)],
      [REGISTRATIONS_METHOD, (params) => this.#onRegistrations(params)],
    ]);
  }

  #onRoles(params: unknown): void {
    if (isRoleNotification(params)) this.#roleController?.onPeerOrders(params);
  }

  #onRegistrations(params: unknown): void {
    if (!isRegistrationNotification(params)) return;
    this.registrationSync.onPeerChanges(params);
  }

  handle(request: ForwardedRequest, sink: CallerSink): void {
    forward(this.#dependencies, { request, sink }).catch((cause) => {
      const { id } = request;
      this.#options.logger.error(
        {
          requestId: id,
          problem: cause instanceof Error ? cause.stack : cause,
        },
        "The handling of a request has thrown",
      );
      sink.refuse({ status: 502, reason: "internal_error" });
    });
  }
}
