import {
  type AttemptResult,
  decodeOutcomes,
  encodeOutcomes,
  type EndpointLoadReports,
  type EndpointRegistry,
  FleetVerdicts,
  kindOfRequest,
  type LoadOwners,
  OutcomeJudge,
  OutcomeReports,
  type OutcomeRow,
  type RegisteredEndpoint,
  type RequestKind,
  type VerdictChange,
  type VerdictEvent,
  type VerdictRow,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { WorkRowWithRun } from "./notifications/work_notification.ts";

/**
 * Silence of an endpoint's owner after which this entry judges the endpoint by
 * its own attempts. Entries of a fleet report at least each 0.7 s.
 */
const OWNER_SILENCE_MILLISECONDS = 800;
/**
 * Time after a good response head at which a probe counts as completed. Streams
 * take longer, and the endpoint would be out of use meanwhile.
 */
const PROBE_STREAM_MILLISECONDS = 1_000;
/**
 * Number of entries that must report lost connections to an endpoint. The link
 * of one entry may have caused those that it alone has seen.
 */
const MIN_LOSS_REPORTERS = 2;

/** Outcome of one attempt; each is recorded once. */
export interface AttemptOutcome {
  /** Records a response head without a server error. */
  recordResponse(): void;
  /** Records how the attempt ended; later calls do nothing. */
  end(result: AttemptResult | "inconclusive"): void;
}

export interface FleetOutcomesOptions {
  readonly self: ProcessId;
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly loadReports: EndpointLoadReports;
  readonly owners: LoadOwners;
  readonly logger: Logger;
  /** Sends verdicts to all peers immediately. */
  readonly broadcast: (verdicts: readonly VerdictRow[]) => void;
  /** Called for each change of a verdict that this entry has formed. */
  readonly onVerdict: (change: VerdictChange) => void;
}

/**
 * Outcomes of endpoints across the fleet: this entry's part as a reporter, as
 * the owner that judges, and as a receiver of verdicts. It takes effect for
 * pools whose endpoints report a work factor.
 */
export class FleetOutcomes {
  readonly verdicts: FleetVerdicts;
  readonly #options: FleetOutcomesOptions;
  readonly #reports: OutcomeReports;
  readonly #judge: OutcomeJudge;
  /** True until the latest verdicts have been sent a second time. */
  #hasUnrepeatedVerdicts = false;

  constructor(options: FleetOutcomesOptions) {
    const { owners, self, timer } = options;
    this.#options = options;
    this.verdicts = new FleetVerdicts(timer);
    this.#reports = new OutcomeReports(
      timer,
      (endpoint) => this.verdicts.isTakenOut(endpoint),
    );
    this.#judge = new OutcomeJudge({
      self,
      timer,
      minLossReporters: () => Math.min(MIN_LOSS_REPORTERS, owners.liveCount),
      elsewhere: (kind, endpoint) => this.#reports.elsewhere(kind, endpoint),
      onChange: (event) => this.#onChange(event),
    });
  }

  /** True if outcomes of the pool's endpoints are judged by their owners. */
  isInUse({ pool }: Pick<RegisteredEndpoint, "pool">): boolean {
    return this.#options.loadReports.isAdaptive(pool);
  }

  /** True if the endpoint has an owner that judges it and was heard recently. */
  isJudged(id: EndpointId): boolean {
    const { owners, registry } = this.#options;
    const endpoint = registry.get(id);
    if (endpoint === undefined || !this.isInUse(endpoint)) return false;
    return owners.wasHeardWithin(
      owners.ownerOf(id),
      OWNER_SILENCE_MILLISECONDS,
    );
  }

  /** Records that an attempt is being sent. */
  started(
    endpoint: RegisteredEndpoint,
    request: { readonly route: string; readonly isPrefill: boolean },
  ): AttemptOutcome {
    let isProbe = this.#judge.startProbe(endpoint.id);
    const kind = kindOfRequest(endpoint.pool, request);
    let hasEnded = false;
    let patience: Subscription | undefined;
    const end = (result: AttemptResult | "inconclusive") => {
      if (hasEnded) return;
      hasEnded = true;
      patience?.cancel();
      if (isProbe) this.#endProbe(endpoint.id, { kind, result });
      if (result === "inconclusive" || !this.isInUse(endpoint)) return;
      this.#reports.record(endpoint.id, { kind, result });
      this.#collectOwn(endpoint.id);
    };
    const recordResponse = () => {
      if (!isProbe || hasEnded) return;
      patience = this.#options.timer.after(
        PROBE_STREAM_MILLISECONDS,
        () => {
          isProbe = false;
          this.#endProbe(endpoint.id, { kind, result: "completed" });
        },
      );
    };
    return { recordResponse, end };
  }

  /** True while endpoints are taken out by a verdict of this entry. */
  get hasOwnVerdicts(): boolean {
    return this.#judge.hasVerdicts;
  }

  /** Chooses the request as a probe; see `OutcomeJudge.claimProbe`. */
  claimProbe(
    endpoints: readonly RegisteredEndpoint[],
    options: { readonly isRepeatable: boolean },
  ): RegisteredEndpoint | undefined {
    return this.#judge.claimProbe(endpoints, options);
  }

  /** Endpoints with outcomes that their owners have not received. */
  get unreported(): Iterable<EndpointId> {
    return this.#reports.endpoints;
  }

  /** Takes the outcomes at the endpoints of these rows of open work. */
  takeRows(work: readonly WorkRowWithRun[]): OutcomeRow[] {
    if (!this.#reports.hasUnreported) return [];
    return work.flatMap(([endpoint], index) => {
      const counts = this.#reports.take(identifier(endpoint));
      return counts === undefined ? [] : [encodeOutcomes(index, counts)];
    });
  }

  /** Collects a peer's outcomes at the endpoints that this entry owns. */
  onReport(
    reporter: ProcessId,
    report: {
      readonly work: readonly WorkRowWithRun[];
      readonly outcomes: readonly OutcomeRow[];
    },
  ): void {
    const { owners, registry, self } = this.#options;
    for (const row of report.outcomes) {
      const [endpoint, , , , startedAt] = report.work[row[0]] ?? [];
      if (endpoint === undefined) continue;
      const id = identifier<EndpointId>(endpoint);
      const isOwned = owners.ownerOf(id) === self &&
        registry.isSameRun({ id, startedAt });
      if (!isOwned) continue;
      this.#judge.collect(id, { counts: decodeOutcomes(row), reporter });
    }
  }

  /** Verdicts to add to a regular report to the peers. */
  takeVerdicts({ isFull }: { readonly isFull: boolean }): VerdictRow[] {
    if (!isFull && !this.#hasUnrepeatedVerdicts) return [];
    this.#hasUnrepeatedVerdicts = false;
    return this.#ownVerdicts();
  }

  /** True if verdicts are to be sent with the next regular report. */
  get hasUnrepeatedVerdicts(): boolean {
    return this.#hasUnrepeatedVerdicts;
  }

  /** Applies the verdicts of a peer, or of this entry. */
  applyVerdicts(owner: ProcessId, rows: readonly VerdictRow[]): void {
    const { registry } = this.#options;
    for (const [endpoint, validMilliseconds, failureRate, startedAt] of rows) {
      const id = identifier<EndpointId>(endpoint);
      if (!registry.isSameRun({ id, startedAt })) continue;
      this.verdicts.apply(id, { owner, validMilliseconds, failureRate });
    }
  }

  /** Discards all state of the endpoint, as its run is over. */
  forget(endpoint: RegisteredEndpoint): void {
    this.verdicts.forget(endpoint);
    this.#reports.forget(endpoint);
    this.#judge.forget(endpoint);
  }

  #endProbe(
    endpoint: EndpointId,
    { kind, result }: {
      readonly kind: RequestKind;
      readonly result: AttemptResult | "inconclusive";
    },
  ): void {
    const isCompleted = result === "completed";
    const failedOrNone = result === "inconclusive" ? undefined : "failed";
    this.#judge.endProbe(endpoint, {
      kind,
      result: isCompleted ? "completed" : failedOrNone,
    });
  }

  /** Collects this entry's outcomes at an endpoint that it owns itself. */
  #collectOwn(endpoint: EndpointId): void {
    const { owners, self } = this.#options;
    if (owners.ownerOf(endpoint) !== self) return;
    const counts = this.#reports.take(endpoint);
    if (counts === undefined) return;
    this.#judge.collect(endpoint, { counts, reporter: self });
  }

  #onChange({ change, endpoint, milliseconds, summary }: VerdictEvent): void {
    const { broadcast, logger, onVerdict, registry, self, timer } =
      this.#options;
    const isOut = milliseconds > 0;
    const startedAt = registry.get(endpoint)?.startedAt;
    const { completed, evidence, failed, reporters } = summary;
    const fields = {
      change,
      endpoint,
      startedAt,
      failed,
      completed,
      reporters,
    };
    if (isOut) {
      logger.warn({
        ...fields,
        evidence: Math.round(10 * evidence) / 10,
        milliseconds,
        until: new Date(timer.wallClock() + milliseconds).toISOString(),
      }, "Took an endpoint out because of its failures");
    } else logger.info(fields, "An endpoint gets work again");
    onVerdict(change);
    const rows = isOut
      ? this.#ownVerdicts().filter(([id]) => id === endpoint)
      : [encodeVerdict(endpoint, { startedAt })];
    this.#hasUnrepeatedVerdicts = isOut;
    this.applyVerdicts(self, rows);
    broadcast(rows);
  }

  #ownVerdicts(): VerdictRow[] {
    const { registry } = this.#options;
    return this.#judge.verdicts().map(({ endpoint, ...verdict }) =>
      encodeVerdict(endpoint, {
        ...verdict,
        startedAt: registry.get(endpoint)?.startedAt,
      })
    );
  }
}

function encodeVerdict(
  endpoint: EndpointId,
  { failureRate = 0, startedAt, validMilliseconds = 0 }: {
    readonly validMilliseconds?: number;
    readonly failureRate?: number;
    readonly startedAt: RegisteredEndpoint["startedAt"];
  },
): VerdictRow {
  const rate = Math.round(100 * failureRate) / 100;
  return startedAt === undefined
    ? [endpoint, validMilliseconds, rate]
    : [endpoint, validMilliseconds, rate, startedAt];
}
