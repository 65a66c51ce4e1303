/** Dependencies and state that all forwarded requests of an entry share. */
import type {
  CrashTracker,
  DecodePace,
  EndpointAvailability,
  EndpointLimits,
  EndpointLoadReports,
  EndpointRegistry,
  EndpointRun,
  EngineEstimates,
  EnginePlacement,
  EngineSlowness,
  EventNumbering,
  ExpectedTimes,
  FleetLoad,
  FormerRoutes,
  ForwardedRequest,
  HeldPromptQueue,
  LinkBacklog,
  PermitQueue,
  PlannedStop,
  PoolShares,
  PrefillChoice,
  PrefixDirectory,
  ResponseBuffers,
  ReturningCallers,
  RoleWork,
  RouteTable,
  SentRequests,
  ServiceTimes,
  SharedRetryBudget,
  WorkRate,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
  PartDigest,
  RequestDigest,
  ServiceName,
  WorkspaceId,
} from "../../core/identity/mod.ts";
import type { LogFields } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { ConfigurationStatus } from "./configuration_status.ts";
import type { FleetContact } from "./fleet_contact.ts";
import type { FleetOutcomes } from "./fleet_outcomes.ts";
import type { CrashGate, LostRunChecks } from "./crashes/mod.ts";
import type { EndpointClient } from "./network_interfaces.ts";
import type { ObserveForwarding } from "./observer.ts";
import type { QueryAllowance } from "./query_allowance.ts";
import type { RequestPermits } from "./request_permits.ts";
import type { StreamOriginExchange } from "./stream_origin_exchange.ts";
import type { VersionListing } from "./version_listing.ts";
import type { WriterConnections } from "./writer_connections.ts";

/** A request that has a route and whose response has not ended. */
export interface OpenForward {
  /** Refuses the request if it is not sent yet and would be cut once it is. */
  refuseIfTooLate(): void;
  /**
   * Ends the request at the end of a planned stop: as not run if that is known.
   */
  endAtStop(): void;
  /**
   * What the log names of a request that the end of a planned stop cuts;
   * undefined for one that has not been sent.
   */
  readonly stopFacts: LogFields | undefined;
}

export interface ForwardingDependencies {
  readonly timer: TimerService;
  readonly random: Random;
  readonly availabilityZone: AvailabilityZoneId;
  readonly registry: EndpointRegistry;
  readonly load: FleetLoad;
  readonly prefixes: PrefixDirectory;
  readonly availability: EndpointAvailability;
  /** Outcomes of attempts that the endpoints' owners judge for all entries. */
  readonly outcomes: FleetOutcomes;
  readonly placement: EnginePlacement;
  readonly estimates: EngineEstimates;
  readonly slowness: EngineSlowness;
  /** Stream pauses of decode engines. */
  readonly pace: DecodePace;
  readonly retryBudget: SharedRetryBudget;
  /** Requests and parts of prompts that endpoints have crashed on. */
  readonly crashes: CrashTracker;
  /** Holds requests with what may have crashed several endpoints. */
  readonly crashGate: CrashGate;
  readonly lostRunChecks: LostRunChecks;
  readonly writerConnections: WriterConnections;
  /** Which versions number the events of their streams. */
  readonly eventNumbering: EventNumbering;
  /** Request limits that endpoints have named. */
  readonly limits: EndpointLimits;
  /** Load that endpoints have reported in their responses. */
  readonly loadReports: EndpointLoadReports;
  /** Requests of this entry at replicas that report their load. */
  readonly sentRequests: SentRequests;
  /** Service times of replicas that report their load. */
  readonly serviceTimes: ServiceTimes;
  readonly expectedTimes: ExpectedTimes;
  /**
   * What callers ask of adaptive pools; undefined if roles are not planned by
   * it.
   */
  readonly roleWork: RoleWork | undefined;
  /** Permits for requests to endpoints with a limit. */
  readonly permits: RequestPermits;
  /** Requests of this entry that wait for a permit. */
  readonly permitQueue: PermitQueue;
  readonly returningCallers: ReturningCallers;
  /** Prefills that this entry has started for responses within their target. */
  readonly onTimeWork: WorkRate;
  /** Prompts that are queued at this entry until an engine is nearly idle. */
  readonly held: HeldPromptQueue<PrefillChoice>;
  /** Work of workspaces, for pools that ask for fair shares. */
  readonly shares: PoolShares;
  /** Number of entries in the fleet, including this one. */
  readonly entries: () => number;
  /**
   * True if the load reports are too infrequent to place work by them alone.
   */
  readonly isLoadStale: () => boolean;
  /** Refreshes the load of these endpoints from their owners. */
  readonly refreshLoad: (endpoints: readonly EndpointId[]) => Promise<void>;
  /** Memory for responses that callers read slowly. */
  readonly responseBuffers: ResponseBuffers;
  /** Limits the queries for the load of plain services. */
  readonly queryAllowance: QueryAllowance;
  /** Estimated backlog of this entry's network link. */
  readonly link: LinkBacklog;
  /** Event loop delay of this process, in milliseconds. */
  readonly loopDelayMilliseconds: () => number;
  /** For how long what is read now may have waited unread, in milliseconds. */
  readonly readDelayMilliseconds: () => number;
  /** The planned stop of this entry. */
  readonly plannedStop: PlannedStop;
  /** Requests that have a route and whose responses have not ended. */
  readonly openForwards: Set<OpenForward>;
  readonly endpointClient: EndpointClient;
  /** Origins of resumable streams, here and at other entries. */
  readonly streams: StreamOriginExchange;
  readonly versions: VersionListing;
  /** Whether registrations are known to be those of the present processes. */
  readonly contact: FleetContact;
  /** Digest by which a retried request is recognized. */
  readonly digestOf: (request: ForwardedRequest) => RequestDigest;
  /** Digest by which a part of prompts is recognized in a pool. */
  readonly partDigestOf: (pool: ServiceName, part: string) => PartDigest;
  readonly observe: ObserveForwarding;
  /**
   * Records that a response announced that this run is leaving; true if new.
   */
  readonly reportLeaving: (run: EndpointRun) => boolean;
  /** Records that a request of the workspace started to run at this time. */
  readonly noteStarted: (workspace: WorkspaceId, at: number) => void;
  /** True while an engine changes its role and accepts no new work. */
  readonly isChanging: (endpoint: EndpointId) => boolean;
  /** The routes in force; undefined until a configuration is known. */
  readonly routes: () => RouteTable | undefined;
  /** Routes by which streams may have begun that can still be taken up. */
  readonly formerRoutes: FormerRoutes;
  readonly configurationStatus: ConfigurationStatus;
}
