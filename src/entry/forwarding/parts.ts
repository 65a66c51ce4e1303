/** What all forwarded requests of an entry share. */
import type {
  CrashSuspects,
  EndpointOutcomes,
  EndpointRegistry,
  EndpointRun,
  EngineEstimates,
  EnginePlacement,
  EngineSlowness,
  ForwardedRequest,
  HeldPrompts,
  LinkQueue,
  LoadPicture,
  PrefillChoice,
  PrefixDirectory,
  RetryAllowance,
  ReturningCallers,
  RouteTable,
  WorkRate,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
  RequestDigest,
  WorkspaceId,
} from "../../core/identity/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { EndpointDoor } from "./links.ts";
import type { ObserveForwarding } from "./observer.ts";

export interface ForwardingParts {
  readonly timer: TimerService;
  readonly random: Random;
  readonly availabilityZone: AvailabilityZoneId;
  readonly registry: EndpointRegistry;
  readonly load: LoadPicture;
  readonly prefixes: PrefixDirectory;
  readonly outcomes: EndpointOutcomes;
  readonly placement: EnginePlacement;
  readonly estimates: EngineEstimates;
  readonly slowness: EngineSlowness;
  readonly allowance: RetryAllowance;
  /** Requests under which endpoints have crashed. */
  readonly crashes: CrashSuspects;
  readonly returning: ReturningCallers;
  /** Readings that this entry has begun for answers on time. */
  readonly onTimeWork: WorkRate;
  /** Prompts that wait here for an engine. */
  readonly held: HeldPrompts<PrefillChoice>;
  /** Entries of the fleet, this one included. */
  readonly entries: () => number;
  /** True where the picture of the load is too old to place work by. */
  readonly isLoadStale: () => boolean;
  /** Brings the picture of these endpoints' load up to date. */
  readonly refreshLoad: (endpoints: readonly EndpointId[]) => Promise<void>;
  /** The link over which this entry sends. */
  readonly link: LinkQueue;
  /** How late this process is in taking up what comes, milliseconds. */
  readonly loopDelay: () => number;
  readonly door: EndpointDoor;
  /** By what a request is known again when its caller sends it once more. */
  readonly digestOf: (request: ForwardedRequest) => RequestDigest;
  readonly observe: ObserveForwarding;
  /** An answer says that this run leaves; true where this is news. */
  readonly saidLeaving: (run: EndpointRun) => boolean;
  /** A request of the workspace began to run at this moment. */
  readonly began: (workspace: WorkspaceId, at: number) => void;
  /** True while an engine changes its role and takes no new work. */
  readonly isChanging: (endpoint: EndpointId) => boolean;
  /** The routes in force; undefined while no configuration is known. */
  readonly routes: () => RouteTable | undefined;
}
