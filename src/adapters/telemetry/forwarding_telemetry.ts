/** Logs and metrics of the forwarding path. */
import { Counter, Gauge, Histogram, type Registry } from "prom-client";
import type {
  PauseTotals,
  RetryBudgetUsage,
  VerdictChange,
} from "../../core/forwarding/mod.ts";
import type { LogFields, Logger } from "../../core/observation/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type {
  DroppedNotification,
  LoadQueryOutcome,
  ObserveForwarding,
  PermitOutcome,
  PlannedRoles,
  ReportOutcome,
  StreamLookupOutcome,
} from "../../entry/forwarding/mod.ts";

/**
 * Decisions logged per second: four lines for each of the 100 requests a second
 * of a busy entry. In a burst of several thousand requests, logging would take
 * the CPU time that responses need. The lines beyond the limit are counted, and
 * their count is logged.
 */
const MAX_LINES_PER_SECOND = 400;
/**
 * Lines per second that tell why a request was sent again or refused. They have
 * a limit of their own: others must not displace them.
 */
const MAX_EVIDENCE_LINES_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_SECONDS = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.15,
  0.2,
  0.3,
  0.5,
  1,
  2,
  5,
  15,
];

/** Bounds of the ratio of measured to expected time, around 1. */
const RATIO_BUCKETS = [0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 4, 8];

/** Bounds of the number of pieces in which a body arrives. */
const PIECE_BUCKETS = [1, 10, 100, 1_000, 4_096, 16_384, 65_536];
/** Bounds of the size of a body. */
const BODY_BYTES_BUCKETS = [1_024, 16_384, 262_144, 4_194_304, 67_108_864];

/** Decisions whose lines are written although others are left out. */
const EVIDENCE: ReadonlySet<string> = new Set([
  "attempt_rejected",
  "cut",
  "faulted",
  "resumed",
  "stream_mismatch",
]);

/** Decisions that end the body of an endpoint's response. */
const BODY_ENDS: ReadonlySet<string> = new Set(["answered", "cut", "resumed"]);

/** Options of `createForwardingObserver`. */
export interface ForwardingObserverOptions {
  readonly registry: Registry;
  readonly logger: Logger;
  readonly timer: TimerService;
}

/** Returns a function that counts registrations that became unreadable. */
export function createUnreadableRegistrationCounter(
  registry: Registry,
): () => void {
  const counter = new Counter({
    name: "filbertshore_unreadable_registrations_total",
    help: "Keys among the registrations that became unreadable",
    registers: [registry],
  });
  return () => counter.inc();
}

/** Returns a function that counts configurations that were rejected. */
export function createRejectedConfigurationCounter(
  registry: Registry,
): () => void {
  const counter = new Counter({
    name: "filbertshore_rejected_configurations_total",
    help: "Configurations that this entry could not decode",
    registers: [registry],
  });
  return () => counter.inc();
}

/** How current an entry's configuration is. */
export interface ConfigurationMetrics {
  readonly version: number | undefined;
  readonly newestVersion: number | undefined;
  readonly ageMilliseconds: number | undefined;
  readonly pendingMilliseconds: number;
}

/** Exports how current an entry's configuration is; -1 if it is unknown. */
export function registerConfigurationGauges(
  registry: Registry,
  read: () => ConfigurationMetrics,
): void {
  const gauges: readonly [
    string,
    string,
    (now: ConfigurationMetrics) => number,
  ][] = [
    [
      "filbertshore_forwarding_configuration_version",
      "Version of the configuration in force; -1 if there is none",
      ({ version }) => version ?? -1,
    ],
    [
      "filbertshore_newest_configuration_version",
      "Newest version that this entry or a peer is known to have",
      ({ newestVersion }) => newestVersion ?? -1,
    ],
    [
      "filbertshore_configuration_age_seconds",
      "Time since the store had no newer configuration; -1 if unknown",
      ({ ageMilliseconds }) =>
        ageMilliseconds === undefined ? -1 : toSeconds(ageMilliseconds),
    ],
    [
      "filbertshore_configuration_read_pending_seconds",
      "How long the present read of the configuration has been pending",
      ({ pendingMilliseconds }) => toSeconds(pendingMilliseconds),
    ],
  ];
  for (const [name, help, valueOf] of gauges) {
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(valueOf(read()));
      },
    });
  }
}

