/** Encoding of the usage notifications between entries. */
import type { CurrentClaim, WindowCounts } from "../../core/forwarding/mod.ts";

/** Notification that carries an entry's counts. */
export const USAGE_METHOD = "entry.usage";
/** Notification that carries the reported windows and the claim behind them. */
export const USAGE_REPORTS_METHOD = "entry.usage_reports";

/** An entry's own counts; times are Unix milliseconds. */
export interface UsageNotification {
  readonly entry: string;
  readonly incarnation: string;
  readonly since: number;
  /** All counts up to this time are included; 0 if only changes are. */
  readonly until: number;
  readonly usage: readonly WindowCounts[];
}

export interface ReportsNotification {
  /** The claim that the reports were sent under. */
  readonly claim: CurrentClaim;
  /** The latest window whose report was confirmed. */
  readonly acceptedThrough?: number;
  /** Reports fixed by the claim; sent with a new claim. */
  readonly fixed?: readonly WindowCounts[];
}

/** Checks that the value is a valid usage notification. */
export function isUsageNotification(
  value: unknown,
): value is UsageNotification {
  if (typeof value !== "object" || value === null) return false;
  const { entry, incarnation, since, until, usage } = value as Partial<
    UsageNotification
  >;
  return typeof entry === "string" && typeof incarnation === "string" &&
    Number.isFinite(since) && Number.isFinite(until) &&
    Array.isArray(usage) && usage.every(isWindowCounts);
}

function isWindowCounts(value: unknown): value is WindowCounts {
  return Array.isArray(value) && Number.isInteger(value[0]) &&
    Array.isArray(value[1]) &&
    value[1].every((each) =>
      Array.isArray(each) && typeof each[0] === "string" &&
      Number.isFinite(each[1])
    );
}

/** Checks that the value is a valid reports notification. */
export function isReportsNotification(
  value: unknown,
): value is ReportsNotification {
  if (typeof value !== "object" || value === null) return false;
  const { acceptedThrough, claim, fixed } = value as Partial<
    ReportsNotification
  >;
  const isFixed = fixed === undefined ||
    (Array.isArray(fixed) && fixed.every(isWindowCounts));
  const isThrough = acceptedThrough === undefined ||
    Number.isInteger(acceptedThrough);
  return isThrough && isFixed && typeof claim?.holder === "string" &&
    Number.isFinite(claim.offset);
}
