/** Encoding of the usage notifications between entries. */
import type {
  CurrentClaim,
  WindowCounts,
} from "../../../core/forwarding/mod.ts";
import {
  isInteger,
  isListOf,
  isNumber,
  isObjectOf,
  isOptional,
  isRow,
  isText,
} from "../../../core/validation/mod.ts";

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

const isWindowCounts = isRow<WindowCounts>([
  isInteger,
  isListOf(isRow<WindowCounts[1][number]>([isText, isNumber])),
]);

export const isUsageNotification = isObjectOf<UsageNotification>({
  entry: isText,
  incarnation: isText,
  since: isNumber,
  until: isNumber,
  usage: isListOf(isWindowCounts),
});

export const isReportsNotification = isObjectOf<ReportsNotification>({
  claim: isObjectOf<CurrentClaim>({ holder: isText, offset: isNumber }),
  acceptedThrough: isOptional(isInteger),
  fixed: isOptional(isListOf(isWindowCounts)),
});