/** Returns a function that counts load queries by outcome. */
export function createLoadQueryCounter(
  registry: Registry,
): (outcome: LoadQueryOutcome) => void {
  const queries = new Counter({
    name: "filbertshore_load_questions_total",
    help: "Questions to other entries for an endpoint's load, by outcome",
    labelNames: ["outcome"],
    registers: [registry],
  });
  return (outcome) => queries.inc({ outcome });
}

/** Returns a function that counts notifications of peers without effect. */
export function createDroppedNotificationCounter(
  registry: Registry,
): (dropped: DroppedNotification) => void {
  const counter = new Counter({
    name: "filbertshore_dropped_notifications_total",
    help: "Notifications of peers that had no effect, by method and reason",
    labelNames: ["method", "reason", "sender"],
    registers: [registry],
  });
  return ({ method = "unknown", reason, sender }) =>
    counter.inc({ method, reason, sender });
}

/** Returns a function that counts permits for limited endpoints by outcome. */
export function createPermitCounter(
  registry: Registry,
): (outcome: PermitOutcome) => void {
  const permits = new Counter({
    name: "filbertshore_permits_total",
    help: "Requests for a permit at an endpoint with a limit, by outcome",
    labelNames: ["outcome"],
    registers: [registry],
  });
  return (outcome) => permits.inc({ outcome });
}

/** Returns a function that counts searches for streams' origins by outcome. */
export function createStreamLookupCounter(
  registry: Registry,
): (outcome: StreamLookupOutcome) => void {
  const lookups = new Counter({
    name: "filbertshore_stream_lookups_total",
    help: "Searches for the version that began a stream, by outcome",
    labelNames: ["outcome"],
    registers: [registry],
  });
  return (outcome) => lookups.inc({ outcome });
}

/** Exports the number of streams whose origin this entry keeps. */
export function registerKeptStreamsGauge(
  registry: Registry,
  keptStreams: () => number,
): void {
  new Gauge({
    name: "filbertshore_kept_streams",
    help: "Streams whose pool and software version this entry keeps",
    registers: [registry],
    collect() {
      this.set(keptStreams());
    },
  });
}

/** Returns a function that counts usage reports by outcome. */
export function createUsageReportCounter(
  registry: Registry,
): (outcome: ReportOutcome | "given_up") => void {
  const reports = new Counter({
    name: "filbertshore_usage_reports_total",
    help: "Reports of what workspaces use, by outcome",
    labelNames: ["outcome"],
    registers: [registry],
  });
  return (outcome) => reports.inc({ outcome });
}

/**
 * Exports the fencing token of usage reports; -1 if another entry sends them.
 */
export function registerUsageFencingGauge(
  registry: Registry,
  fencing: () => number | undefined,
): void {
  new Gauge({
    name: "filbertshore_usage_fencing",
    help: "Fencing token of usage reports; -1 where another entry sends them",
    registers: [registry],
    collect() {
      this.set(fencing() ?? -1);
    },
  });
}

/** Exports the retries of each pool and this entry's limit on them. */
export function registerRetryGauges(
  registry: Registry,
  usages: () => readonly RetryBudgetUsage[],
): void {
  new Gauge({
    name: "filbertshore_repeats",
    help: "Arrivals beyond the first of a request that count now, by pool",
    labelNames: ["pool"],
    registers: [registry],
    collect() {
      for (const { pool, counted } of usages()) this.set({ pool }, counted);
    },
  });
  new Gauge({
    name: "filbertshore_repeats_allowed",
    help: "This entry's part of the fleet's limit on repeats, by pool",
    labelNames: ["pool"],
    registers: [registry],
    collect() {
      for (const { pool, allowed } of usages()) this.set({ pool }, allowed);
    },
  });
}

