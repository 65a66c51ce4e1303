import type {
  BlockedSuspect,
  ForwardedRequest,
  PeerReadResult,
  PlannedStop,
  TopicSpan,
  VerdictChange,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  PartDigest,
  RequestDigest,
  ServiceName,
  SuspectDigest,
} from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { LoadQueryOutcome } from "./load_queries.ts";
import type { EndpointClient } from "./network_interfaces.ts";
import type { DroppedNotification, SendToPeers } from "./notifications/mod.ts";
import type { ObserveForwarding } from "./observer.ts";
import type { PeerStateFallbackOptions } from "./peer_state_fallback.ts";
import type { PermitOutcome } from "./request_permits.ts";
import type { RoleLink } from "./role_controller.ts";
import type {
  StreamLookupOutcome,
  StreamOriginExchangeOptions,
} from "./stream_origin_exchange.ts";
import type { UsageReporterOptions } from "./usage_reporter.ts";
import type { VersionLink } from "./version_listing.ts";

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
  /** For how long what is read now may have waited unread, in milliseconds. */
  readonly readDelayMilliseconds: () => number;
  /** The planned stop of this entry. */
  readonly plannedStop: PlannedStop;
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
  /** Called for each notification of a peer that had no effect. */
  readonly onDroppedNotification?: (dropped: DroppedNotification) => void;
}
