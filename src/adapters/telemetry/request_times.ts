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
  readonly className: string;
  readonly receivedAt: number;
  readonly deadlineSeconds: number;
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

/** Works out the times of each request from the events of an entry. */
export class RequestTimes {
  readonly #listener: RequestTimesListener;
  readonly #open = new Map<string, OpenRequest>();
  #deadlineSeconds: ReadonlyMap<string, number> = new Map();

  constructor(listener: RequestTimesListener) {
    this.#listener = listener;
  }

  get size(): number {
    return this.#open.size;
  }

  setDeadlines(
    classes: readonly { name: string; deadlineSeconds: number }[],
  ): void {
    this.#deadlineSeconds = new Map(
      classes.map((each) => [each.name, each.deadlineSeconds]),
    );
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
    const className = String(facts.className ?? NO_CLASS);
    const own = facts.deadlineMilliseconds;
    const byClass = this.#deadlineSeconds.get(className) ?? Infinity;
    this.#open.set(String(facts.requestId), {
      className,
      receivedAt: at,
      deadlineSeconds: own === undefined
        ? byClass
        : Math.min(byClass, Number(own) / 1000),
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
    this.#listener.ended({
      className: request.className,
      outcome: facts.outcome as RequestEnd["outcome"],
      reason: String(facts.reason ?? "unnamed"),
      tokens: request.tokens,
      seconds,
      onTime: seconds <= request.deadlineSeconds,
    });
  }
}
