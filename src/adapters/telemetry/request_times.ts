import type { HistoryEvent } from "../../core/observation/mod.ts";

/** How a request ended, for the metrics. */
export interface RequestEnd {
  readonly className: string;
  readonly outcome: "answered" | "not_run" | "unknown";
  readonly reason: string;
  readonly tokens: number;
  readonly seconds: number;
  /** True where the answer came within its deadline. */
  readonly onTime: boolean;
}

/** Where times go as they become known; seconds. */
export interface RequestTimesListener {
  queued(className: string, seconds: number): void;
  firstToken(className: string, seconds: number): void;
  betweenTokens(className: string, seconds: number): void;
  ended(end: RequestEnd): void;
}

interface OpenRequest {
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
const MOST_FOLLOWED = 20_000;
const NO_CLASS = "unnamed";
/**
 * Names of classes that metrics tell apart; the rules allow 16. A caller may
 * ask for a class of any name, and each new one would add a dozen series that
 * stay for good: one caller could fill the entry's memory.
 */
const MOST_CLASSES = 32;
const OTHER_CLASS = "other";

/** Works out the times of each request from the events of an entry. */
export class RequestTimes {
  readonly #listener: RequestTimesListener;
  readonly #open = new Map<string, OpenRequest>();
  readonly #classes = new Set<string>();

  constructor(listener: RequestTimesListener) {
    this.#listener = listener;
  }

  get size(): number {
    return this.#open.size;
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
    this.#open.set(String(facts.requestId), {
      className: this.#classOf(facts) ?? NO_CLASS,
      receivedAt: at,
      placed: false,
      lastTokenAt: undefined,
      tokens: 0,
    });
    if (this.#open.size <= MOST_FOLLOWED) return;
    const [oldest] = this.#open.keys();
    this.#open.delete(oldest);
  }

  #onPlaced({ at, facts }: HistoryEvent): void {
    const request = this.#open.get(String(facts.requestId));
    if (request === undefined || request.placed) return;
    request.placed = true;
    request.className = this.#classOf(facts) ?? request.className;
    this.#listener.queued(
      request.className,
      (at - request.receivedAt) / 1000,
    );
  }

  #onToken({ at, facts }: HistoryEvent): void {
    const request = this.#open.get(String(facts.requestId));
    if (request === undefined) return;
    const { className, lastTokenAt } = request;
    if (lastTokenAt === undefined) {
      this.#listener.firstToken(className, (at - request.receivedAt) / 1000);
    } else {
      this.#listener.betweenTokens(className, (at - lastTokenAt) / 1000);
    }
    request.lastTokenAt = at;
    request.tokens += 1;
  }

  #onFinished({ at, facts }: HistoryEvent): void {
    const requestId = String(facts.requestId);
    const request = this.#open.get(requestId);
    if (request === undefined) return;
    this.#open.delete(requestId);
    const seconds = (at - request.receivedAt) / 1000;
    const className = this.#classOf(facts) ?? request.className;
    this.#listener.ended({
      className,
      outcome: facts.outcome as RequestEnd["outcome"],
      reason: String(facts.reason ?? "unnamed"),
      tokens: request.tokens,
      seconds,
      onTime: facts.onTime === true,
    });
  }

  /** The class that an event names; the rules decide it after the arrival. */
  #classOf(facts: HistoryEvent["facts"]): string | undefined {
    if (facts.className === undefined) return undefined;
    const className = String(facts.className);
    if (this.#classes.has(className)) return className;
    if (this.#classes.size >= MOST_CLASSES) return OTHER_CLASS;
    this.#classes.add(className);
    return className;
  }
}
