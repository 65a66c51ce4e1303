/** The operators' configuration of forwarded requests. */
import type {
  AvailabilityZoneId,
  EndpointId,
  ReplicaStartTime,
  ServiceName,
  SoftwareVersion,
} from "../identity/mod.ts";
import type { WorkspaceKeys } from "./callers/key_directory.ts";

/**
 * How often a request may run. `idempotent`: any number of times. `once`: at
 * most once for each attempt of the caller. `stream`: once; on a resumable
 * route, a further run may continue after the last event.
 */
export type RepeatPolicy = "idempotent" | "once" | "stream";

/** Share of a route's requests that goes to a pool. */
export interface PoolShare {
  readonly pool: ServiceName;
  readonly weight: number;
}

/** Maps requests by host and path to pools, and sets their limits. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True if callers need no key. */
  readonly isPublic?: boolean;
  readonly repeat: RepeatPolicy;
  readonly resumable: boolean;
  /** Maximum time a caller is kept waiting, milliseconds. */
  readonly timeoutMilliseconds: number;
  /**
   * Time within which a response (of a stream, its first event) is on time,
   * milliseconds.
   */
  readonly targetMilliseconds: number;
  /**
   * Silence after which callers abandon a stream, also before its first byte,
   * milliseconds; absent if they wait until their deadline.
   */
  readonly patienceMilliseconds?: number;
  /**
   * Longest pause between two events of a stream that is on time, milliseconds;
   * absent if the route names none.
   */
  readonly maxPauseMilliseconds?: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of endpoints that may run one attempt of a caller. */
  readonly mostAttempts: number;
  readonly shares: readonly PoolShare[];
}

/** Capacity of an engine; absent on pools of plain services. */
export interface EngineLimits {
  /** Tokens that fit the memory of an engine. */
  readonly memoryTokens: number;
  /** Size of the key-value cache of one token, bytes. */
  readonly cacheTokenBytes: number;
  /** Bandwidth of the link over which engines transfer caches. */
  readonly linkMegabitsPerSecond: number;
}

/** Replicas that serve the same work. */
export interface Pool {
  readonly name: ServiceName;
  /**
   * Maximum number of connections to one replica, from all processes together.
   */
  readonly mostConnections: number;
  /** Path at which a replica reports its health; absent if there is none. */
  readonly healthPath?: string;
  readonly engine?: EngineLimits;
}

/** Limits on a caller's requests and connections. */
export interface CallerLimits {
  readonly mostHeaderBytes: number;
  readonly mostBodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One complete version of the operators' configuration. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<ServiceName, Pool>;
  readonly limits: CallerLimits;
  /**
   * Workspaces whose callers are admitted; if absent, everyone is admitted and
   * keys are ignored.
   */
  readonly workspaces?: readonly WorkspaceKeys[];
}

/** Phases of a model's work that an engine handles. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** A replica as registered by itself. */
export interface RegisteredEndpoint {
  /** May stay the same when the replica restarts. */
  readonly id: EndpointId;
  /**
   * Identifies the run of the replica; absent if the replica does not report
   * it.
   */
  readonly startedAt?: ReplicaStartTime;
  /** Number of registrations that the run has written; absent if unknown. */
  readonly sequence?: number;
  readonly pool: ServiceName;
  /** Replicas of several versions may serve a pool, in no order. */
  readonly softwareVersion: SoftwareVersion;
  /** `host:port`; may be reused by another replica. */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly slots: number;
  readonly leaving: boolean;
  /** Absent on plain services. */
  readonly role?: EngineRole;
}
