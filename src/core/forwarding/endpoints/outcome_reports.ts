import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import { hashToUnit } from "../../membership/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** How an attempt ended, as far as it says something about the endpoint. */
export type AttemptResult =
  | "completed"
  | "failed"
  /** The connection was refused or broke; the link may have caused it. */
  | "lost";

/** Kind of request: its pool, route and step, as a number. */
export type RequestKind = number;

/** Attempts of a kind at the endpoints other than the reported one. */
export interface FailuresElsewhere {
  readonly attempts: number;
  /** Fractional, because each endpoint has the same weight. */
  readonly failures: number;
}

/** Failed attempts of one kind of request at an endpoint. */
export interface KindFailures {
  readonly kind: RequestKind;
  readonly failed: number;
  readonly lost: number;
  readonly elsewhere: FailuresElsewhere;
}

/** Outcomes at an endpoint since the last report. */
export interface OutcomeCounts {
  /** Attempts of all kinds; a completion counts the same for each. */
  readonly completed: number;
  readonly failures: readonly KindFailures[];
}

/** Number of kinds, which bounds the size of a row and the memory. */
const KIND_RANGE = 4_096;
/** Maximum number of kinds with their own counts; others share one. */
const MAX_KINDS = 64;
const SHARED_KIND = 0;
/**
 * Recent attempts of a kind with which a failure is compared. A caller whose
 * requests fail everywhere fills them within a few requests.
 */
const MAX_RECENT_ATTEMPTS = 32;
/** Age up to which attempts are compared, milliseconds. */
const MAX_RECENT_AGE_MILLISECONDS = 10_000;

/** Returns the kind of a request; it is the same at all entries. */
export function kindOfRequest(
  pool: ServiceName,
  options: { readonly route: string; readonly isPrefill: boolean },
): RequestKind {
  const { isPrefill, route } = options;
  const name = `${pool}/${route}/${isPrefill ? "prefill" : "run"}`;
  return Math.floor(KIND_RANGE * hashToUnit(name));
}

interface RecentAttempt {
  readonly endpoint: EndpointId;
  readonly hasFailed: boolean;
  readonly at: number;
}

/** The last attempts of one kind, in no particular order. */
interface RecentAttempts {
  readonly attempts: RecentAttempt[];
  next: number;
}

interface UnreportedOutcomes {
  completed: number;
  readonly failures: Map<RequestKind, { failed: number; lost: number }>;
}

/** Outcomes of this entry's attempts that it has to report to the owners. */
export class OutcomeReports {
  readonly #timer: TimerService;
  readonly #isTakenOut: (endpoint: EndpointId) => boolean;
  readonly #unreported = new Map<EndpointId, UnreportedOutcomes>();
  readonly #recent = new Map<RequestKind, RecentAttempts>();

  /** Endpoints that are taken out are left out of comparisons. */
  constructor(
    timer: TimerService,
    isTakenOut: (endpoint: EndpointId) => boolean,
  ) {
    this.#timer = timer;
    this.#isTakenOut = isTakenOut;
  }

  record(
    endpoint: EndpointId,
    options: { readonly kind: RequestKind; readonly result: AttemptResult },
  ): void {
    const { result } = options;
    const isKnown = this.#recent.has(options.kind);
    const kind = isKnown || this.#recent.size < MAX_KINDS
      ? options.kind
      : SHARED_KIND;
    this.#recordRecent(kind, {
      endpoint,
      hasFailed: result !== "completed",
      at: this.#timer.now(),
    });
    let unreported = this.#unreported.get(endpoint);
    if (unreported === undefined) {
      unreported = { completed: 0, failures: new Map() };
      this.#unreported.set(endpoint, unreported);
    }
    if (result === "completed") {
      unreported.completed += 1;
      return;
    }
    const counts = unreported.failures.get(kind) ?? { failed: 0, lost: 0 };
    unreported.failures.set(kind, counts);
    counts[result] += 1;
  }

  /** Endpoints with outcomes that have not been reported. */
  get endpoints(): Iterable<EndpointId> {
    return this.#unreported.keys();
  }

  get hasUnreported(): boolean {
    return this.#unreported.size > 0;
  }

  /** Returns and clears the outcomes at the endpoint, if there are any. */
  take(endpoint: EndpointId): OutcomeCounts | undefined {
    const unreported = this.#unreported.get(endpoint);
    if (unreported === undefined) return undefined;
    this.#unreported.delete(endpoint);
    const { completed, failures } = unreported;
    return {
      completed,
      failures: [...failures].map(([kind, counts]) => ({
        kind,
        ...counts,
        elsewhere: this.elsewhere(kind, endpoint),
      })),
    };
  }

  /** Recent attempts of the kind at all endpoints that get work but this. */
  elsewhere(kind: RequestKind, endpoint: EndpointId): FailuresElsewhere {
    const oldest = this.#timer.now() - MAX_RECENT_AGE_MILLISECONDS;
    const byEndpoint = new Map<
      EndpointId,
      [attempts: number, failed: number]
    >();
    let attempts = 0;
    for (const attempt of this.#recent.get(kind)?.attempts ?? []) {
      const { at, endpoint: other, hasFailed } = attempt;
      if (at < oldest || other === endpoint || this.#isTakenOut(other)) {
        continue;
      }
      attempts += 1;
      const [known, failed] = byEndpoint.get(other) ?? [0, 0];
      byEndpoint.set(other, [known + 1, failed + (hasFailed ? 1 : 0)]);
    }
    if (attempts === 0) return { attempts, failures: 0 };
    let rates = 0;
    for (const [known, failed] of byEndpoint.values()) rates += failed / known;
    return { attempts, failures: attempts * rates / byEndpoint.size };
  }

  /** Discards what has not been reported, as the endpoint's run is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#unreported.delete(id);
  }

  #recordRecent(kind: RequestKind, attempt: RecentAttempt): void {
    const recent = this.#recent.get(kind) ?? { attempts: [], next: 0 };
    this.#recent.set(kind, recent);
    recent.attempts[recent.next] = attempt;
    recent.next = (recent.next + 1) % MAX_RECENT_ATTEMPTS;
  }
}
