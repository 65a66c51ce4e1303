import type { EndpointId, ProcessId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { AttemptRate } from "./attempt_rate.ts";
import {
  type EvidenceSummary,
  FailureEvidence,
  failureEvidence,
} from "./failure_evidence.ts";
import type {
  FailuresElsewhere,
  OutcomeCounts,
  RequestKind,
} from "./outcome_reports.ts";

/**
 * Evidence at which an endpoint is taken out, natural logarithm: `MIN_EVIDENCE`
 * up to the reference rate of attempts, and more above it. The chance that a
 * healthy endpoint reaches it falls by the exponential of it, so endpoints are
 * taken out by chance equally often at all rates, while a failing one is found
 * sooner the more work it gets.
 */
const MIN_EVIDENCE = 4;
const REFERENCE_ATTEMPTS_PER_SECOND = 10;
/**
 * Time after a readmission in which less evidence suffices: a replica that
 * fails 0.4 of its work completes most probes.
 */
const WATCH_MILLISECONDS = 2_000;
const WATCH_EVIDENCE_SHARE = 0.75;
/** Failures that it takes then; a healthy replica has one by chance. */
const MIN_WATCHED_FAILURES = 2;
/**
 * Evidence of failed probes at which a verdict is repeated. A failure of a kind
 * that often fails everywhere is followed by another probe.
 */
const MIN_PROBE_EVIDENCE = 1.5;
/** Durations of verdicts, the same as those of an entry's own judgement. */
const INITIAL_MILLISECONDS = 1_000;
const MAX_MILLISECONDS = 8_000;
/** Time without a verdict after which the next one has the initial duration. */
const FORGIVEN_AFTER_MILLISECONDS = 10_000;
/**
 * Time for the owner to get a request with which it can probe. It is longer
 * than the interval of full reports, which renew the verdict during a probe.
 */
const PROBE_GRACE_MILLISECONDS = 1_000;
/** Part of it in which only a request probes that may run again elsewhere. */
const REPEATABLE_ONLY_MILLISECONDS = 150;
/** Time after which a probe that was chosen but not sent is void. */
const CLAIM_MILLISECONDS = 300;

/** Why the owner changed the state of an endpoint. */
export type VerdictChange = "suspect" | "repeated" | "readmitted" | "expired";

/** A change of a verdict and the counts that led to it. */
export interface VerdictEvent {
  readonly change: VerdictChange;
  readonly endpoint: EndpointId;
  /** Time for which the endpoint gets no new work; 0 if it gets work. */
  readonly milliseconds: number;
  readonly summary: EvidenceSummary;
}

/** A verdict that is in force. */
export interface OwnVerdict {
  readonly endpoint: EndpointId;
  /** Time for which peers keep the endpoint out without another message. */
  readonly validMilliseconds: number;
  readonly failureRate: number;
}

interface Suspicion {
  readonly summary: EvidenceSummary;
  until: number;
  /** Time at which a request was chosen as the probe. */
  claimedAt: number;
  isProbing: boolean;
  /** Evidence of the failed probes since the verdict. */
  probeEvidence: number;
}

interface JudgedEndpoint {
  evidence: FailureEvidence;
  readonly rate: AttemptRate;
  suspicion: Suspicion | undefined;
  /** Number of successive verdicts. */
  verdicts: number;
  lastVerdictAt: number;
  readmittedAt: number;
}

export interface OutcomeJudgeOptions {
  readonly timer: TimerService;
  /** Number of entries that must report lost connections until they count. */
  readonly minLossReporters: () => number;
  /** What this entry has seen of a kind at the other endpoints. */
  readonly elsewhere: (
    kind: RequestKind,
    endpoint: EndpointId,
  ) => FailuresElsewhere;
  readonly self: ProcessId;
  readonly onChange: (event: VerdictEvent) => void;
}

/**
 * Judges the endpoints that this entry owns by the outcomes that all entries
 * report, and probes those that it has taken out.
 */
export class OutcomeJudge {
  readonly #options: OutcomeJudgeOptions;
  readonly #endpoints = new Map<EndpointId, JudgedEndpoint>();
  /** Number of endpoints that are taken out; most of the time 0. */
  #suspicions = 0;

  constructor(options: OutcomeJudgeOptions) {
    this.#options = options;
  }

  /** Collects an entry's report, and forms a verdict if it suffices. */
  collect(
    endpoint: EndpointId,
    { counts, reporter }: {
      readonly counts: OutcomeCounts;
      readonly reporter: ProcessId;
    },
  ): void {
    const judged = this.#judged(endpoint);
    this.#expire(endpoint, judged);
    // Attempts that were open when the endpoint was taken out say nothing new.
    if (judged.suspicion !== undefined) return;
    const report = { reporter, at: this.#options.timer.now() };
    judged.rate.record(attemptCount(counts), report.at);
    const hasFailure = judged.evidence.record(counts, report);
    if (hasFailure) this.#judge(endpoint, judged);
  }

  /** True while endpoints are taken out. */
  get hasVerdicts(): boolean {
    return this.#suspicions > 0;
  }

  /**
   * Chooses the request as the one probe of an endpoint whose time is over;
   * returns the endpoint that it must be sent to.
   */
  claimProbe<Endpoint extends { readonly id: EndpointId }>(
    endpoints: readonly Endpoint[],
    { isRepeatable }: { readonly isRepeatable: boolean },
  ): Endpoint | undefined {
    const now = this.#options.timer.now();
    for (const endpoint of endpoints) {
      const judged = this.#endpoints.get(endpoint.id);
      if (judged === undefined) continue;
      this.#expire(endpoint.id, judged);
      const { suspicion } = judged;
      if (suspicion === undefined || suspicion.isProbing) continue;
      const wait = isRepeatable ? 0 : REPEATABLE_ONLY_MILLISECONDS;
      const isDue = now >= suspicion.until + wait &&
        now >= suspicion.claimedAt + CLAIM_MILLISECONDS;
      if (!isDue) continue;
      suspicion.claimedAt = now;
      return endpoint;
    }
    return undefined;
  }

  /** Returns true if the attempt that is being sent is the probe. */
  startProbe(endpoint: EndpointId): boolean {
    const suspicion = this.#endpoints.get(endpoint)?.suspicion;
    if (suspicion === undefined || suspicion.isProbing) return false;
    if (suspicion.claimedAt === -Infinity) return false;
    suspicion.isProbing = true;
    return true;
  }

  /**
   * Ends the probe, a request of this kind; without a result, another request
   * may probe.
   */
  endProbe(
    endpoint: EndpointId,
    { kind, result }: {
      readonly kind: RequestKind;
      readonly result: "completed" | "failed" | undefined;
    },
  ): void {
    const judged = this.#endpoints.get(endpoint);
    const suspicion = judged?.suspicion;
    if (judged === undefined || suspicion?.isProbing !== true) return;
    const now = this.#options.timer.now();
    suspicion.isProbing = false;
    suspicion.claimedAt = -Infinity;
    if (result === "failed") {
      const usual = this.#options.elsewhere(kind, endpoint);
      suspicion.probeEvidence += failureEvidence(usual);
      if (suspicion.probeEvidence < MIN_PROBE_EVIDENCE) {
        suspicion.until = Math.max(suspicion.until, now);
        return;
      }
      this.#takeOut(endpoint, judged, {
        change: "repeated",
        summary: suspicion.summary,
      });
    } else if (result === "completed") {
      this.#end(endpoint, judged, "readmitted");
    } else suspicion.until = Math.max(suspicion.until, now);
  }

  /** Verdicts that this entry has formed and that are in force. */
  verdicts(): OwnVerdict[] {
    if (this.#suspicions === 0) return [];
    const now = this.#options.timer.now();
    return [...this.#endpoints].flatMap(([endpoint, judged]) => {
      this.#expire(endpoint, judged);
      const { suspicion } = judged;
      if (suspicion === undefined) return [];
      const { failed, completed } = suspicion.summary;
      const until = suspicion.isProbing
        ? now
        : Math.max(suspicion.until, suspicion.claimedAt);
      return [{
        endpoint,
        validMilliseconds: Math.ceil(until - now + PROBE_GRACE_MILLISECONDS),
        failureRate: failed / Math.max(1, failed + completed),
      }];
    });
  }

  /** Discards all that is known of the endpoint, as its run is over. */
  forget({ id }: { readonly id: EndpointId }): void {
    if (this.#endpoints.get(id)?.suspicion) this.#suspicions -= 1;
    this.#endpoints.delete(id);
  }

  #judge(endpoint: EndpointId, judged: JudgedEndpoint): void {
    const { elsewhere, minLossReporters, self, timer } = this.#options;
    const now = timer.now();
    for (const kind of judged.evidence.kinds) {
      judged.evidence.compare(kind, {
        reporter: self,
        at: now,
        elsewhere: elsewhere(kind, endpoint),
      });
    }
    const summary = judged.evidence.summarize(now, {
      minLossReporters: minLossReporters(),
    });
    const isWatched = now - judged.readmittedAt < WATCH_MILLISECONDS;
    const excessRate = judged.rate.perSecond(now) /
      REFERENCE_ATTEMPTS_PER_SECOND;
    const required = MIN_EVIDENCE + Math.max(0, Math.log(excessRate));
    const share = isWatched && summary.failed >= MIN_WATCHED_FAILURES
      ? WATCH_EVIDENCE_SHARE
      : 1;
    if (summary.evidence < share * required) return;
    this.#takeOut(endpoint, judged, { change: "suspect", summary });
  }

  #takeOut(
    endpoint: EndpointId,
    judged: JudgedEndpoint,
    { change, summary }: Pick<VerdictEvent, "change" | "summary">,
  ): void {
    const now = this.#options.timer.now();
    const isForgiven = now - judged.lastVerdictAt > MAX_MILLISECONDS +
        FORGIVEN_AFTER_MILLISECONDS;
    judged.verdicts = isForgiven ? 1 : judged.verdicts + 1;
    judged.lastVerdictAt = now;
    const milliseconds = Math.min(
      MAX_MILLISECONDS,
      INITIAL_MILLISECONDS * 2 ** (judged.verdicts - 1),
    );
    if (judged.suspicion === undefined) this.#suspicions += 1;
    judged.suspicion = {
      summary,
      until: now + milliseconds,
      claimedAt: -Infinity,
      isProbing: false,
      probeEvidence: 0,
    };
    judged.evidence = new FailureEvidence();
    this.#options.onChange({ change, endpoint, milliseconds, summary });
  }

  /** Ends a verdict whose probe found no request in time. */
  #expire(endpoint: EndpointId, judged: JudgedEndpoint): void {
    const { suspicion } = judged;
    if (suspicion === undefined || suspicion.isProbing) return;
    const lastUseAt = Math.max(suspicion.until, suspicion.claimedAt);
    const isOver = this.#options.timer.now() >=
      lastUseAt + PROBE_GRACE_MILLISECONDS;
    if (isOver) this.#end(endpoint, judged, "expired");
  }

  #end(
    endpoint: EndpointId,
    judged: JudgedEndpoint,
    change: VerdictChange,
  ): void {
    const { suspicion } = judged;
    if (suspicion === undefined) return;
    this.#suspicions -= 1;
    judged.suspicion = undefined;
    judged.readmittedAt = this.#options.timer.now();
    const { summary } = suspicion;
    this.#options.onChange({ change, endpoint, milliseconds: 0, summary });
  }

  #judged(endpoint: EndpointId): JudgedEndpoint {
    let judged = this.#endpoints.get(endpoint);
    if (judged === undefined) {
      judged = {
        evidence: new FailureEvidence(),
        rate: new AttemptRate(),
        suspicion: undefined,
        verdicts: 0,
        lastVerdictAt: -Infinity,
        readmittedAt: -Infinity,
      };
      this.#endpoints.set(endpoint, judged);
    }
    return judged;
  }
}

function attemptCount({ completed, failures }: OutcomeCounts): number {
  return failures.reduce(
    (sum, { failed, lost }) => sum + failed + lost,
    completed,
  );
}
