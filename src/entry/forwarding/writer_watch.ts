import type { RegisteredEndpoint } from "../../core/forwarding/mod.ts";
import { sleep } from "../../core/time/mod.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type { EndpointConnection } from "./network_interfaces.ts";

/** Time for all questions about one end. */
const MAX_QUESTION_MILLISECONDS = 5_000;
/** Pause before the third question; it doubles with each further one. */
const FIRST_PAUSE_MILLISECONDS = 25;

/** On what the verdict over an end that only the connection shows is based. */
export type EndEvidence =
  /** The process has answered a question that was sent behind the end. */
  | "answered"
  /** Another process has answered the question. */
  | "answered_by_other"
  /** No process has said in time who it is. */
  | "not_answered"
  /** No process accepts connections at the address. */
  | "not_listening"
  /** The service has no health path, so there is no question to ask. */
  | "not_asked"
  /** Another run has registered under the id, or it is at another address. */
  | "registered_again";

export interface WriterWatchOptions {
  readonly dependencies: Pick<
    ForwardingDependencies,
    "readDelayMilliseconds" | "registry" | "timer" | "writerConnections"
  >;
  readonly endpoint: RegisteredEndpoint;
  /** Path at which the endpoint answers for itself. */
  readonly healthPath: string | undefined;
}

/** The verdict over the end of a body, for the log. */
export interface EndVerdict {
  readonly endEvidence: EndEvidence;
  /** For how long the end may have waited to be read, milliseconds. */
  readonly endDelayMilliseconds: number;
  readonly endQuestions: number;
  /** Time from the end to the verdict. */
  readonly endVerdictMilliseconds: number;
}

/**
 * Finds out whether the process that wrote a body which ends with its
 * connection has outlived it. The operating system ends the connections of a
 * killed process in order, as behind a whole body, one after the other, and each
 * end may be lost and repeated. So nothing but an answer of the process to a
 * question that was sent behind the end proves the end. The connection for it is
 * opened before, as a process that leaves accepts no further ones.
 */
export class WriterWatch {
  readonly #options: WriterWatchOptions;
  #connection: EndpointConnection;
  #questions = 0;
  #isClosed = false;

  /** Call when the head of the response has been read. */
  constructor(options: WriterWatchOptions) {
    this.#options = options;
    const { dependencies, endpoint } = options;
    this.#connection = dependencies.writerConnections.take(endpoint);
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#connection.close();
  }

  /** Judges the end of the body that was just read. */
  async judgeEnd(maxMilliseconds: number): Promise<EndVerdict> {
    const { readDelayMilliseconds, timer } = this.#options.dependencies;
    const begunAt = timer.now();
    const endDelayMilliseconds = Math.round(readDelayMilliseconds());
    const endEvidence = await this.#findEvidence(
      begunAt + Math.min(maxMilliseconds, MAX_QUESTION_MILLISECONDS),
    );
    this.#release(endEvidence);
    return {
      endEvidence,
      endDelayMilliseconds,
      endQuestions: this.#questions,
      endVerdictMilliseconds: Math.round(timer.now() - begunAt),
    };
  }

  async #findEvidence(until: number): Promise<EndEvidence> {
    const { dependencies, endpoint, healthPath } = this.#options;
    const { timer } = dependencies;
    if (healthPath === undefined) return "not_asked";
    let isOpenedBefore = true;
    while (!this.#isClosed) {
      const evidence = await this.#ask(healthPath, until);
      if (evidence !== undefined) return evidence;
      const isRejected = this.#connection.state === "rejected";
      if (isRejected && !isOpenedBefore) return "not_listening";
      const pause = this.#pauseMilliseconds;
      if (timer.now() + pause >= until) break;
      if (pause > 0) await sleep(timer, pause);
      // Nothing closes a connection that is opened behind the close.
      if (this.#isClosed) break;
      this.#connection.close();
      this.#connection = dependencies.writerConnections.open(endpoint);
      isOpenedBefore = false;
    }
    return "not_answered";
  }

  /** Undefined if the answer, or its absence, shows nothing of the process. */
  async #ask(
    healthPath: string,
    until: number,
  ): Promise<EndEvidence | undefined> {
    const { dependencies: { timer }, endpoint } = this.#options;
    const connection = this.#connection;
    await connection.opened;
    if (connection.state !== "open" || this.#isClosed) return undefined;
    this.#questions += 1;
    const process = await connection.identify(endpoint.id, {
      healthPath,
      timeoutMilliseconds: Math.max(0, until - timer.now()),
    });
    if (process === "other") return "answered_by_other";
    if (process !== "expected") return undefined;
    return this.#isRegisteredAgain ? "registered_again" : "answered";
  }

  /** True if the id may name another run than the writer. */
  get #isRegisteredAgain(): boolean {
    const { dependencies: { registry }, endpoint } = this.#options;
    const registered = registry.get(endpoint.id);
    return registered !== undefined &&
      (registered.startedAt !== endpoint.startedAt ||
        registered.address !== endpoint.address);
  }

  /** The connection from before the end may have been closed as idle. */
  get #pauseMilliseconds(): number {
    return this.#questions < 2
      ? 0
      : FIRST_PAUSE_MILLISECONDS * 2 ** (this.#questions - 2);
  }

  #release(evidence: EndEvidence): void {
    const { dependencies, endpoint } = this.#options;
    if (evidence !== "answered" || this.#isClosed) return this.close();
    this.#isClosed = true;
    dependencies.writerConnections.release(endpoint, this.#connection);
  }
}

/** True if the evidence proves that the body is whole. */
export function provesEnd(evidence: EndEvidence): boolean {
  return evidence === "answered";
}
