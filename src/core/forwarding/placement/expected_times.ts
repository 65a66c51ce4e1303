import type { RegisteredEndpoint } from "../configuration.ts";
import type { EndpointLoadReports } from "../endpoints/load_reports.ts";
import type { OpenRequests } from "../endpoints/open_requests.ts";
import type { SentRequests } from "../endpoints/sent_requests.ts";
import type { ServiceTimes } from "../estimates/mod.ts";
import type { TimerService } from "../../time/mod.ts";

export interface ExpectedTimesOptions {
  readonly timer: TimerService;
  readonly openRequests: OpenRequests;
  readonly loadReports: EndpointLoadReports;
  readonly sentRequests: SentRequests;
  readonly serviceTimes: ServiceTimes;
}

/** How long a request is expected to take at a replica. */
export interface ExpectedTime {
  /** Includes the wait for a slot. Has no unit while `isLearned` is false. */
  readonly milliseconds: number;
  /** False before the pool's first completion at this entry. */
  readonly isLearned: boolean;
  /** Requests that are expected to run or to wait there. */
  readonly workAhead: number;
  /** Time of a request that need not wait for a slot, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** The work factor that is included in both times. */
  readonly workFactor: number;
  /** Weight of the report by its age; 0 without a report. */
  readonly reportWeight: number;
  /** Age of the replica's report in milliseconds; absent without a report. */
  readonly reportAgeMilliseconds?: number;
}

/** Service time before a pool's first completion; only ratios matter then. */
const UNKNOWN_SERVICE_MILLISECONDS = 1;

/** Predicts how long a request to a plain service takes at each replica. */
export class ExpectedTimes {
  readonly #options: ExpectedTimesOptions;

  constructor(options: ExpectedTimesOptions) {
    this.#options = options;
  }

  predict(endpoint: RegisteredEndpoint): ExpectedTime {
    const { loadReports, sentRequests, serviceTimes, timer } = this.#options;
    const { ageMilliseconds, factor, weight } = loadReports.predictWorkFactor(
      endpoint,
      timer.now(),
    );
    const mean = serviceTimes.mean(endpoint);
    const serviceMilliseconds = factor *
      (mean ?? UNKNOWN_SERVICE_MILLISECONDS);
    const workAhead = this.#workAhead(endpoint, serviceMilliseconds);
    // A replica that stalls may report that it is idle.
    const silentMilliseconds = mean === undefined
      ? 0
      : sentRequests.oldestAgeMilliseconds(endpoint.id);
    return {
      milliseconds: Math.max(
        silentMilliseconds,
        serviceMilliseconds * queueFactor(workAhead, endpoint.slots),
      ),
      isLearned: mean !== undefined,
      workAhead,
      serviceMilliseconds,
      workFactor: factor,
      reportWeight: weight,
      ...(ageMilliseconds !== undefined &&
        { reportAgeMilliseconds: ageMilliseconds }),
    };
  }

  /**
   * The larger of the open requests of all entries and the reported requests,
   * corrected by own ones since. What the report has in excess decreases with
   * its age, as the replica works it off.
   */
  #workAhead(
    { id, slots }: RegisteredEndpoint,
    serviceMilliseconds: number,
  ): number {
    const { loadReports, openRequests, sentRequests, timer } = this.#options;
    const open = openRequests.at(id);
    const report = loadReports.current(id);
    if (report === undefined) return open;
    const reported = report.running + report.waiting +
      sentRequests.changeSince(id, report.receivedAt);
    if (reported <= open) return open;
    const age = Math.max(0, timer.now() - report.receivedAt);
    const drainMilliseconds = serviceMilliseconds *
      queueFactor(reported, slots);
    return open + (reported - open) * Math.exp(-age / drainMilliseconds);
  }
}

/**
 * Time of a request with this much work ahead, relative to its service time; 1
 * while a slot is free.
 */
export function queueFactor(workAhead: number, slots: number): number {
  return Math.max(1, (workAhead + 1) / Math.max(1, slots));
}
