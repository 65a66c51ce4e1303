/**
 * Network operations that the cores of entry and side need, as functions
 * passed to them: over sockets in production, over a simulated network in
 * tests.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../errors/mod.ts";
import type { Branded } from "../identity/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  EntryStatus,
  OnceAnswer,
  OnceQuestion,
  SideReport,
  StatusQuestion,
  WatchAnswer,
  WatchQuestion,
} from "../../generated/messages.ts";
import type { EngineTarget } from "../../generated/log_records.ts";

/**
 * Address at which a process of the system listens for its peers, as
 * `host:port`.
 */
export type PeerAddress = Branded<string, "PeerAddress">;

/**
 * Time after its last answer in which a connection is reused. One that has gone
 * silent without a reset looks like an idle one, and what is sent on it gets no
 * answer.
 */
export const MAX_IDLE_MILLISECONDS = 2_000;

/**
 * `link_not_sent`: the message did not and will not reach the other process.
 * `link_lost`: the message may have arrived or may still arrive.
 */
export type LinkFailure = Failure<"link_not_sent" | "link_lost">;

/** An attempt in progress at a side. */
export interface AttemptCall {
  /**
   * Settles when no further frame can arrive. It does not imply that the answer
   * is complete: only an end or response frame does.
   */
  readonly closed: Promise<Result<void, LinkFailure>>;
  /** Cancels the attempt; the side cancels it at its endpoint. */
  cancel(): void;
  /**
   * Applies backpressure at the source of the frames while the caller reads
   * slowly.
   */
  pause(): void;
  resume(): void;
}

/** Requests of an entry to sides. */
export interface SideLink {
  run(
    side: PeerAddress,
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall;
  /**
   * Queries the state of a record on the `once` stream, and optionally bars it.
   */
  ask(
    side: PeerAddress,
    question: OnceQuestion,
  ): Promise<Result<OnceAnswer, LinkFailure>>;
  report(side: PeerAddress): Promise<Result<SideReport, LinkFailure>>;
}

/** State of one stream after all records up to `upTo`, fetched from a peer. */
export interface StreamSnapshot {
  readonly upTo: number;
  readonly state: Readonly<Record<string, unknown>>;
}

/** Requests of sides, entries and operators to entries. */
export interface EntryLink {
  watch(
    entry: PeerAddress,
    question: WatchQuestion,
  ): Promise<Result<WatchAnswer, LinkFailure>>;
  /** Returns the whole status if there is no question. */
  status(
    entry: PeerAddress,
    question?: StatusQuestion,
  ): Promise<Result<EntryStatus, LinkFailure>>;
  /**
   * Returns the peer's state of a stream; used when the log itself is
   * unreadable.
   */
  snapshot(
    entry: PeerAddress,
    stream: string,
  ): Promise<Result<StreamSnapshot, LinkFailure>>;
}

/** Load and state as an engine reports them, possibly late. */
export interface EngineObservation {
  readonly role: "mixed" | "prefill" | "decode";
  readonly models: readonly string[];
  readonly weights: string;
  /** True while an order is being carried out. */
  readonly changing: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly ageMilliseconds: number;
}

/** `endpoint_refused`: not started. All others: may have run. */
export type EndpointFailure = Failure<
  | "endpoint_refused"
  | "endpoint_unreachable"
  | "endpoint_closed"
  | "endpoint_garbage"
  | "endpoint_error"
>;

/** The complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A generation in progress at the engine. */
export interface GenerationCall {
  /** Settles with the finish reason, after every token has been passed on. */
  readonly finished: Promise<Result<"stop" | "length", EndpointFailure>>;
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Reference to a cache exported by one engine, for import by another. */
export type CacheReference = Readonly<Record<string, unknown>>;

/**
 * Requests of a side to its endpoint. An attempt may reference another
 * engine's cache; an engine that can't import it recomputes the cache.
 */
export interface EndpointLink {
  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall;
  call(
    attempt: AttemptRequest,
  ): Promise<Result<ServiceResponse, EndpointFailure>>;
  observe(): Promise<Result<EngineObservation, EndpointFailure>>;
  /**
   * Exports the cache of an answer in progress, with the tokens generated so
   * far. Undefined if the endpoint does not support it.
   */
  exportCache?(
    attempt: AttemptRequest,
    tokens: readonly string[],
  ): Promise<Result<CacheReference, EndpointFailure>>;
  /** Sets the engine's target state with a fencing token (log offset). */
  order(
    target: EngineTarget,
    fencing: number,
  ): Promise<Result<void, EndpointFailure | Failure<"order_fenced">>>;
}

/** One VM of the platform's list, which can be outdated. */
export interface ListedVm {
  readonly id: string;
  readonly address: PeerAddress;
  readonly role: "entry" | "side";
  readonly availabilityZone: string;
  readonly leaving: boolean;
}

/** The platform's list of VMs. */
export interface VmList {
  read(): Promise<Result<readonly ListedVm[], Failure<"vm_list_unavailable">>>;
}
