import type { StandingOrder } from "../../generated/messages.ts";
import type { EndpointLink, EngineObservation } from "../links/mod.ts";
import { type TimerService, withTimeout } from "../time/mod.ts";

export interface EngineChannelOptions {
  readonly endpoint: EndpointLink;
  readonly timer: TimerService;
  /** Maximum time for which an order can be in flight, milliseconds. */
  readonly longestOrderMilliseconds: number;
  /** False only in tests that disable the guard. */
  readonly checksAge: boolean;
}

/** Outcome of an order, as far as the sender can know. */
export type SendOutcome = "may_have_started" | "not_started" | "fenced";

/** Timeout after which an order or observation without an answer is lost. */
const ANSWER_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Connection of one run of a side to its engine. It tracks the last order sent,
 * how long an order without an answer can still arrive, and which observations
 * are recent enough.
 */
export class EngineChannel {
  readonly #options: EngineChannelOptions;
  /** Time until which an unanswered order may still reach the engine. */
  #inFlightUntil: number;
  #lastSentOffset = -1;
  #lastSentAt = -Infinity;

  constructor(options: EngineChannelOptions) {
    this.#options = options;
    // An earlier run of this side may have sent an order right before it ended.
    // This run can't know, so it waits for the maximum time in flight.
    this.#inFlightUntil = options.timer.now() +
      options.longestOrderMilliseconds;
  }

  /** Whether no order but the given one can reach the engine any more. */
  noOtherOrderInFlight(order: StandingOrder): boolean {
    if (this.#lastSentOffset === order.offset) return true;
    return this.#options.timer.now() >= this.#inFlightUntil;
  }

  async send(order: StandingOrder): Promise<SendOutcome> {
    const { endpoint, longestOrderMilliseconds, timer } = this.#options;
    this.#lastSentOffset = order.offset;
    this.#lastSentAt = timer.now();
    const answer = await withTimeout(
      endpoint.order(order.target, order.offset),
      { timer, milliseconds: ANSWER_TIMEOUT_MILLISECONDS },
    );
    if (answer?.isOk()) return "may_have_started";
    if (answer !== undefined && answer.isErr()) {
      if (answer.error.name === "order_fenced") return "fenced";
      if (answer.error.name === "endpoint_refused") return "not_started";
    }
    this.#inFlightUntil = Math.max(
      this.#inFlightUntil,
      this.#lastSentAt + longestOrderMilliseconds,
    );
    return "may_have_started";
  }

  /**
   * Observes the engine. Discards an observation that is older than the last
   * order: it would show the engine idle while the order is in flight.
   */
  async observe(): Promise<EngineObservation | undefined> {
    const { checksAge, endpoint, timer } = this.#options;
    const requestedAt = timer.now();
    const answer = await withTimeout(endpoint.observe(), {
      timer,
      milliseconds: ANSWER_TIMEOUT_MILLISECONDS,
    });
    if (answer === undefined || answer.isErr()) return undefined;
    const measuredAt = requestedAt - answer.value.ageMilliseconds;
    const isStale = measuredAt < this.#lastSentAt && checksAge;
    return isStale ? undefined : answer.value;
  }
}
