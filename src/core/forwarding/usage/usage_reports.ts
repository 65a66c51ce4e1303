import type { UsageWindow } from "../../identity/mod.ts";
import type { CurrentClaim } from "../claims/exclusive_claim.ts";
import type { UsageLedger, WorkspaceCounts } from "./usage_ledger.ts";

/**
 * The counts of a window as reported; repeated reports contain the same counts.
 */
export interface UsageReport {
  readonly window: UsageWindow;
  readonly counts: WorkspaceCounts;
  /** True if the receiver has confirmed it. */
  readonly accepted: boolean;
}

/** A claim on reporting usage, and the reports that it fixes. */
export interface UsageClaim extends CurrentClaim {
  readonly reports: readonly UsageReport[];
}

export interface NextReportsOptions {
  readonly ledger: UsageLedger;
  /** Reports that earlier claims have fixed. */
  readonly fixed: readonly UsageReport[];
  /** Windows that are due, the oldest first. */
  readonly due: readonly UsageWindow[];
  /** The oldest window that is still to be reported. */
  readonly oldest: UsageWindow;
  readonly isAccepted: (window: UsageWindow) => boolean;
}

/**
 * Returns the reports that the next claim fixes. A window that an earlier claim
 * has fixed keeps its counts, as the receiver may have them already.
 */
export function nextReports(options: NextReportsOptions): UsageReport[] {
  const { due, fixed, isAccepted, ledger, oldest } = options;
  const kept = fixed.filter(({ window }) => window >= oldest)
    .map((report) => ({
      ...report,
      accepted: report.accepted || isAccepted(report.window),
    }));
  const newest = Math.max(-Infinity, ...fixed.map(({ window }) => window));
  const added = due
    .filter((window) => window > newest && ledger.covers(window))
    .map((window) => ({
      window,
      counts: ledger.totals(window),
      accepted: isAccepted(window),
    }));
  return [...kept, ...added];
}
