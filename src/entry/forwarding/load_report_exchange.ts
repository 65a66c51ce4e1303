/** Load reports of plain services in the rows of open work. */
import type {
  EndpointLoadReports,
  EndpointRegistry,
  LoadObservation,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import { type EndpointId, identifier } from "../../core/identity/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { LoadReportValues } from "./notifications/load_values.ts";
import type { WorkRowWithRun } from "./notifications/work_notification.ts";

/**
 * Mean interval at which an owner gets reports of one endpoint from the whole
 * fleet, however many entries send them: ten reports of at most 25 bytes a
 * second.
 */
const REPORT_SPACING_MILLISECONDS = 100;
const PERCENT = 100;

/** Position of the report in a row, after the start of the endpoint's run. */
const RUN_POSITION = 4;
const REPORT_POSITION = 5;

export interface LoadReportExchangeOptions {
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly loadReports: EndpointLoadReports;
  /** Number of live entries, including this one. */
  readonly entries: () => number;
}

/**
 * Adds load reports to the rows of open work that entries and the owners of
 * endpoints exchange, and applies received ones. Only plain services with work
 * factors are placed by them, so the rows of other endpoints stay unchanged.
 */
export class LoadReportExchange {
  readonly #options: LoadReportExchangeOptions;
  /** Time of the last report of each endpoint to its owner. */
  readonly #reportedAt = new Map<EndpointId, number>();

  constructor(options: LoadReportExchangeOptions) {
    this.#options = options;
  }

  /** Adds own reports that the owner has not received yet. */
  addToUpdate(rows: readonly WorkRowWithRun[]): readonly WorkRowWithRun[] {
    const { loadReports, timer } = this.#options;
    return rows.map((row) => {
      const id = identifier<EndpointId>(row[0]);
      const report = loadReports.unreported(id);
      const extended = report === undefined ? row : this.#extend(row, report);
      if (extended === row || !this.#isDue(id)) return row;
      this.#reportedAt.set(id, timer.now());
      loadReports.markReported(id);
      return extended;
    });
  }

  #isDue(endpoint: EndpointId): boolean {
    const { entries, timer } = this.#options;
    const reportedAt = this.#reportedAt.get(endpoint) ?? -Infinity;
    return timer.now() >= reportedAt + REPORT_SPACING_MILLISECONDS * entries();
  }

  /** Adds the newest known reports to the rows of an owner's answer. */
  addToAnswer(rows: readonly WorkRowWithRun[]): readonly WorkRowWithRun[] {
    return rows.map((row) => {
      const report = this.#options.loadReports.current(identifier(row[0]));
      return report === undefined ? row : this.#extend(row, report);
    });
  }

  /** Records the reports in rows of the same runs. */
  apply(rows: readonly WorkRowWithRun[]): void {
    const { loadReports, registry, timer } = this.#options;
    for (const row of rows) {
      const values = row[REPORT_POSITION];
      if (values === undefined) continue;
      const id = identifier<EndpointId>(row[0]);
      const endpoint = registry.get(id);
      const isSameRun = registry.isSameRun({
        id,
        startedAt: row[RUN_POSITION],
      });
      if (endpoint === undefined || !isSameRun) continue;
      loadReports.recordPeer(endpoint, decode(values, timer.now()));
    }
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#reportedAt.delete(id);
  }

  /** Without a known run, the report could be applied to a later one. */
  #extend(row: WorkRowWithRun, report: LoadObservation): WorkRowWithRun {
    const endpoint = this.#options.registry.get(identifier(row[0]));
    const isPlaced = endpoint !== undefined && isPlacedByReports(endpoint) &&
      report.workFactor !== undefined;
    if (!isPlaced || endpoint.startedAt === undefined) return row;
    const [id, requests, prefillMilliseconds, tokens] = row;
    return [
      id,
      requests,
      prefillMilliseconds,
      tokens,
      endpoint.startedAt,
      encode(report, this.#options.timer.now()),
    ];
  }
}

function isPlacedByReports({ role }: RegisteredEndpoint): boolean {
  return role === undefined;
}

function encode(report: LoadObservation, now: number): LoadReportValues {
  return [
    report.running,
    report.waiting,
    report.slots,
    Math.round((report.workFactor ?? 1) * PERCENT),
    Math.round(now - report.sentAt),
    Math.round(now - report.receivedAt),
  ];
}

function decode(values: LoadReportValues, now: number): LoadObservation {
  const [running, waiting, slots, percent, sentAge, receivedAge] = values;
  return {
    running,
    waiting,
    slots,
    workFactor: percent / PERCENT,
    sentAt: now - sentAge,
    receivedAt: now - receivedAge,
  };
}
