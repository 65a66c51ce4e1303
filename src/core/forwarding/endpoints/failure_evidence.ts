import type { ProcessId } from "../../identity/mod.ts";
import type {
  FailuresElsewhere,
  OutcomeCounts,
  RequestKind,
} from "./outcome_reports.ts";

/**
 * Share of its work that a failing endpoint fails beyond what fails anyway. The
 * same share ejects an endpoint at an entry that judges by itself.
 */
const FAILING_SHARE = 0.3;
/** What a completion subtracts from the evidence, natural logarithm. */
const COMPLETION_EVIDENCE = -Math.log(1 - FAILING_SHARE);
/**
 * Lowest usual failure rate that is assumed. Healthy replicas fail some
 * requests, and a single failure must not suffice for a verdict.
 */
const MIN_USUAL_RATE = 0.02;
/**
 * Attempts and failures that are assumed of a kind before any is known: a
 * failure of an unknown kind counts as much as one of a kind that often fails.
 */
const ASSUMED_ATTEMPTS = 8;
const ASSUMED_FAILURES = 1;
/** Maximum number of failures kept of an endpoint. */
const MAX_FAILURES = 24;
/** Maximum number of kinds and of entries whose comparisons are kept. */
const MAX_COMPARISONS = 32;
/** Age up to which failures and comparisons count, milliseconds. */
const MAX_AGE_MILLISECONDS = 10_000;

interface Failure {
  readonly kind: RequestKind;
  readonly isLoss: boolean;
  readonly reporter: ProcessId;
  readonly at: number;
  /** Completed attempts that were reported between it and the next failure. */
  completionsAfter: number;
}

interface Comparison extends FailuresElsewhere {
  readonly kind: RequestKind;
  readonly at: number;
}

/** What speaks for the endpoint failing more than others, and why. */
export interface EvidenceSummary {
  /** Logarithm of the ratio of the likelihoods, at least 0. */
  readonly evidence: number;
  readonly failed: number;
  readonly completed: number;
  /** Entries that have reported the failures. */
  readonly reporters: number;
}

/**
 * Failures of one endpoint that the entries have reported, weighed against the
 * usual failure rate of their kinds of requests. A sequential test (CUSUM): it
 * needs two or three failures of a reliable kind, and some eight of a kind that
 * fails everywhere in 14 of 100 attempts.
 */
export class FailureEvidence {
  #failures: Failure[] = [];
  /** Newest comparison of each entry and kind. */
  readonly #comparisons = new Map<string, Comparison>();

  /** Records a report; returns true if it contains a failure. */
  record(
    { completed, failures }: OutcomeCounts,
    report: { readonly reporter: ProcessId; readonly at: number },
  ): boolean {
    const last = this.#failures.at(-1);
    if (last !== undefined) last.completionsAfter += completed;
    for (const { elsewhere, failed, kind, lost } of failures) {
      this.compare(kind, { ...report, elsewhere });
      const reported = Math.min(MAX_FAILURES, failed + lost);
      for (let count = 0; count < reported; count++) {
        const isLoss = count >= failed;
        this.#failures.push({ ...report, kind, isLoss, completionsAfter: 0 });
      }
    }
    if (this.#failures.length > MAX_FAILURES) {
      this.#failures = this.#failures.slice(-MAX_FAILURES);
    }
    return failures.length > 0;
  }

  /** Records what an entry has seen of a kind at the other endpoints. */
  compare(
    kind: RequestKind,
    { at, elsewhere, reporter }: {
      readonly reporter: ProcessId;
      readonly at: number;
      readonly elsewhere: FailuresElsewhere;
    },
  ): void {
    const key = `${kind}/${reporter}`;
    this.#comparisons.delete(key);
    this.#comparisons.set(key, { kind, at, ...elsewhere });
    if (this.#comparisons.size <= MAX_COMPARISONS) return;
    for (const oldest of this.#comparisons.keys()) {
      this.#comparisons.delete(oldest);
      return;
    }
  }

  /** Kinds of the failures. */
  get kinds(): ReadonlySet<RequestKind> {
    return new Set(this.#failures.map(({ kind }) => kind));
  }

  /**
   * Sums up the evidence. Losses count only if at least `minLossReporters`
   * entries have reported some.
   */
  summarize(
    now: number,
    { minLossReporters }: { readonly minLossReporters: number },
  ): EvidenceSummary {
    const oldest = now - MAX_AGE_MILLISECONDS;
    if (this.#failures.some(({ at }) => at < oldest)) {
      this.#failures = this.#failures.filter(({ at }) => at >= oldest);
    }
    const losses = this.#failures.filter(({ isLoss }) => isLoss);
    const countLosses =
      new Set(losses.map(({ reporter }) => reporter)).size >= minLossReporters;
    const weights = this.#weights(oldest);
    let evidence = 0;
    let failed = 0;
    let completed = 0;
    let reporters = new Set<ProcessId>();
    for (const { completionsAfter, isLoss, kind, reporter } of this.#failures) {
      if (!isLoss || countLosses) {
        evidence += weights.get(kind) ?? 0;
        failed += 1;
        reporters.add(reporter);
      }
      completed += completionsAfter;
      evidence -= COMPLETION_EVIDENCE * completionsAfter;
      if (evidence > 0) continue;
      evidence = 0;
      failed = 0;
      completed = 0;
      reporters = new Set();
    }
    return { evidence, failed, completed, reporters: reporters.size };
  }

  /** Evidence of one failure of each kind. */
  #weights(oldest: number): ReadonlyMap<RequestKind, number> {
    const sums = new Map<RequestKind, FailuresElsewhere>();
    for (const { at, attempts, failures, kind } of this.#comparisons.values()) {
      if (at < oldest) continue;
      const sum = sums.get(kind) ?? { attempts: 0, failures: 0 };
      sums.set(kind, {
        attempts: sum.attempts + attempts,
        failures: sum.failures + failures,
      });
    }
    return new Map([...this.kinds].map((kind) => [
      kind,
      failureEvidence(sums.get(kind) ?? { attempts: 0, failures: 0 }),
    ]));
  }
}

/** Evidence of one failure of a kind that fails so often elsewhere. */
export function failureEvidence(
  { attempts, failures }: FailuresElsewhere,
): number {
  const usual = Math.max(
    MIN_USUAL_RATE,
    (failures + ASSUMED_FAILURES) / (attempts + ASSUMED_ATTEMPTS),
  );
  const failing = usual + FAILING_SHARE * (1 - usual);
  return Math.log(failing / usual);
}