/** Exports how much is refused or held back because it crashes endpoints. */
export function registerCrashGauges(
  registry: Registry,
  { blocked, held }: {
    readonly blocked: () => number;
    readonly held: () => number;
  },
): void {
  new Gauge({
    name: "filbertshore_blocked_requests",
    help:
      "Requests and parts of prompts that are refused because endpoints crash on them",
    registers: [registry],
    collect() {
      this.set(blocked());
    },
  });
  new Gauge({
    name: "filbertshore_held_suspects",
    help:
      "Requests and parts of prompts that run once at a time because endpoints may crash on them",
    registers: [registry],
    collect() {
      this.set(held());
    },
  });
}

/** Exports the number of endpoints that have named a request limit. */
export function registerLimitedEndpointsGauge(
  registry: Registry,
  limitedEndpoints: () => number,
): void {
  new Gauge({
    name: "filbertshore_limited_endpoints",
    help: "Endpoints with a request limit in force, as known to this entry",
    registers: [registry],
    collect() {
      this.set(limitedEndpoints());
    },
  });
}

/** Exports the size of the responses that callers have not read yet. */
export function registerResponseBufferGauge(
  registry: Registry,
  bufferedBytes: () => number,
): void {
  new Gauge({
    name: "filbertshore_buffered_response_bytes",
    help: "Bytes of responses that callers have not read yet",
    registers: [registry],
    collect() {
      this.set(bufferedBytes());
    },
  });
}

/** Returns a function that counts changes of verdicts on endpoints. */
export function createVerdictCounter(
  registry: Registry,
): (change: VerdictChange) => void {
  const verdicts = new Counter({
    name: "filbertshore_endpoint_verdicts_total",
    help: "Changes of verdicts on failing endpoints that this entry formed",
    labelNames: ["change"],
    registers: [registry],
  });
  return (change) => verdicts.inc({ change });
}

/** Exports the number of endpoints that get no work because they fail. */
export function registerTakenOutEndpointsGauge(
  registry: Registry,
  endpointsTakenOut: () => number,
): void {
  new Gauge({
    name: "filbertshore_endpoints_taken_out",
    help: "Endpoints with a verdict in force, as known to this entry",
    registers: [registry],
    collect() {
      this.set(endpointsTakenOut());
    },
  });
}

/** Exports the measured and the predicted stream pauses of each pool. */
export function registerPauseCounters(
  registry: Registry,
  totals: () => readonly PauseTotals[],
): void {
  const register = (
    name: string,
    help: string,
    { valueOf }: { readonly valueOf: (totals: PauseTotals) => number },
  ) =>
    new Counter({
      name: `filbertshore_${name}_total`,
      help,
      labelNames: ["pool"],
      registers: [registry],
      collect() {
        this.reset();
        for (const each of totals()) {
          this.inc({ pool: each.pool }, valueOf(each));
        }
      },
    });
  register(
    "stream_pauses",
    "Measured pauses between the events of streams, by pool",
    {
      valueOf: ({ count }) => count,
    },
  );
  register("stream_pause_seconds", "Sum of the measured pauses, by pool", {
    valueOf: ({ measuredMilliseconds }) => toSeconds(measuredMilliseconds),
  });
  register("predicted_pause_seconds", "Sum of their predictions, by pool", {
    valueOf: ({ predictedMilliseconds }) => toSeconds(predictedMilliseconds),
  });
}

/**
 * Exports the work behind the planned roles of each pool, in engines that it
 * keeps busy, and the planned number of prefill engines.
 */
