import type { RegisteredEndpoint } from "../../core/forwarding/mod.ts";
import { sleep, withTimeout } from "../../core/time/mod.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type { EndpointConnection } from "./network_interfaces.ts";

/** Time for all questions about one end. */
const MAX_QUESTION_MILLISECONDS = 5_000;
/** Pause before the third connection; it doubles with each further one. */
const FIRST_PAUSE_MILLISECONDS = 25;
/**
 * Silence after which the question is asked on another connection, too: a
 * connection may be silent while its endpoint answers on others.
 */
const MAX_SILENCE_MILLISECONDS = 100;
/** The same, as a fraction of the time for all questions. */
const MAX_SILENCE_FRACTION = 1 / 4;
/**
 * Time in which a connection that is opened when the body begins leads to its
 * writer. Behind a longer one, as at the end of a network partition, a later run
 * may have accepted it.
 */
const MAX_OPENING_MILLISECONDS = 100;
/**
 * Time from the opening of a connection that replaces an ended one to the end of
 * the body. With less, both ends may be those of a killed process.
 */
const MIN_REPLACED_MILLISECONDS = 10;
/** A busy endpoint answers late, so a question may not add to its work often. */
const MAX_OPEN_QUESTIONS = 3;

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
  /**
   * A process with the id has answered, which may be a later run: runs of the
   * endpoint share an id, and the connection is not known to lead to the writer.
   */
  | "answered_by_unknown_run"
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

interface Answer {
  readonly connection: EndpointConnection;
  readonly evidence?: EndEvidence;
  /** True if the writer has rejected the question, and may be asked again. */
  readonly isRejected?: boolean;
}

