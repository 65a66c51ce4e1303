import type { HistoryEvent } from "../../core/observation/mod.ts";

/** How a request ended, for the metrics. */
export interface RequestCompletion {
  readonly className: string;
  readonly outcome: "answered" | "not_run" | "unknown";
  readonly reason: string;
  readonly tokens: number;
  readonly seconds: number;
  /** True where the answer came within its deadline. */
  readonly onTime: boolean;
}

/** Where times go as they become known; seconds. */
export interface RequestTimingsListener {
  queued(className: string, seconds: number): void;
  firstToken(className: string, seconds: number): void;
  tokenInterval(className: string, seconds: number): void;
  completed(completion: RequestCompletion): void;
}

interface TrackedRequest {
  className: string;
  readonly receivedAt: number;
  placed: boolean;
  lastTokenAt: number | undefined;
  tokens: number;
}

/**
 * Requests that are followed at once. An end that is never told of would
 * otherwise leak an entry; beyond the bound the oldest is forgotten, and only
 * its times are missing.
 */
const MAX_TRACKED_REQUESTS = 20_000;
const UNNAMED_CLASS = "unnamed";
/**
 * Names of classes that metrics tell apart; the rules allow 16. A caller may
 * ask for a class of any name, and each new one would add a dozen series that
 * stay for good: one caller could fill the entry's memory.
 */
const MAX_CLASS_LABELS = 32;
const OTHER_CLASS = "other";

/** Works out the times of each request from the events of an entry. */
export class RequestTimings {
  readonly #listener: RequestTimingsListener;
  readonly #requests = new Map<string, TrackedRequest>();
  readonly #classLabels = new Set<string>();

  constructor(listener: RequestTimingsListener) {
    this.#listener = listener;
  }

  get size(): number {
    return this.#requests.size;
  }

  observe(event: HistoryEvent): void {
    switch (event.kind) {
      case "request_received":
        return this.#onReceived(event);
      case "request_placed":
        return this.#onPlaced(event);
      case "token_delivered":
        return this.#onToken(event);
      case "request_finished":
        return this.#onFinished(event);
    }
  }

  #onReceived({ at, facts }: HistoryEvent): void {
    this.#requests.set(String(facts.requestId), {
      className: this.#classLabel(facts) ?? UNNAMED_CLASS,
      receivedAt: at,
      placed: false,
      lastTokenAt: undefined,
      tokens: 0,
    });
    if (this.#requests.size <= MAX_TRACKED_REQUESTS) return;
    const [oldest] = this.#requests.keys();
    this.#requests.delete(oldest);
  }

  #onPlaced({ at, facts }: HistoryEvent): void {
    const request = this.#requests.get(String(facts.requestId));
    if (request === undefined || request.placed) return;
    request.placed = true;
    request.className = this.#classLabel(facts) ?? request.className;
    this.#listener.queued(
      request.className,
      (at - request.receivedAt) / 1000,
    );
  }

  #onToken({ at, facts }: HistoryEvent): void {
    const request = this.#requests.get(String(facts.requestId));
    if (request === undefined) return;
    const { className, lastTokenAt } = request;
    if (lastTokenAt === undefined) {
      this.#listener.firstToken(className, (at - request.receivedAt) / 1000);
    } else {
      this.#listener.tokenInterval(className, (at - lastTokenAt) / 1000);
    }
    request.lastTokenAt = at;
    request.tokens += 1;
  }

  #onFinished({ at, facts }: HistoryEvent): void {
    const requestId = String(facts.requestId);
    const request = this.#requests.get(requestId);
    if (request === undefined) return;
    this.#requests.delete(requestId);
    const seconds = (at - request.receivedAt) / 1000;
    const className = this.#classLabel(facts) ?? request.className;
    this.#listener.completed({
      className,
      outcome: facts.outcome as RequestCompletion["outcome"],
      reason: String(facts.reason ?? "unnamed"),
      tokens: request.tokens,
      seconds,
      onTime: facts.onTime === true,
    });
  }

  /** The class that an event names; the rules decide it after the arrival. */
  #classLabel(facts: HistoryEvent["facts"]): string | undefined {
    if (facts.className === undefined) return undefined;
    const className = String(facts.className);
    if (this.#classLabels.has(className)) return className;
    if (this.#classLabels.size >= MAX_CLASS_LABELS) return OTHER_CLASS;
    this.#classLabels.add(className);
    return className;
  }
}