export function registerPlannedRolesGauges(
  registry: Registry,
  plannedRoles: () => Iterable<PlannedRoles>,
): void {
  const gauges: readonly [string, string, (plan: PlannedRoles) => number][] = [
    [
      "filbertshore_role_prefill_work_engines",
      "Engines that the prefill work asked of a pool keeps busy",
      ({ prefillEngines }) => prefillEngines,
    ],
    [
      "filbertshore_role_decode_work_engines",
      "Engines that the decode work asked of a pool keeps busy",
      ({ decodeEngines }) => decodeEngines,
    ],
    [
      "filbertshore_role_open_responses",
      "High quantile of the responses open at a pool's decode engines",
      ({ openResponses }) => openResponses,
    ],
    [
      "filbertshore_role_empty_step_seconds",
      "Learned time of a decode step without any response",
      ({ stepMilliseconds }) => toSeconds(stepMilliseconds),
    ],
    [
      "filbertshore_role_planned_prefill_engines",
      "Prefill engines that a pool should have, as planned by this entry",
      ({ plannedPrefillEngines }) => plannedPrefillEngines,
    ],
  ];
  for (const [name, help, valueOf] of gauges) {
    new Gauge({
      name,
      help,
      labelNames: ["pool"],
      registers: [registry],
      collect() {
        for (const plan of plannedRoles()) {
          this.set({ pool: plan.pool }, valueOf(plan));
        }
      },
    });
  }
}

/** Workspaces of each pool in the metrics, which bounds their number. */
const MAX_SHARE_LABELS = 8;

/** Exports the shares of the workspaces with the most work in each pool. */
export function registerShareGauge(
  registry: Registry,
  largest: (count: number) => readonly {
    readonly pool: string;
    readonly workspace: string;
    readonly share: number;
  }[],
): void {
  new Gauge({
    name: "filbertshore_workspace_share",
    help: "Share of a pool's recent work, for the largest workspaces",
    labelNames: ["pool", "workspace"],
    registers: [registry],
    collect() {
      this.reset();
      for (const { pool, workspace, share } of largest(MAX_SHARE_LABELS)) {
        this.set({ pool, workspace }, share);
      }
    },
  });
}

/** Returns a function that logs and counts decisions of the forwarding path. */
export function createForwardingObserver(
  options: ForwardingObserverOptions,
): ObserveForwarding {
  const { registry, logger, timer } = options;
  const decisions = new Counter({
    name: "filbertshore_forwarding_decisions_total",
    help: "Decisions on forwarded requests, by route and reason",
    labelNames: ["decision", "reason"],
    registers: [registry],
  });
  const firstByteTime = new Histogram({
    name: "filbertshore_forwarding_first_byte_seconds",
    help: "Time from a request's arrival to its answer's first byte",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry],
  });
  const responseTime = new Histogram({
    name: "filbertshore_forwarding_answer_seconds",
    help: "Time from a request's arrival to the end of its answer",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry],
  });
  const bodyEnds = new Counter({
    name: "filbertshore_response_ends_total",
    help:
      "Bodies of endpoints' responses that ended, by framing, route and outcome",
    labelNames: ["framing", "route", "outcome"],
    registers: [registry],
  });
  const observeBody = createBodyObserver(registry);
  const observeReplica = createReplicaTimeObserver(registry);
  const limiter = new LogRateLimiter(timer, {
    logger,
    linesPerSecond: MAX_LINES_PER_SECOND,
  });
  const evidenceLimiter = new LogRateLimiter(timer, {
    logger,
    linesPerSecond: MAX_EVIDENCE_LINES_PER_SECOND,
  });
  return (decision, fields) => {
    decisions.inc({ decision, reason: String(fields.reason ?? "") });
    if (BODY_ENDS.has(decision)) {
      const { framing, route } = fields;
      bodyEnds.inc({
        framing: typeof framing === "string" ? framing : "none",
        route,
        outcome: decision,
      });
      observeBody(fields);
    }
    if (decision === "answered") {
      const { route } = fields;
      firstByteTime.observe({ route }, toSeconds(fields.firstByteMilliseconds));
      responseTime.observe({ route }, toSeconds(fields.milliseconds));
      observeReplica(fields);
    }
    const isEvidence = EVIDENCE.has(decision) ||
      (decision === "refused" && Number(fields.sends) > 0);
    const lineLimiter = isEvidence ? evidenceLimiter : limiter;
    if (lineLimiter.tryAcquire()) {
      logger.info({ decision, ...fields }, "Request");
    }
  };
}

