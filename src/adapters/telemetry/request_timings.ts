import type { HistoryEvent } from "../../core/observation/mod.ts";

/** Outcome and timing of a completed request, for the metrics. */
export interface RequestCompletion {
  readonly className: string;
  readonly outcome: "answered" | "not_run" | "unknown";
  readonly reason: string;
  readonly tokens: number;
  readonly seconds: number;
  /** True if the response was complete within its deadline. */
  readonly onTime: boolean;
}

/** Receives timings as they become known, in seconds. */
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
 * Maximum number of requests tracked at a time. Without a limit, a request
 * whose completion is never reported would leak an entry. Beyond the limit the
 * oldest request is evicted and only its timings are lost.
 */
const MAX_TRACKED_REQUESTS = 20_000;
const UNNAMED_CLASS = "unnamed";
/**
 * Maximum number of work classes used as label values; the rules allow 16. A
 * caller may request a class of any name, and each new label value adds a dozen
 * permanent series, so one caller could exhaust the entry's memory.
 */
const MAX_CLASS_LABELS = 32;
const OTHER_CLASS = "other";

/** Derives the timings of each request from the events of an entry. */
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

  /** Label of the event's class; the rules assign a class after the arrival. */
  #classLabel(facts: HistoryEvent["facts"]): string | undefined {
    if (facts.className === undefined) return undefined;
    const className = String(facts.className);
    if (this.#classLabels.has(className)) return className;
    if (this.#classLabels.size >= MAX_CLASS_LABELS) return OTHER_CLASS;
    this.#classLabels.add(className);
    return className;
  }
}
