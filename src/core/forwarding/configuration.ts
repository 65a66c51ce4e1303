/** What operators have put in force for forwarded requests. */
import type {
  AvailabilityZoneId,
  EndpointId,
  ReplicaStart,
  ServiceName,
} from "../identity/mod.ts";
import type { WorkspaceKeys } from "./callers/key_directory.ts";

/**
 * What may be repeated. `idempotent`: any number of runs. `once`: one run at
 * most for each attempt of the caller. `stream`: one run, and where the route
 * is resumable a further run may go on behind the last event.
 */
export type RepeatRule = "idempotent" | "once" | "stream";

/** Share of a route's requests that goes to a pool. */
export interface PoolShare {
  readonly pool: ServiceName;
  readonly weight: number;
}

/** Where requests of a host and path go, and within which limits. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** True: callers need no key. */
  readonly isPublic?: boolean;
  readonly repeat: RepeatRule;
  readonly resumable: boolean;
  /** Longest time that a caller is kept waiting, milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Within this an answer (a stream's first event) is on time. */
  readonly targetMilliseconds: number;
  /**
   * Silence after which callers leave a stream, before its first byte too,
   * milliseconds; absent where they wait for their deadline.
   */
  readonly patienceMilliseconds?: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Most endpoints that may run one attempt of a caller. */
  readonly mostAttempts: number;
  readonly shares: readonly PoolShare[];
}

/** What an engine can do; absent on pools of plain services. */
export interface EngineLimits {
  /** Tokens that an engine's memory holds. */
  readonly memoryTokens: number;
  /** Size of one token's cache, bytes. */
  readonly cacheTokenBytes: number;
  /** Speed of the link over which engines hand caches over. */
  readonly linkMegabitsPerSecond: number;
}

/** Replicas that serve the same work. */
export interface Pool {
  readonly name: ServiceName;
  /** Connections that one replica takes from all processes together. */
  readonly mostConnections: number;
  readonly engine?: EngineLimits;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly mostHeaderBytes: number;
  readonly mostBodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One version of the operators' configuration, whole. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<ServiceName, Pool>;
  readonly limits: CallerLimits;
  /** Whose callers are let in; absent: everyone is, and keys mean nothing. */
  readonly workspaces?: readonly WorkspaceKeys[];
}

/** The part of a model engine's work that it takes. */
export type EngineRole = "prefill" | "decode" | "mixed";

/** A replica as it has registered itself. */
export interface RegisteredEndpoint {
  /** May be the same after a restart of the replica. */
  readonly id: EndpointId;
  /** Tells one run of the replica from the next; absent where it tells none. */
  readonly startedAt?: ReplicaStart;
  readonly pool: ServiceName;
  /** `host:port`; may belong to another replica later. */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly slots: number;
  readonly leaving: boolean;
  /** Absent on plain services. */
  readonly role?: EngineRole;
}