/** Returns a function that records in how many pieces and bytes bodies came. */
function createBodyObserver(registry: Registry): (fields: LogFields) => void {
  const pieceCounts = new Histogram({
    name: "filbertshore_response_pieces",
    help: "Pieces in which a response's body arrived",
    buckets: PIECE_BUCKETS,
    registers: [registry],
  });
  const byteCounts = new Histogram({
    name: "filbertshore_response_body_bytes",
    help: "Size of a response's body as it arrived",
    buckets: BODY_BYTES_BUCKETS,
    registers: [registry],
  });
  const exceeded = new Counter({
    name: "filbertshore_response_bounds_exceeded_total",
    help: "Responses whose body exceeded a bound of pieces or bytes",
    registers: [registry],
  });
  return ({ bytes, exceeded: bound, pieces }) => {
    if (typeof pieces === "number") pieceCounts.observe(pieces);
    if (typeof bytes === "number") byteCounts.observe(bytes);
    if (bound !== undefined) exceeded.inc();
  };
}

/**
 * Returns a function that records how well the time at a replica was predicted,
 * for requests that were placed by it.
 */
function createReplicaTimeObserver(
  registry: Registry,
): (fields: LogFields) => void {
  const ratio = new Histogram({
    name: "filbertshore_replica_time_ratio",
    help: "Measured time at a replica by the time expected there, by pool",
    labelNames: ["pool"],
    buckets: RATIO_BUCKETS,
    registers: [registry],
  });
  const reportAge = new Histogram({
    name: "filbertshore_load_report_age_seconds",
    help: "Age of the load report by which a replica was chosen, by pool",
    labelNames: ["pool"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry],
  });
  return (fields) => {
    const {
      attemptMilliseconds,
      expectedMilliseconds,
      pool,
      reportAgeMilliseconds,
    } = fields;
    if (typeof pool !== "string") return;
    if (reportAgeMilliseconds !== undefined) {
      reportAge.observe({ pool }, toSeconds(reportAgeMilliseconds));
    }
    if (expectedMilliseconds === undefined) return;
    ratio.observe(
      { pool },
      Number(attemptMilliseconds) / Math.max(1, Number(expectedMilliseconds)),
    );
  };
}

function toSeconds(milliseconds: unknown): number {
  return Number(milliseconds) / MILLISECONDS_PER_SECOND;
}

/** Limits the log lines per second and logs how many were dropped. */
class LogRateLimiter {
  readonly #timer: TimerService;
  readonly #logger: Logger;
  readonly #linesPerSecond: number;
  #currentSecond = 0;
  #writtenLines = 0;
  #droppedLines = 0;

  constructor(
    timer: TimerService,
    { linesPerSecond, logger }: {
      readonly logger: Logger;
      readonly linesPerSecond: number;
    },
  ) {
    this.#timer = timer;
    this.#logger = logger;
    this.#linesPerSecond = linesPerSecond;
  }

  tryAcquire(): boolean {
    const second = Math.floor(this.#timer.now() / MILLISECONDS_PER_SECOND);
    if (second !== this.#currentSecond) this.#startSecond(second);
    this.#writtenLines += 1;
    if (this.#writtenLines <= this.#linesPerSecond) return true;
    this.#droppedLines += 1;
    return false;
  }

  #startSecond(second: number): void {
    if (this.#droppedLines > 0) {
      this.#logger.warn(
        { lines: this.#droppedLines, limit: this.#linesPerSecond },
        "Log lines were left out",
      );
    }
    this.#currentSecond = second;
    this.#writtenLines = 0;
    this.#droppedLines = 0;
  }
}
