/** Prometheus metrics, updated from the events of the cores. */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { HistoryEvent } from "../../core/observation/mod.ts";
import { type RequestCompletion, RequestTimings } from "./request_timings.ts";

/** From a millisecond to the duration of the longest summaries. */
const REQUEST_BUCKETS_SECONDS = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.31,
  0.5,
  1,
  2.5,
  5,
  10,
  30,
  60,
];
/** Finest around 26 ms, the token interval that callers are promised. */
const TOKEN_INTERVAL_BUCKETS_SECONDS = [
  0.002,
  0.005,
  0.01,
  0.015,
  0.02,
  0.026,
  0.035,
  0.05,
  0.1,
  0.25,
  1,
];

/** Options of `Metrics`. */
export interface MetricsOptions {
  /** Also export memory, event loop and handles of the process. */
  readonly processMetrics?: boolean;
}

/** All metrics of one process, in a separate registry. */
export class Metrics {
  readonly registry = new Registry();
  readonly #timings: RequestTimings;
  readonly #requests = this.#counter("requests_total", [
    "class",
    "outcome",
  ], "Requests that have ended, by outcome");
  readonly #goodput = this.#counter("goodput_total", [
    "class",
  ], "Answers that were delivered complete and on time");
  readonly #refusals = this.#counter("refusals_total", [
    "class",
    "reason",
  ], "Requests that were refused without having run");
  readonly #retries = this.#counter("retries_total", [
    "reason",
  ], "Further attempts of requests");
  readonly #roleChanges = this.#counter("role_changes_total", [
    "role",
  ], "Orders to change the role of an engine that were sent");
  readonly #voidOrders = this.#counter("void_orders_total", [
    "reason",
  ], "Orders on the log that have no effect");
  readonly #attempts = this.#counter("attempts_total", [
    "result",
  ], "Attempts at this side's endpoint that have ended");
  readonly #attemptRefusals = this.#counter("attempt_refusals_total", [
    "reason",
  ], "Attempts that this side did not start");
  readonly #tokens = this.#counter("tokens_total", [
    "class",
  ], "Tokens delivered to callers");
  readonly #queueTime = this.#histogram("queue_seconds", {
    help: "Time from a request's arrival to its place at an endpoint",
    buckets: REQUEST_BUCKETS_SECONDS,
  });
  readonly #firstToken = this.#histogram("first_token_seconds", {
    help: "Time from a request's arrival to its first token",
    buckets: REQUEST_BUCKETS_SECONDS,
  });
  readonly #tokenInterval = this.#histogram("token_interval_seconds", {
    help: "Time between two tokens of an answer",
    buckets: TOKEN_INTERVAL_BUCKETS_SECONDS,
  });
  readonly #answerTime = this.#histogram("answer_seconds", {
    help: "Time from a request's arrival to its complete answer",
    buckets: REQUEST_BUCKETS_SECONDS,
  });
  readonly #configurationVersion = this.#gauge(
    "configuration_version",
    "Version of the configuration in force in this process",
  );
  readonly #draining = this.#gauge(
    "draining",
    "1 while this process takes no new work",
  );
  readonly #suspected = this.#gauge(
    "suspected_endpoints",
    "Endpoints that this process can't reach",
  );

  constructor(options: MetricsOptions = {}) {
    this.#timings = new RequestTimings({
      queued: (className, seconds) =>
        this.#queueTime.observe({ class: className }, seconds),
      firstToken: (className, seconds) =>
        this.#firstToken.observe({ class: className }, seconds),
      tokenInterval: (className, seconds) =>
        this.#tokenInterval.observe({ class: className }, seconds),
      completed: (ended) => this.#recordCompletion(ended),
    });
    const timings = this.#timings;
    new Gauge({
      name: "filbertshore_open_requests",
      help: "Requests that have not ended",
      registers: [this.registry],
      collect() {
        this.set(timings.size);
      },
    });
    if (options.processMetrics) {
      collectDefaultMetrics({ register: this.registry });
    }
  }

  /** Event observer to pass to a core. */
  readonly observe = (event: HistoryEvent): void => {
    this.#timings.observe(event);
    const { facts } = event;
    switch (event.kind) {
      case "retry":
        this.#retries.inc({ reason: String(facts.reason ?? "unnamed") });
        break;
      case "order_sent":
        this.#roleChanges.inc({ role: targetRole(String(facts.target)) });
        break;
      case "order_void":
        this.#voidOrders.inc({ reason: String(facts.reason ?? "unnamed") });
        break;
      case "attempt_refused":
        this.#attemptRefusals.inc({ reason: String(facts.reason) });
        break;
      case "endpoint_finished":
        this.#attempts.inc({ result: String(facts.result) });
        break;
      case "endpoint_cancelled":
        this.#attempts.inc({ result: "cancelled" });
        break;
      case "configuration_in_force":
        this.#configurationVersion.set(Number(facts.version));
        break;
      case "side_draining":
      case "entry_draining":
        this.#draining.set(1);
        break;
      case "suspected":
        this.#suspected.inc();
        break;
      case "trusted":
        this.#suspected.dec();
        break;
    }
  };

  /** Renders the response of `/metrics`. */
  async render(): Promise<{ contentType: string; body: string }> {
    const body = await this.registry.metrics();
    return { contentType: this.registry.contentType, body };
  }

  #recordCompletion(ended: RequestCompletion): void {
    const { className } = ended;
    this.#requests.inc({ class: className, outcome: ended.outcome });
    if (ended.tokens > 0) this.#tokens.inc({ class: className }, ended.tokens);
    if (ended.outcome === "not_run") {
      this.#refusals.inc({ class: className, reason: ended.reason });
    }
    if (ended.outcome !== "answered") return;
    this.#answerTime.observe({ class: className }, ended.seconds);
    if (ended.onTime) this.#goodput.inc({ class: className });
  }

  #counter<Label extends string>(
    name: string,
    labelNames: Label[],
    help: string,
  ): Counter<Label> {
    return new Counter({
      name: `filbertshore_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  #histogram(
    name: string,
    options: { help: string; buckets: number[] },
  ): Histogram<"class"> {
    return new Histogram({
      name: `filbertshore_${name}`,
      ...options,
      labelNames: ["class"],
      registers: [this.registry],
    });
  }

  #gauge(name: string, help: string): Gauge {
    return new Gauge({
      name: `filbertshore_${name}`,
      help,
      registers: [this.registry],
    });
  }
}

/**
 * Extracts the role from an order's target, which the event has as JSON text.
 */
function targetRole(target: string): string {
  return /"role":"([a-z]+)"/.exec(target)?.[1] ?? "unnamed";
}