type UnknownRunAnswer = Answer & {
  readonly evidence: "answered_by_unknown_run";
};

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
  /** The connection that was opened before the end. */
  readonly #first: EndpointConnection;
  /** The connection for the question behind the next one that is open. */
  #next: EndpointConnection | undefined;
  /** A connection that has opened in place of the first one. */
  #replacement: EndpointConnection | undefined;
  /** The connections that lead to the writer, and to no later run. */
  readonly #toWriter = new Set<EndpointConnection>();
  /** The questions that are not answered yet, by their connections. */
  readonly #open = new Map<EndpointConnection, Promise<Answer>>();
  /** True once the first connection is one for later questions. */
  #isFirstKept = false;
  /** Connections on which the question was to be asked. */
  #connections = 0;
  /** Questions that were sent. */
  #questions = 0;
  /** True once the end of the body has been read. */
  #isBodyOver = false;
  #isClosed = false;

  /** Call when the head of the response has been read. */
  constructor(options: WriterWatchOptions) {
    this.#options = options;
    const { dependencies: { writerConnections }, endpoint } = options;
    const { connection, mayBeSilent } = writerConnections.take(endpoint);
    this.#first = connection;
    this.#expectWriterOn(connection);
    if (!this.#sharesId) return;
    if (mayBeSilent) this.#expectWriterOn(this.#openNext());
    connection.ended.then(() => this.#replaceFirst());
  }

  #expectWriterOn(connection: EndpointConnection): void {
    this.#onOpened(connection, () => this.#toWriter.add(connection));
  }

  /** Calls the listener if the connection is open or opens in time. */
  #onOpened(connection: EndpointConnection, listener: () => void): void {
    if (connection.state === "open") return listener();
    const { timer } = this.#options.dependencies;
    const begunAt = timer.now();
    connection.opened.then(() => {
      if (timer.now() - begunAt <= MAX_OPENING_MILLISECONDS) listener();
    });
  }

  /** Replaces a connection that the endpoint has closed as idle. */
  #replaceFirst(): void {
    const isReplaced = this.#next !== undefined;
    if (isReplaced || this.#isBodyOver || this.#isClosed) return;
    if (this.#first.state !== "ended") return;
    const next = this.#openNext();
    this.#onOpened(next, () => this.#replacement = next);
  }

  /**
   * The ends of a killed process arrive together, and a later run may answer on
   * the replacement. A body that goes on behind it has a writer that lives.
   */
  #judgeReplacement(endDelayMilliseconds: number): void {
    const replacement = this.#replacement;
    if (replacement === undefined) return;
    const openMilliseconds = replacement.openMilliseconds -
      endDelayMilliseconds;
    if (openMilliseconds < MIN_REPLACED_MILLISECONDS) return;
    this.#toWriter.add(replacement);
  }

  #openNext(): EndpointConnection {
    const { dependencies, endpoint } = this.#options;
    this.#next = dependencies.writerConnections.open(endpoint);
    return this.#next;
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    if (!this.#isFirstKept) this.#first.close();
    this.#next?.close();
    for (const connection of this.#open.keys()) connection.close();
  }

  /** Judges the end of the body that was just read. */
  async judgeEnd(maxMilliseconds: number): Promise<EndVerdict> {
    const { readDelayMilliseconds, timer } = this.#options.dependencies;
    const begunAt = timer.now();
    this.#isBodyOver = true;
    const endDelayMilliseconds = Math.round(readDelayMilliseconds());
    this.#judgeReplacement(endDelayMilliseconds);
    const endEvidence = await this.#findEvidence(
      begunAt + Math.min(maxMilliseconds, MAX_QUESTION_MILLISECONDS),
    );
    this.close();
    return {
      endEvidence,
      endDelayMilliseconds,
      endQuestions: this.#questions,
      endVerdictMilliseconds: Math.round(timer.now() - begunAt),
    };
  }

  async #findEvidence(until: number): Promise<EndEvidence> {
    const { dependencies: { timer }, healthPath } = this.#options;
    if (healthPath === undefined) return "not_asked";
    const maxSilence = Math.min(
      MAX_SILENCE_MILLISECONDS,
      (until - timer.now()) * MAX_SILENCE_FRACTION,
    );
    const ask = (connection: EndpointConnection): void => {
      const answer = this.#ask(connection, { healthPath, until });
      this.#open.set(connection, answer);
      this.#connections += 1;
    };
    ask(this.#first);
    let fallback: EndEvidence = "not_answered";
    let nextAt = timer.now() + maxSilence;
    while (!this.#isClosed && timer.now() < until) {
      const answer = await this.#nextAnswer(Math.min(nextAt, until));
      if (this.#isClosed) break;
      if (this.#isSurpassable(answer)) {
        answer.connection.close();
        fallback = answer.evidence;
        nextAt = Infinity;
      } else if (answer?.evidence !== undefined) {
        return this.#settle(answer.evidence, answer.connection);
      } else if (answer !== undefined) {
        if (answer.isRejected) this.#next ??= answer.connection;
        if (this.#isNotListening(answer)) return "not_listening";
        nextAt = timer.now() + this.#pauseMilliseconds;
        if (this.#open.size === 0 && nextAt >= until) break;
      } else if (timer.now() >= nextAt) {
        ask(this.#takeNext());
        nextAt = this.#open.size < MAX_OPEN_QUESTIONS
          ? timer.now() + maxSilence * this.#open.size
          : Infinity;
      }
    }
    return fallback;
  }

  /** True if the writer may still answer for itself on another connection. */
  #isSurpassable(answer: Answer | undefined): answer is UnknownRunAnswer {
    return answer?.evidence === "answered_by_unknown_run" &&
      [...this.#open.keys()].some((each) => this.#toWriter.has(each));
  }

  #takeNext(): EndpointConnection {
    const next = this.#next;
    this.#next = undefined;
    const { dependencies, endpoint } = this.#options;
    return next?.state === "open" || next?.state === "opening"
      ? next
      : dependencies.writerConnections.open(endpoint);
  }

  /** True if a new connection was rejected, and no other one is open. */
  #isNotListening({ connection }: Answer): boolean {
    const { state } = connection;
    if (connection !== this.#next) connection.close();
    return state === "rejected" && connection !== this.#first &&
      this.#open.size === 0;
  }

  /** The next answer; undefined if there is none until the time. */
  async #nextAnswer(until: number): Promise<Answer | undefined> {
    const { timer } = this.#options.dependencies;
    const milliseconds = until - timer.now();
    if (milliseconds <= 0) return undefined;
    if (this.#open.size === 0) {
      await sleep(timer, milliseconds);
      return undefined;
    }
    const answer = await withTimeout(Promise.race(this.#open.values()), {
      timer,
      milliseconds,
    });
    if (answer !== undefined) this.#open.delete(answer.connection);
    return answer;
  }

  /** The answer has no evidence if it, or its absence, shows nothing. */
  async #ask(
    connection: EndpointConnection,
    { healthPath, until }: {
      readonly healthPath: string;
      readonly until: number;
    },
  ): Promise<Answer> {
    const { dependencies: { timer }, endpoint } = this.#options;
    await connection.opened;
    if (connection.state !== "open" || this.#isClosed) return { connection };
    this.#questions += 1;
    const process = await connection.identify(endpoint.id, {
      healthPath,
      timeoutMilliseconds: Math.max(0, until - timer.now()),
    });
    if (process === "other") {
      return { connection, evidence: "answered_by_other" };
    }
    if (process === "rejecting") {
      return { connection, isRejected: this.#mayBeAskedAgain(connection) };
    }
    if (process !== "expected") return { connection };
    return { connection, evidence: this.#evidenceOf(connection) };
  }

  /** Another connection might lead to a later run. */
  #mayBeAskedAgain(connection: EndpointConnection): boolean {
    return this.#sharesId && this.#toWriter.has(connection) &&
      connection.state === "open";
  }

  /** What an answer under the writer's id shows. */
  #evidenceOf(connection: EndpointConnection): EndEvidence {
    if (this.#isRegisteredAgain) return "registered_again";
    const isOfWriter = !this.#sharesId || this.#toWriter.has(connection);
    return isOfWriter ? "answered" : "answered_by_unknown_run";
  }

  /** True if a run that starts later may have the writer's id. */
  get #sharesId(): boolean {
    return this.#options.endpoint.startedAt !== undefined;
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
    return this.#connections < 2
      ? 0
      : FIRST_PAUSE_MILLISECONDS * 2 ** (this.#connections - 2);
  }

  /** Keeps the connection on which the writer has answered. */
  #settle(
    evidence: EndEvidence,
    connection: EndpointConnection,
  ): EndEvidence {
    const { dependencies, endpoint } = this.#options;
    if (evidence !== "answered") {
      connection.close();
      return evidence;
    }
    // What has silenced the connection may have silenced the idle ones.
    if (this.#open.has(this.#first)) {
      dependencies.writerConnections.closeIdle(endpoint);
    }
    this.#isFirstKept = connection === this.#first;
    dependencies.writerConnections.release(endpoint, connection);
    return evidence;
  }
}

/** True if the evidence proves that the body is whole. */
export function provesEnd(evidence: EndEvidence): boolean {
  return evidence === "answered";
}
