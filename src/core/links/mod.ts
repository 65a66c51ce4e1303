/**
 * What the cores of entry and side need from the network, as functions passed
 * to them: over sockets in a process, through a simulated network in a test.
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

/** Where a process of the system listens to its peers, as `host:port`. */
export type PeerAddress = Branded<string, "PeerAddress">;

/**
 * `link_not_sent`: nothing reached the other process, and nothing will.
 * `link_lost`: the message may have arrived, now or later.
 */
export type LinkFailure = Failure<"link_not_sent" | "link_lost">;

/** An attempt that is under way at a side. */
export interface AttemptCall {
  /**
   * Settles when no further frame can come. It says nothing about the answer:
   * only an end or response frame does.
   */
  readonly closed: Promise<Result<void, LinkFailure>>;
  /** Gives the attempt up; the side cancels it at its endpoint. */
  cancel(): void;
  /** Holds the frames back at their source while the caller reads slowly. */
  pause(): void;
  resume(): void;
}

/** What an entry asks of sides. */
export interface SideLink {
  run(
    side: PeerAddress,
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall;
  /** Asks what became of a record on the `once` stream, and may bar it. */
  ask(
    side: PeerAddress,
    question: OnceQuestion,
  ): Promise<Result<OnceAnswer, LinkFailure>>;
  report(side: PeerAddress): Promise<Result<SideReport, LinkFailure>>;
}

/** State of one stream after all records up to `upTo`, taken from a peer. */
export interface StreamSnapshot {
  readonly upTo: number;
  readonly state: Readonly<Record<string, unknown>>;
}

/** What sides, entries and operators ask of entries. */
export interface EntryLink {
  watch(
    entry: PeerAddress,
    question: WatchQuestion,
  ): Promise<Result<WatchAnswer, LinkFailure>>;
  /** Without a question: the whole status. */
  status(
    entry: PeerAddress,
    question?: StatusQuestion,
  ): Promise<Result<EntryStatus, LinkFailure>>;
  /** The peer's state of a stream; used where the log itself can't be read. */
  snapshot(
    entry: PeerAddress,
    stream: string,
  ): Promise<Result<StreamSnapshot, LinkFailure>>;
}

/** Load and state as an engine tells them, possibly late. */
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

/** `endpoint_refused`: not started. The others: may have run. */
export type EndpointFailure = Failure<
  | "endpoint_refused"
  | "endpoint_unreachable"
  | "endpoint_closed"
  | "endpoint_garbage"
  | "endpoint_error"
>;

/** The whole answer of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A generation under way at the engine. */
export interface GenerationCall {
  /** Settles with the reason of the end; every token has been given before. */
  readonly finished: Promise<Result<"stop" | "length", EndpointFailure>>;
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** What an engine gave out for another engine to take in. */
export type CacheReference = Readonly<Record<string, unknown>>;

/**
 * What a side asks of the endpoint that it stands beside. An attempt may bring
 * another engine's cache; an engine that can't take it in makes it anew.
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
   * Gives out the cache of an answer under way, with the tokens it has made so
   * far. Absent where the endpoint can't.
   */
  exportCache?(
    attempt: AttemptRequest,
    tokens: readonly string[],
  ): Promise<Result<CacheReference, EndpointFailure>>;
  /** Gives the engine its target state with a fencing number (log offset). */
  order(
    target: EngineTarget,
    fencing: number,
  ): Promise<Result<void, EndpointFailure | Failure<"order_fenced">>>;
}

/** One VM of the platform's list; the list lags behind the truth. */
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
