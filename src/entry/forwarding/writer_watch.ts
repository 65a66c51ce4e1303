import type { RegisteredEndpoint } from "../../core/forwarding/mod.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type { EndpointConnection } from "./network_interfaces.ts";

/**
 * Time from the end of a body to the verdict over it. A process that ends
 * closes some of its sockets a moment after others.
 */
const END_CHECK_DELAY_MILLISECONDS = 50;
/**
 * A connection that ends at most this long before the body shows that the
 * process has ended, and not that it closes idle connections.
 */
const SAME_END_MILLISECONDS = 100;
/**
 * What may have waited unread for longer than this does not tell in which order
 * a body ended, its process did and another one took its address.
 */
const MAX_READ_DELAY_MILLISECONDS = 250;
/** Connections that are opened within one body, to one that closes them all. */
const MAX_CONNECTIONS = 16;

/** Grounds on which an end that only the connection shows is whole. */
const PROOFS = [
  /** A connection to the process from before the end is still open. */
  "connected",
  /** The process has ended or rejected a connection, and took one after it. */
  "listening",
  /** The process has said that it leaves, and may accept no connection. */
  "leaving",
  /** The process answered behind its removal from the list, as in a drain. */
  "outlived_registration",
] as const;

/** On what the verdict over an end that only the connection shows is based. */
export type EndEvidence =
  | typeof PROOFS[number]
  /** The process has ended with the body. */
  | "connection_ended"
  | "not_listening"
  | "not_registered"
  /** Another run has registered under the id, or it is at another address. */
  | "registered_again"
  /** Read too late to tell which process listened when. */
  | "read_late";

export interface WriterWatchOptions {
  readonly dependencies: Pick<
    ForwardingDependencies,
    "endpointClient" | "readDelayMilliseconds" | "registry"
  >;
  readonly endpoint: RegisteredEndpoint;
}

/** The verdict over the end of a body, for the log. */
export interface EndVerdict {
  readonly endEvidence: EndEvidence;
  /** For how long the end may have waited to be read, milliseconds. */
  readonly endDelayMilliseconds: number;
}

/**
 * Watches the process that writes a body which ends with its connection. The
 * operating system ends the connections of a killed process in order, as behind
 * a whole body, and another process may listen at the address soon after. A
 * second connection to the process ends with it, whoever listens then.
 */
export class WriterWatch {
  readonly #options: WriterWatchOptions;
  #connection: EndpointConnection;
  /** Present once a connection has ended: the last one that did. */
  #ended: EndpointConnection | undefined;
  #connections = 0;
  /** True if the process took no connection while the body went on. */
  #hasStoppedListening = false;
  /** True if the order of what was read is not that of what has happened. */
  #isOutOfOrder: boolean;
  readonly #beganLate: boolean;
  #hasOutlivedRegistration = false;
  #isClosed = false;
  #isJudging = false;

  /** Call when the head of the response has been read. */
  constructor(options: WriterWatchOptions) {
    this.#options = options;
    this.#connection = this.#connect();
    this.#beganLate = this.#isLate;
    this.#isOutOfOrder = this.#beganLate;
    this.onBytes();
  }

  #connect(): EndpointConnection {
    const { dependencies, endpoint } = this.#options;
    const connection = dependencies.endpointClient.connect(endpoint.address);
    this.#connections += 1;
    connection.closed.then(() => this.#onConnectionClosed(connection));
    return connection;
  }

  /**
   * Tries at once whether a process that has closed a connection still listens.
   * The operating system of a killed process may send the rest of a body for
   * long after, and another process may listen at the end of it.
   */
  #onConnectionClosed(connection: EndpointConnection): void {
    const isReplaced = connection !== this.#connection;
    if (this.#isClosed || isReplaced) return;
    // The first connection that ends with the body shows an end of the process.
    if (this.#isJudging && this.#ended === undefined) return;
    if (connection.state !== "ended") {
      this.#hasStoppedListening = this.#ended !== undefined;
      return;
    }
    if (this.#connections >= MAX_CONNECTIONS) return;
    if (this.#isLate) this.#isOutOfOrder = true;
    this.#ended = connection;
    this.#connection = this.#connect();
  }

  /** Call for each part of the body. */
  onBytes(): void {
    const { dependencies, endpoint } = this.#options;
    if (this.#isLate) this.#isOutOfOrder = true;
    const isRegistered = dependencies.registry.get(endpoint.id) !== undefined;
    if (!isRegistered && !this.#isOutOfOrder) {
      this.#hasOutlivedRegistration = true;
    }
  }

  /** Call when the body is not read for a while. */
  onPause(): void {
    this.#isOutOfOrder = true;
  }

  close(): void {
    this.#isClosed = true;
    this.#connection.close();
  }

  /** Judges the end of the body that was just read. */
  async judgeEnd(maxMilliseconds: number): Promise<EndVerdict> {
    const { endpointClient, readDelayMilliseconds } =
      this.#options.dependencies;
    this.#isJudging = true;
    // A process that has closed a connection before closes idle ones.
    const hasEnded = this.#ended !== undefined && this.#connections === 2 &&
      this.#ended.millisecondsSinceEnd <= SAME_END_MILLISECONDS;
    const endDelayMilliseconds = Math.round(readDelayMilliseconds());
    if (this.#isLate) this.#isOutOfOrder = true;
    const reconnects = this.#showsNothing && !this.#hasStoppedListening &&
      !this.#isClosed;
    if (reconnects) this.#connection = this.#connect();
    const checked = this.#connection;
    const delay = Math.min(END_CHECK_DELAY_MILLISECONDS, maxMilliseconds);
    await endpointClient.settle(checked, delay);
    if (this.#connection !== checked) {
      await endpointClient.settle(this.#connection, delay);
    }
    const endEvidence = this.#findEvidence({ hasEnded, reconnects });
    this.close();
    return { endEvidence, endDelayMilliseconds };
  }

  #findEvidence(
    { hasEnded, reconnects }: {
      readonly hasEnded: boolean;
      readonly reconnects: boolean;
    },
  ): EndEvidence {
    const { dependencies, endpoint } = this.#options;
    const registered = dependencies.registry.get(endpoint.id);
    const isOther = registered !== undefined &&
      (registered.startedAt !== endpoint.startedAt ||
        registered.address !== endpoint.address);
    if (isOther) return "registered_again";
    if (this.#beganLate) return "read_late";
    const { state } = this.#connection;
    if (hasEnded) return "connection_ended";
    const isFirst = !reconnects && this.#ended === undefined;
    if (isFirst && state === "open") return "connected";
    if (!reconnects && state === "ended") return "connection_ended";
    if (this.#isOutOfOrder) return "read_late";
    if (registered?.leaving) return "leaving";
    if (registered === undefined) {
      return this.#hasOutlivedRegistration
        ? "outlived_registration"
        : "not_registered";
    }
    return state === "open" ? "listening" : "not_listening";
  }

  /** True if the connection was rejected, or the process has outlived it. */
  get #showsNothing(): boolean {
    const { millisecondsSinceEnd, state } = this.#connection;
    return state === "rejected" ||
      (state === "ended" && millisecondsSinceEnd > SAME_END_MILLISECONDS);
  }

  get #isLate(): boolean {
    const { readDelayMilliseconds } = this.#options.dependencies;
    return readDelayMilliseconds() > MAX_READ_DELAY_MILLISECONDS;
  }
}

/** True if the evidence proves that the body is whole. */
export function provesEnd(evidence: EndEvidence): boolean {
  return (PROOFS as readonly EndEvidence[]).includes(evidence);
}
